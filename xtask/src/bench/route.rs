use std::time::Duration;

use futures_util::join;
use settings::{BalancingPolicy, Policy};

use super::{
    fleet::{Engine, Fleet, FleetSpec, Phase, first_tokens, millis, throughput},
    report::{BenchReport, Expectation, Row},
};

/// Rate of the latency measurement relative to the bound.
const STEADY_LOAD: f64 = 0.8;
/// Rate of the throughput measurement relative to the bound.
const FULL_LOAD: f64 = 1.3;
/// Rate at which the slots and queues are filled before that measurement.
const FILL_LOAD: f64 = 2.0;

/// Compares route policies over engines with speeds 1:5 and links 1:100.
pub(crate) async fn run(report: &mut BenchReport) {
    let (estimate, turn, least) = join!(
        measure(BalancingPolicy::Estimate),
        measure(BalancingPolicy::RoundRobin),
        measure(BalancingPolicy::LeastOutstanding),
    );
    let bound = spec(BalancingPolicy::Estimate).token_bound();
    for (name, figures) in
        [("estimate", &estimate), ("round robin", &turn), ("least outstanding", &least)]
    {
        println!(
            "     route, {name}: {:.0} tokens/s at {FULL_LOAD} of the bound; first token p50 {:.0} ms, p99 {:.0} ms at {STEADY_LOAD}",
            figures.tokens, figures.median, figures.tail
        );
    }
    report.add(Row {
        name: "route, throughput".into(),
        unit: "tokens/s",
        figure: estimate.tokens,
        baseline: bound,
        baseline_name: "bound of the engines' speeds".into(),
        target: Expectation::AtLeast(0.9),
    });
    for (name, baseline) in [("round robin", turn), ("least outstanding", least)] {
        report.add(Row {
            name: "route, p99 time to first token".into(),
            unit: "ms",
            figure: estimate.tail,
            baseline: baseline.tail,
            baseline_name: name.into(),
            target: Expectation::Lower,
        });
    }
}

struct Figures {
    tokens: f64,
    median: f64,
    tail: f64,
}

async fn measure(kind: BalancingPolicy) -> Figures {
    let spec = spec(kind);
    let fleet = Fleet::start(&format!("route-{kind}"), &spec).await;
    let phase = |start, seconds, load| Phase {
        start: Duration::from_secs(start),
        length: Duration::from_secs(seconds),
        rate: load * spec.request_bound(),
        ..Phase::default()
    };
    // The first phase lets the nodes learn.
    let phases = [
        phase(0, 3, 0.5),
        phase(3, 6, STEADY_LOAD),
        phase(9, 3, FILL_LOAD),
        phase(12, 5, FULL_LOAD),
    ];
    let samples = fleet.run(&phases).await;
    let first = first_tokens(&samples, &phases[1]);
    Figures {
        tokens: throughput(&samples, &phases[3]),
        median: millis(first.at(50.0)),
        tail: millis(first.at(99.0)),
    }
}

fn spec(kind: BalancingPolicy) -> FleetSpec {
    let engine =
        |domain, slowness: u64| Engine { domain, step: 2000 * slowness, item: 4000 * slowness };
    FleetSpec {
        engines: vec![
            engine("north", 1),
            engine("south", 1),
            engine("north", 5),
            engine("south", 5),
        ],
        nodes: 2,
        slots: 24,
        links: (Duration::from_micros(200), Duration::from_millis(20)),
        policy: Policy {
            route: kind,
            // Slow engines with full batches must not look dead.
            first_token_ms: 10_000,
            progress_ms: 10_000,
            ..Policy::default()
        },
        ..FleetSpec::default()
    }
}
