use std::time::Duration;

use futures_util::join;
use loadgen::{Percentiles, Sample};
use settings::Policy;

use super::{
    fleet::{Engine, Fleet, FleetSpec, Phase, first_token, millis, throughput},
    report::{BenchReport, Expectation, Row},
};

/// Organisation that sends too much.
const FLOOD: &str = "flood";
/// The other organisations.
const OTHERS: [&str; 4] = ["first", "second", "third", "fourth"];
/// Rate of one organisation relative to the bound.
const SHARE: f64 = 0.12;
/// Rate of the organisation that sends too much, relative to its share.
const EXCESS: f64 = 10.0;
const LENGTH: Duration = Duration::from_secs(10);

/// Measures what the other organisations notice when one sends ten times its share.
pub(crate) async fn run(report: &mut BenchReport) {
    let total = OTHERS.len() as f64 + EXCESS;
    let (quiet, flooded, alone) = join!(
        measure("quiet", load(&[(FLOOD, 1.0)], true)),
        measure("flooded", load(&[(FLOOD, EXCESS)], true)),
        measure("alone", load(&[(FLOOD, total)], false)),
    );
    report.add(Row {
        name: "fairness, p99 time to first token of the others".into(),
        unit: "ms",
        figure: tail(&flooded),
        baseline: tail(&quiet),
        baseline_name: "quiet".into(),
        target: Expectation::AtMost(1.5),
    });
    report.add(Row {
        name: "fairness, throughput".into(),
        unit: "tokens/s",
        figure: tokens(&flooded),
        baseline: tokens(&alone),
        baseline_name: "one organisation with the same load".into(),
        target: Expectation::AtLeast(0.9),
    });
}

async fn measure(name: &str, phases: Vec<Phase>) -> Vec<Sample> {
    Fleet::start(&format!("fairness-{name}"), &spec()).await.run(&phases).await
}

/// The phases of a load, where rates are relative to [`SHARE`].
fn load(senders: &[(&'static str, f64)], with_others: bool) -> Vec<Phase> {
    let others = OTHERS.iter().filter(|_| with_others).map(|name| (*name, 1.0));
    let phase = |(organisation, rate): (&'static str, f64)| Phase {
        length: LENGTH,
        rate: rate * SHARE * spec().request_bound(),
        organisation,
        deadline: Duration::from_secs(20),
        ..Phase::default()
    };
    others.chain(senders.iter().copied()).map(phase).collect()
}

fn tail(samples: &[Sample]) -> f64 {
    let others = samples.iter().filter(|sample| sample.completion.organisation != FLOOD);
    millis(Percentiles::of(others.map(first_token)).at(99.0))
}

fn tokens(samples: &[Sample]) -> f64 {
    // The start fills the pipelines.
    let start = Duration::from_secs(3);
    throughput(samples, &Phase { start, length: LENGTH - start, ..Phase::default() })
}

fn spec() -> FleetSpec {
    let engine = Engine { domain: "north", step: 2000, item: 4000 };
    FleetSpec {
        engines: vec![engine; 2],
        nodes: 1,
        slots: 12,
        policy: Policy { first_token_ms: 10_000, progress_ms: 10_000, ..Policy::default() },
        ..FleetSpec::default()
    }
}
