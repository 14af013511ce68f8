//! The main job on embedded defaults: completions and filings through three nodes, with one engine
//! killed while they run.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use futures_util::{StreamExt, stream};
use loadgen::{CallerClient, CompletionOutcome, FilingOutcome};
use transport::HttpClient;

use crate::{
    cluster::{CONTROL_TIMEOUTS, Cluster, EngineSpec, Process},
    workload::{DOMAINS, completion, engine_specs, expected_text, filing, fleet_config},
};

const NODES: usize = 3;
const COMPLETIONS: u32 = 200;
const FILINGS: u32 = 100;
/// Completions that run at once.
const CONCURRENT_DRAFTS: usize = 24;
/// Filings that run at once.
const CONCURRENT_FILINGS: usize = 8;
/// Time after the start of the load at which an engine is killed.
const KILL_AFTER: Duration = Duration::from_millis(600);
/// Name of the engine that starts without a model.
const SPARE: &str = "spare-0";
/// What the engine that is killed has loaded.
const LOST_LAYERS: &str = "permits 0..8 version 1";
/// Time after which the spare engine must have replaced the lost one.
const REPAIR_LIMIT: Duration = Duration::from_secs(20);
/// Time that the nodes have to shut down.
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// Runs the demo. Returns whether every check passed.
pub(crate) fn run() -> bool {
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    runtime.block_on(run_checks())
}

async fn run_checks() -> bool {
    let mut cluster = Cluster::start("demo");
    let specs = engine_specs(2);
    for spec in &specs {
        cluster.add_engine(spec).await;
    }
    cluster.add_engine(&spare_engine()).await;
    cluster.add_service("registry-0", DOMAINS[0]).await;
    cluster.configure(&fleet_config()).await;
    for (index, domain) in DOMAINS.iter().enumerate() {
        cluster.add_node(&format!("node-{index}"), domain).await;
    }
    let ready = cluster.wait_ready(specs.len() + 1).await;
    let mut checks = Checks::default();
    checks.check(
        ready,
        format!("{NODES} nodes are ready and know {} engines and 1 plain service", specs.len() + 1),
    );
    if !ready {
        return checks.finish();
    }
    let victim = cluster.engines.remove(0);
    let clients: Rc<Vec<CallerClient>> = Rc::new(
        cluster
            .nodes
            .iter()
            .map(|node| CallerClient::new(cluster.clock.clone(), node.port("callers")))
            .collect(),
    );
    let kill = async {
        cluster.clock.sleep(KILL_AFTER).await;
        victim.kill();
    };
    let started = cluster.clock.now();
    let (completions, filings, ()) =
        futures_util::join!(run_completions(&clients), run_filings(&clients), kill);
    let seconds = cluster.clock.now().since(started).as_secs_f64();
    check_completions(&mut checks, &completions);
    let service = HttpClient::new(cluster.clock.clone(), cluster.services[0].addr());
    let runs = service.get_json("/control/runs", CONTROL_TIMEOUTS).await.unwrap_or_default();
    check_filings(&mut checks, &filings, &runs);
    println!("     load ran for {seconds:.1} s; engine {} was killed during it", victim.name);
    let repaired = wait_repaired(&cluster).await;
    checks.check(repaired.is_some(), "the spare engine was ordered to replace the lost one".into());
    if let Some(time) = repaired {
        println!("     it was loaded {:.1} s after the load ended", time.as_secs_f64());
    }
    let stopped = stop_nodes(&cluster).await;
    checks.check(stopped, format!("{NODES} nodes shut down gracefully when asked to"));
    checks.finish()
}

/// Waits until the spare engine holds the layers of the engine that was killed. Returns how long it
/// took.
async fn wait_repaired(cluster: &Cluster) -> Option<Duration> {
    let started = cluster.clock.now();
    loop {
        let waited = cluster.clock.now().since(started);
        let status = cluster.status(&cluster.nodes[0]).await;
        let engines = status.map(|status| status.engines).unwrap_or_default();
        if engines
            .iter()
            .any(|engine| engine.engine.as_str() == SPARE && engine.loaded == LOST_LAYERS)
        {
            return Some(waited);
        }
        if waited > REPAIR_LIMIT {
            return None;
        }
        cluster.clock.sleep(Duration::from_millis(50)).await;
    }
}

