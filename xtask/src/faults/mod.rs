//! The fault matrix: each case starts the processes that it needs, injects a fault and checks
//! what callers and upstreams saw.

mod at_most_once;
mod case;
mod completions;
mod config_changes;
mod drains;
mod filings;
mod links;
mod orders;
mod poison;
mod report;
mod revisions;
mod sequences;
mod service_faults;
mod store_faults;
mod stream_integrity;
mod testbed;

use std::{panic::AssertUnwindSafe, path::PathBuf, rc::Rc, time::Duration};

use clock::{Clock, RuntimeClock, timeout};
use futures_util::{FutureExt, StreamExt, stream};

pub(crate) use case::{Case, CaseReport, Context};
use report::{Row, Rows};

/// Cases that run concurrently. More would distort the measured times on a small machine.
const PARALLEL_CASES: usize = 3;
/// Time after which a case is aborted and counted as failed.
const CASE_TIMEOUT: Duration = Duration::from_secs(90);

/// Options of `cargo xtask faults`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct FaultsArgs {
    /// Seed of the random durations and of the random sequences of faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs only the cases whose names start with this text.
    #[arg(long, default_value = "")]
    only: String,
    /// Runs random sequences of faults under load instead of the matrix.
    #[arg(long)]
    long: bool,
    /// Number of random sequences. The first one uses `--seed`, each further one the next seed.
    #[arg(long, default_value_t = 10)]
    count: u64,
    /// File to write the results to, as Markdown tables.
    #[arg(long)]
    markdown: Option<PathBuf>,
}

/// Runs the chosen cases. Returns whether at least one ran and none failed except those listed as
/// known red.
pub(crate) fn run(args: &FaultsArgs) -> bool {
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    let rows = runtime.block_on(run_cases(args));
    if let Some(file) = &args.markdown {
        std::fs::write(file, rows.markdown()).expect("table can be written");
    }
    rows.finish()
}

async fn run_cases(args: &FaultsArgs) -> Rows {
    let runs: Vec<(Case, u64)> = if args.long {
        let seeds = args.seed..args.seed + args.count;
        seeds.map(|seed| (sequences::case(), seed)).collect()
    } else {
        matrix_cases().into_iter().map(|case| (case, args.seed)).collect()
    };
    let selected = runs.into_iter().filter(|(case, _)| case.name.starts_with(&args.only));
    let mut rows = Rows::new();
    // Sequences send thousands of filings, each over new connections. Three concurrent sequences
    // left more than 33,000 closed connections, which used up the machine's ephemeral ports.
    let concurrency = if args.long { 1 } else { PARALLEL_CASES };
    let mut running = stream::iter(selected)
        .map(|(case, seed)| run_case(case, seed))
        .buffer_unordered(concurrency);
    while let Some(row) = running.next().await {
        rows.add(row);
    }
    drop(running);
    rows
}

/// The cases of the matrix, without the random sequences.
fn matrix_cases() -> Vec<Case> {
    let mut cases = at_most_once::cases();
    cases.extend(service_faults::cases());
    cases.extend(store_faults::cases());
    cases.extend(stream_integrity::cases());
    cases.extend(links::cases());
    cases.extend(drains::cases());
    cases.extend(config_changes::cases());
    cases.extend(orders::cases());
    cases.extend(poison::cases());
    cases
}

/// Runs one case. A panic or a timeout becomes a problem of its report.
async fn run_case(case: Case, seed: u64) -> Row {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let directory = format!("faults/{}-{seed}", case.name.replace('/', "-"));
    let run = AssertUnwindSafe(case.scenario.run(Context { directory, seed })).catch_unwind();
    let report = match timeout(&*clock, CASE_TIMEOUT, run).await {
        Ok(Ok(report)) => report,
        Ok(Err(_)) => {
            CaseReport { problems: vec!["the case panicked".into()], ..CaseReport::default() }
        }
        Err(_) => {
            let problem = format!("the case timed out after {} s", CASE_TIMEOUT.as_secs());
            CaseReport { problems: vec![problem], ..CaseReport::default() }
        }
    };
    Row { case, seed, report }
}
