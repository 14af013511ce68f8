use std::time::Duration;

use futures_util::join;
use settings::{BalancingPolicy, Policy};

use super::{
    fleet::{Engine, Fleet, FleetSpec, Phase, first_tokens, millis},
    report::{BenchReport, Expectation, Row},
};

/// Rate of requests relative to the bound of the decoding steps.
const LOAD: f64 = 0.4;
/// Time of the prefill of one token, in microseconds.
const PREFILL: u64 = 200;
/// Prompt prefixes in use.
const PREFIXES: u32 = 48;
/// Blocks of 16 tokens that an engine caches: about a third of all prefixes.
const CACHE_BLOCKS: u32 = 400;

/// Compares the reuse of prompt prefixes with a fleet in which every prefill is free, which no
/// knowledge of the caches can beat.
pub(crate) async fn run(report: &mut BenchReport) {
    let (reused, perfect, least) = join!(
        measure("estimate", BalancingPolicy::Estimate, PREFILL),
        measure("perfect", BalancingPolicy::Estimate, 0),
        measure("least", BalancingPolicy::LeastOutstanding, PREFILL),
    );
    println!(
        "     prefix: p50 time to first token {:.0} ms, least outstanding {:.0} ms",
        reused.0, least.0
    );
    report.add(Row {
        name: "prefix, p50 time to first token".into(),
        unit: "ms",
        figure: reused.0,
        baseline: perfect.0,
        baseline_name: "perfect knowledge".into(),
        target: Expectation::AtMost(1.5),
    });
    report.add(Row {
        name: "prefix, p99 time to first token".into(),
        unit: "ms",
        figure: reused.1,
        baseline: least.1,
        baseline_name: "least outstanding".into(),
        target: Expectation::Lower,
    });
}

async fn measure(name: &str, kind: BalancingPolicy, prefill: u64) -> (f64, f64) {
    let engine = Engine { domain: "north", step: 2000, item: 4000 };
    let spec = FleetSpec {
        engines: vec![engine; 4],
        nodes: 2,
        slots: 24,
        prefill,
        cache_blocks: CACHE_BLOCKS,
        policy: Policy {
            route: kind,
            first_token_ms: 10_000,
            progress_ms: 10_000,
            ..Policy::default()
        },
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(&format!("prefix-{name}"), &spec).await;
    let phase = |start, seconds| Phase {
        start: Duration::from_secs(start),
        length: Duration::from_secs(seconds),
        rate: LOAD * spec.request_bound(),
        prefixes: PREFIXES,
        ..Phase::default()
    };
    // The first phase fills the caches.
    let phases = [phase(0, 4), phase(4, 8)];
    let samples = fleet.run(&phases).await;
    let first = first_tokens(&samples, &phases[1]);
    (millis(first.at(50.0)), millis(first.at(99.0)))
}