/// Asks the nodes to stop. Returns whether all of them end with success in time.
async fn stop_nodes(cluster: &Cluster) -> bool {
    cluster.nodes.iter().for_each(Process::terminate);
    let deadline = cluster.clock.now() + STOP_LIMIT;
    while cluster.clock.now() < deadline {
        let codes: Vec<_> = cluster.nodes.iter().map(Process::exit_code).collect();
        if codes.iter().all(Option::is_some) {
            return codes.iter().all(|code| *code == Some(0));
        }
        cluster.clock.sleep(Duration::from_millis(20)).await;
    }
    false
}

fn spare_engine() -> EngineSpec {
    EngineSpec { name: SPARE.into(), domain: DOMAINS[0].into(), args: Vec::new() }
}

async fn run_completions(clients: &Rc<Vec<CallerClient>>) -> Vec<CompletionOutcome> {
    stream::iter(0..COMPLETIONS)
        .map(|number| async move {
            clients[number as usize % clients.len()].completion(&completion(number)).await
        })
        .buffered(CONCURRENT_DRAFTS)
        .collect()
        .await
}

/// Sends each filing to two different nodes; every other one to both at the same time.
async fn run_filings(clients: &Rc<Vec<CallerClient>>) -> Vec<[FilingOutcome; 2]> {
    stream::iter(0..FILINGS)
        .map(|number| async move {
            let first = &clients[number as usize % clients.len()];
            let second = &clients[(number as usize + 1) % clients.len()];
            let (original, again) = (filing(number, true), filing(number, false));
            if number % 2 == 0 {
                let both = futures_util::join!(first.file(&original), second.file(&again));
                [both.0, both.1]
            } else {
                [first.file(&original).await, second.file(&again).await]
            }
        })
        .buffered(CONCURRENT_FILINGS)
        .collect()
        .await
}

fn check_completions(checks: &mut Checks, completions: &[CompletionOutcome]) {
    let wrong: Vec<_> = (0..COMPLETIONS)
        .zip(completions)
        .filter(|(number, outcome)| !outcome.is_correct(&expected_text(&completion(*number))))
        .collect();
    for (number, outcome) in wrong.iter().take(5) {
        println!("completion {number}: {outcome:?}");
    }
    checks.check(
        wrong.is_empty(),
        format!(
            "{} of {COMPLETIONS} completions were whole and correct",
            completions.len() - wrong.len()
        ),
    );
    let retried = completions.iter().filter(|outcome| outcome.attempts > 1).count();
    println!("     {retried} completions needed more than one attempt");
}

fn check_filings(
    checks: &mut Checks,
    filings: &[[FilingOutcome; 2]],
    runs: &BTreeMap<String, u32>,
) {
    let once = (0..FILINGS).filter(|n| runs.get(&filing(*n, true).key) == Some(&1)).count();
    checks.check(
        once == FILINGS as usize && runs.len() == once,
        format!("{once} of {FILINGS} filings ran exactly once"),
    );
    let same = |pair: &[FilingOutcome; 2]| {
        pair.iter().all(|outcome| outcome.status == 201) && pair[0].body == pair[1].body
    };
    let equal = filings.iter().filter(|pair| same(pair)).count();
    for pair in filings.iter().filter(|pair| !same(pair)).take(5) {
        println!("filing: {pair:?}");
    }
    checks.check(
        equal == FILINGS as usize,
        format!("both sends of {equal} of {FILINGS} filings got the same answer"),
    );
}

/// Prints checks and counts them.
#[derive(Default)]
struct Checks {
    passed: u32,
    failed: u32,
}

impl Checks {
    fn check(&mut self, holds: bool, text: String) {
        if holds {
            self.passed += 1;
            println!("ok   {text}");
        } else {
            self.failed += 1;
            println!("FAIL {text}");
        }
    }

    fn finish(&self) -> bool {
        println!("{} passed, {} failed", self.passed, self.failed);
        self.failed == 0
    }
}
