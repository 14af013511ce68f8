use std::time::Duration;

use futures_util::join;
use loadgen::{Percentiles, Sample};
use operators::api::{Decision, Trace};
use serde::Serialize;
use settings::Policy;
use standins::EngineFaults;
use strum::Display;
use transport::HttpClient;

use super::{
    fleet::{Engine, Fleet, FleetSpec, Phase, STAGES, is_good, millis},
    report::{BenchReport, Expectation, Row},
};
use crate::cluster::CONTROL_TIMEOUTS;

const REPLICAS: usize = 3;
/// Faults of a run; each hits another engine.
const FAULTS: usize = 9;
/// Time before the first fault and between two.
const INTERVAL: Duration = Duration::from_secs(4);
/// Time until the engine works again, longer than every stream that was on it needs to move.
const OUTAGE: Duration = Duration::from_secs(2);
/// Requests per second.
const RATE: f64 = 12.0;
const TOKENS: u32 = 100;
/// Target in milliseconds.
const MAX_GAP: f64 = 1000.0;

/// Fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Fault {
    Kill,
    Hang,
}

/// Largest gaps between two tokens of the streams that were on an engine when it failed.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Recovery {
    fault: Fault,
    faults: usize,
    /// Streams that had a token and were on an engine when it failed.
    streams: u64,
    /// Those that ended without a whole, correct answer in time. Their gap counts as the deadline.
    lost: usize,
    /// Streams of the run.
    sent: usize,
    /// Milliseconds.
    p50: f64,
    p95: f64,
    p99: f64,
    worst: f64,
}

/// A fault that was injected.
struct Injected {
    at: Duration,
    engine: String,
}

/// Measures the gap in streams whose engine fails.
pub(crate) async fn run(report: &mut BenchReport) {
    let (kill, hang) = join!(measure(Fault::Kill), measure(Fault::Hang));
    for figures in [kill, hang] {
        println!(
            "     recovery, {}: p50 {:.0} ms, p95 {:.0} ms, p99 {:.0} ms, worst {:.0} ms over {} streams of {} faults; {} lost; {} sent",
            figures.fault,
            figures.p50,
            figures.p95,
            figures.p99,
            figures.worst,
            figures.streams,
            figures.faults,
            figures.lost,
            figures.sent
        );
        report.add(Row {
            name: format!("recovery, {}, p95 of the gap", figures.fault),
            unit: "ms",
            figure: figures.p95,
            baseline: MAX_GAP,
            baseline_name: "target".into(),
            target: Expectation::Lower,
        });
        report.recovery.push(figures);
    }
}

async fn measure(fault: Fault) -> Recovery {
    let engine = |domain| Engine { domain, step: 4000, item: 200 };
    let spec = FleetSpec {
        engines: ["north", "middle", "south"].map(engine).to_vec(),
        nodes: 3,
        slots: 32,
        policy: Policy::default(),
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(&format!("recovery-{fault}"), &spec).await;
    let phase = Phase {
        length: INTERVAL * (FAULTS as u32 + 1),
        rate: RATE,
        deadline: Duration::from_secs(15),
        tokens: TOKENS,
        ..Phase::default()
    };
    let phases = [phase];
    let (samples, injected) = join!(fleet.run(&phases), inject(&fleet, fault));
    let mut hit = Vec::new();
    for sample in &samples {
        if was_hit(&fleet, sample, &injected).await {
            hit.push(sample);
        }
    }
    figures(fault, &hit, samples.len())
}

/// Injects all faults. Their times count from the start.
async fn inject(fleet: &Fleet, fault: Fault) -> Vec<Injected> {
    let clock = &fleet.cluster.clock;
    let start = clock.now();
    let mut injected = Vec::new();
    for number in 0..FAULTS {
        let due = INTERVAL * (number as u32 + 1);
        clock.sleep(due.saturating_sub(clock.now().since(start))).await;
        // Stages in turn.
        let stages = STAGES as usize;
        let index = number % stages * REPLICAS + number / stages % REPLICAS;
        let engine = &fleet.cluster.engines[index];
        injected.push(Injected { at: clock.now().since(start), engine: engine.name.clone() });
        match fault {
            Fault::Kill => engine.kill(),
            Fault::Hang => {
                let faults = EngineFaults { hang: true, ..EngineFaults::default() };
                fleet.set_faults(index, &faults).await;
            }
        }
        clock.sleep(OUTAGE).await;
        match fault {
            Fault::Kill => engine.restart(),
            Fault::Hang => fleet.set_faults(index, &EngineFaults::default()).await,
        }
    }
    injected
}

/// Whether a stream had a token and was on an engine when a fault was injected there. The number
/// of attempts does not show this, since an attempt may have failed before the first token.
async fn was_hit(fleet: &Fleet, sample: &Sample, injected: &[Injected]) -> bool {
    let outcome = &sample.outcome;
    let streaming = sample.at + outcome.first_token..sample.at + outcome.total;
    let during: Vec<_> = injected.iter().filter(|fault| streaming.contains(&fault.at)).collect();
    if outcome.tokens == 0 || during.is_empty() {
        return false;
    }
    let node = &fleet.cluster.nodes[0];
    let client = HttpClient::new(fleet.cluster.clock.clone(), node.port("operators"));
    let path = format!("/explain/{}", sample.completion.id);
    let traces: Vec<Trace> =
        client.get_json(&path, CONTROL_TIMEOUTS).await.expect("traces can be read");
    assert!(!traces.is_empty(), "{} has a trace", sample.completion.id);
    during.iter().any(|fault| {
        let after = (fault.at - sample.at).as_millis() as u64;
        traces.iter().any(|trace| is_routed_over(trace, after, &fault.engine))
    })
}

/// Whether the route of a request `after` milliseconds from its arrival had an engine.
fn is_routed_over(trace: &Trace, after: u64, engine: &str) -> bool {
    let steps = trace.steps.iter().take_while(|step| step.after_millis <= after);
    let routes = steps.filter_map(|step| match &step.decision {
        Decision::Routed { stages, .. } => Some(stages),
        _ => None,
    });
    routes.last().is_some_and(|stages| stages.iter().any(|stage| stage.as_str() == engine))
}

fn figures(fault: Fault, hit: &[&Sample], sent: usize) -> Recovery {
    let gap = |sample: &&Sample| match is_good(sample) {
        true => sample.outcome.intervals.iter().max().copied().unwrap_or_default(),
        false => sample.completion.deadline,
    };
    let gaps = Percentiles::of(hit.iter().map(gap));
    Recovery {
        fault,
        faults: FAULTS,
        streams: gaps.count(),
        lost: hit.iter().filter(|sample| !is_good(sample)).count(),
        sent,
        p50: millis(gaps.at(50.0)),
        p95: millis(gaps.at(95.0)),
        p99: millis(gaps.at(99.0)),
        worst: millis(gaps.at(100.0)),
    }
}
