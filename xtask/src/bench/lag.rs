use std::time::Duration;

use futures_util::join;
use settings::{BalancingPolicy, Policy};

use super::{
    fleet::{Engine, Fleet, FleetSpec, Phase, first_tokens, millis},
    report::{BenchReport, Expectation, Row},
};

/// Rate of requests relative to the bound.
const LOAD: f64 = 0.7;

/// Compares routes by old load reports with and without the nodes' own counts.
pub(crate) async fn run(report: &mut BenchReport) {
    let (counted, reported) =
        join!(measure(BalancingPolicy::Estimate), measure(BalancingPolicy::EstimateByReports));
    report.add(Row {
        name: "lag, p99 time to first token with reports 1 s old".into(),
        unit: "ms",
        figure: counted,
        baseline: reported,
        baseline_name: "without own counts".into(),
        target: Expectation::Lower,
    });
}

async fn measure(kind: BalancingPolicy) -> f64 {
    let engine = Engine { domain: "north", step: 2000, item: 4000 };
    let spec = FleetSpec {
        engines: vec![engine; 4],
        nodes: 3,
        slots: 24,
        lag: Duration::from_secs(1),
        policy: Policy {
            route: kind,
            // The limit uses the own counts, so it would hide the difference.
            slot_percent: 0,
            first_token_ms: 10_000,
            progress_ms: 10_000,
            ..Policy::default()
        },
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(&format!("lag-{kind}"), &spec).await;
    let phase = Phase {
        length: Duration::from_secs(8),
        rate: LOAD * spec.request_bound(),
        ..Phase::default()
    };
    let samples = fleet.run(std::slice::from_ref(&phase)).await;
    millis(first_tokens(&samples, &phase).at(99.0))
}
