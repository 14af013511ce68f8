use std::time::Duration;

use futures_util::join;
use loadgen::Percentiles;
use settings::Policy;

use super::{
    fleet::{Engine, Fleet, FleetSpec, Phase, is_good, millis},
    report::{BenchReport, Expectation, Row},
};

/// Rate of requests relative to the bound.
const LOAD: f64 = 1.5;

/// Compares a concurrency limit with a queue against none, under overload.
pub(crate) async fn run(report: &mut BenchReport) {
    let (limited, unlimited) = join!(measure("limit", 100), measure("no-limit", 0));
    report.add(Row {
        name: format!("limit, answers in time at {LOAD} of the bound"),
        unit: "1/s",
        figure: limited.good,
        baseline: unlimited.good,
        baseline_name: "no limit".into(),
        target: Expectation::AtLeast(1.0),
    });
    report.add(Row {
        name: "limit, p95 time between tokens".into(),
        unit: "ms",
        figure: limited.interval,
        baseline: unlimited.interval,
        baseline_name: "no limit".into(),
        target: Expectation::Lower,
    });
}

struct Figures {
    good: f64,
    interval: f64,
}

async fn measure(name: &str, slot_percent: u64) -> Figures {
    let spec = spec(slot_percent);
    let fleet = Fleet::start(name, &spec).await;
    let phase = Phase {
        length: Duration::from_secs(10),
        rate: LOAD * spec.request_bound(),
        deadline: Duration::from_secs(2),
        ..Phase::default()
    };
    let samples = fleet.run(std::slice::from_ref(&phase)).await;
    let good = samples.iter().filter(|sample| is_good(sample)).count();
    let intervals = samples.iter().flat_map(|sample| sample.outcome.intervals.iter().copied());
    Figures {
        good: good as f64 / phase.length.as_secs_f64(),
        interval: millis(Percentiles::of(intervals).at(95.0)),
    }
}

fn spec(slot_percent: u64) -> FleetSpec {
    let engine = Engine { domain: "north", step: 2000, item: 4000 };
    FleetSpec {
        engines: vec![engine; 2],
        nodes: 2,
        slots: 12,
        policy: Policy {
            slot_percent,
            first_token_ms: 10_000,
            progress_ms: 10_000,
            ..Policy::default()
        },
        ..FleetSpec::default()
    }
}
