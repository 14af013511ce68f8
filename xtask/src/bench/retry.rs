use std::time::Duration;

use futures_util::join;
use settings::Policy;
use standins::EngineFaults;

use super::{
    fleet::{Engine, Fleet, FleetSpec, Phase},
    report::{BenchReport, Expectation, Row},
};

/// Rate of requests relative to the bound.
const LOAD: f64 = 0.5;
const LENGTH: Duration = Duration::from_secs(12);
/// Metric of the nodes that counts retries.
const RETRIES: &str = "gypsumrack_retries_total";

/// Measures the load that retries add while one engine loses everything that it computes.
pub(crate) async fn run(report: &mut BenchReport) {
    let (limited, unlimited) = join!(measure(10), measure(100));
    println!(
        "     retries: {:.0} of {:.0} requests with a budget of 10 %, {:.0} with 100 %",
        limited.0, limited.1, unlimited.0
    );
    report.add(Row {
        name: "retries, added attempts".into(),
        unit: "",
        figure: limited.0,
        baseline: limited.1,
        baseline_name: "requests".into(),
        target: Expectation::AtMost(0.1),
    });
}

/// Retries and requests.
async fn measure(retry_percent: u64) -> (f64, f64) {
    let engine = Engine { domain: "north", step: 2000, item: 4000 };
    let spec = FleetSpec {
        engines: vec![engine; 2],
        nodes: 1,
        slots: 24,
        policy: Policy { retry_percent, first_token_ms: 500, ..Policy::default() },
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(&format!("retry-{retry_percent}"), &spec).await;
    // The first engine of the middle stage; completions through it get no token.
    let faults = EngineFaults { drop_every: 1, ..EngineFaults::default() };
    fleet.set_faults(spec.engines.len(), &faults).await;
    let phase = Phase {
        length: LENGTH,
        rate: LOAD * spec.request_bound(),
        deadline: Duration::from_secs(4),
        ..Phase::default()
    };
    // Retries after the last request are not compared with the requests before.
    let phases = [phase];
    let (samples, retries) = join!(fleet.run(&phases), fleet.metric_after(RETRIES, LENGTH));
    (retries, samples.len() as f64)
}
