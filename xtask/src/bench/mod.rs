//! Measures decisions under load on test doubles, each against its baseline in the same run.

mod control;
mod fairness;
mod fleet;
mod lag;
mod limit;
mod plot;
mod prefix;
mod recovery;
mod report;
mod retry;
mod route;
mod usage;

use std::path::Path;

use report::BenchReport;

/// Seed of all arrivals.
const SEED: u64 = 7;

/// Runs all rows, or the one named `only`. Returns whether every target was hit.
pub(crate) fn run(json: Option<&Path>, only: Option<&str>) -> bool {
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    let mut report = BenchReport::default();
    let wanted = |name: &str| only.is_none_or(|only| only == name);
    runtime.block_on(async {
        if wanted("route") {
            route::run(&mut report).await;
        }
        if wanted("limit") {
            limit::run(&mut report).await;
        }
        if wanted("fairness") {
            fairness::run(&mut report).await;
        }
        if wanted("lag") {
            lag::run(&mut report).await;
        }
        if wanted("prefix") {
            prefix::run(&mut report).await;
        }
        if wanted("retry") {
            retry::run(&mut report).await;
        }
        if wanted("control") {
            control::run(&mut report).await;
        }
        if wanted("recovery") {
            recovery::run(&mut report).await;
        }
    });
    report.finish(json)
}
