//! Soak test: edge nodes run under load against a stand-in of the users' platform, while random
//! faults hit the nodes, the platform and the links between them.
//!
//! The records of callers and workers are compared at the end: answers are complete, streams have
//! no gap, no filing runs twice, a request that was refused as not run did not run, each layer runs
//! once and in order, no request reaches a worker that has said that it is leaving or has asked for
//! a pause, requests that crash their workers are refused in time, sound ones with their other parts are
//! not, and requests are served again after the last fault.

mod callers;
mod node;
mod notices;
mod poison;

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use clock::{Clock, RuntimeClock};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use standins::{
    platform::{PlatformFault, READY_PATH, Seen},
    relay::RelayFaults,
};
use transport::HttpClient;

use crate::cluster::{CONTROL_TIMEOUTS, Process, program, workspace_root};
use callers::{Callers, Tally};
use node::EdgeNode;

/// Seeds that failed in the past, each with its cause. Every soak runs them too.
///
/// 13: a relay stopped forwarding on open connections, and the planner's watch of the key-value
/// service waited eleven seconds longer than it should have.
const REGRESSIONS: &[u64] = &[13];
/// Workers of the platform that are model engines. They have the lowest numbers.
const ENGINES: usize = 10;
/// All workers of the platform: the engines and the replicas of services.
const WORKERS: usize = 13;
/// Callers that send requests concurrently, each one request at a time.
const CALLERS: usize = 10;
/// Pause between two requests of a caller, in milliseconds.
const THINK_MS: u64 = 20;
/// Time within which the nodes have to become ready.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time between the end of the last fault and the requests that check the recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Requests that are sent after the recovery.
const FINAL_REQUESTS: u32 = 40;
/// Share of these requests that has to be served. Abandoned requests are not counted against it.
const MIN_SERVED_PERCENT: u32 = 95;
/// Range of the pauses before each fault, in milliseconds.
const FAULT_GAP_MS: std::ops::Range<u64> = 100..900;
/// Range of the durations of faults, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..2500;

/// Options of `cargo xtask soak`.
#[derive(clap::Args)]
pub(crate) struct SoakArgs {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Time under load and faults for each seed, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Number of nodes.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// Injects no faults and fails if a request is neither served nor abandoned by its caller.
    #[arg(long)]
    calm: bool,
}

/// Runs the soak. Returns whether all seeds passed.
pub(crate) fn run(args: &SoakArgs) -> bool {
    let seeds = args.seed..args.seed + args.count;
    let regressions = REGRESSIONS.iter().copied().filter(|seed| !seeds.contains(seed));
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    let mut failed = 0;
    for seed in seeds.clone().chain(regressions) {
        let problems = runtime.block_on(run_seed(seed, args));
        println!("seed {seed}: {}", if problems.is_empty() { "ok" } else { "FAILED" });
        for problem in &problems {
            println!("    {problem}");
        }
        failed += u64::from(!problems.is_empty());
    }
    println!("{failed} seeds failed");
    failed == 0
}

/// The processes of the run of one seed, with clients for their control endpoints.
struct Fleet {
    clock: Rc<dyn Clock>,
    platform: Process,
    /// Client of the platform's control endpoint.
    control: HttpClient,
    /// The relay between each node and the platform, with a client of its control endpoint.
    relays: Vec<(Process, HttpClient)>,
    nodes: Vec<EdgeNode>,
}

/// Runs the soak with one seed. Returns the problems that were found.
async fn run_seed(seed: u64, args: &SoakArgs) -> Vec<String> {
    let fleet = Rc::new(Fleet::start(seed, args.nodes));
    if !fleet.wait_ready().await {
        return vec!["the nodes did not become ready".into()];
    }
    let node_name = {
        let fleet = fleet.clone();
        Box::new(move |number: usize| fleet.nodes[number].name())
    };
    let callers = Rc::new(Callers::new(fleet.nodes.iter().map(|node| node.callers), node_name));
    let end = fleet.clock.now() + Duration::from_secs(args.seconds);
    let tasks: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (fleet, callers) = (fleet.clone(), callers.clone());
            compio::runtime::spawn(async move {
                let mut rng = StdRng::seed_from_u64(seed * 1000 + number as u64);
                let mut count = 0;
                while fleet.clock.now() < end {
                    count += 1;
                    callers.send(&format!("s{seed}-{number}-{count}"), &mut rng).await;
                    fleet.clock.sleep(Duration::from_millis(THINK_MS)).await;
                }
            })
        })
        .collect();
    let bound = poison::BoundAttempts::default();
    if !args.calm {
        compio::runtime::spawn(notices::inject(fleet.clone(), seed, end)).detach();
        let injecting = poison::inject(fleet.clone(), seed, end, bound.clone());
        compio::runtime::spawn(injecting).detach();
    }
    let mut rng = StdRng::seed_from_u64(seed);
    while fleet.clock.now() < end {
        fleet.clock.sleep(Duration::from_millis(rng.random_range(FAULT_GAP_MS))).await;
        if !args.calm {
            inject_random_fault(&fleet, &mut rng).await;
        }
    }
    for task in tasks {
        // The task has no result. A panic in it is ignored here.
        let _ = task.await;
    }
    fleet.end_faults().await;
    fleet.clock.sleep(if args.calm { Duration::ZERO } else { RECOVERY_TIME }).await;
    let during = callers.tally.take();
    for number in 0..FINAL_REQUESTS {
        callers.send(&format!("s{seed}-final-{number}"), &mut rng).await;
    }
    let after = callers.tally.take();
    let quiet = poison::check_quiet_caller(&fleet, seed).await;
    println!("    during: {:?}", during.outcomes);
    let mut problems: Vec<String> = quiet.into_iter().collect();
    let (served, all) = after.served();
    if served * 100 < all * MIN_SERVED_PERCENT - abandoned_count(&after) * 100 {
        problems.push(format!("RECOVER: {served} of {all} served: {:?}", after.outcomes));
    }
    if args.calm && during.outcomes.keys().any(|(_, outcome)| outcome != "200" && outcome != "left")
    {
        problems
            .push(format!("requests failed although no fault was injected: {:?}", during.outcomes));
    }
    match fleet.seen().await {
        Ok(seen) => {
            println!(
                "    poison arrivals: {} prompts, {} calls",
                seen.poison_prompts.len(),
                seen.poison_calls.len()
            );
            problems.extend(poison::late_requests(&seen, &bound.borrow()));
            problems.extend(check(&seen, &[during, after]));
        }
        Err(error) => problems.push(format!("the records of the workers cannot be read: {error}")),
    }
    problems
}

/// Number of requests that their callers abandoned.
fn abandoned_count(tally: &Tally) -> u32 {
    let abandoned = tally.outcomes.iter().filter(|((_, outcome), _)| outcome == "left");
    abandoned.map(|(_, count)| count).sum()
}

/// Compares the answers that callers got with what the workers ran. Returns the first problems.
fn check(seen: &Seen, tallies: &[Tally]) -> Vec<String> {
    let mut problems: Vec<String> = seen.violations.clone();
    for tally in tallies {
        problems.extend(tally.violations.iter().cloned());
        for id in &tally.not_run {
            if seen.runs.contains_key(id) {
                problems.push(format!("REFUSED: {id} was answered as not run, but it ran"));
            }
        }
        for id in &tally.filed {
            if seen.runs.get(id) != Some(&1) {
                problems.push(format!(
                    "TWICE: {id} was answered with status 200, but its run count is {:?}",
                    seen.runs.get(id)
                ));
            }
        }
    }
    problems.extend(notices::late_requests(seen, tallies));
    problems.truncate(20);
    problems
}

impl Fleet {
    fn start(seed: u64, count: usize) -> Fleet {
        let directory = workspace_root().join("target/xtask").join(format!("soak-{seed}"));
        std::fs::create_dir_all(&directory).expect("directory can be created");
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let standins = program("standins");
        let platform = Process::spawn(&standins, "platform", ["platform"], &directory);
        let control = HttpClient::new(clock.clone(), platform.addr());
        let mut relays = Vec::new();
        let mut nodes = Vec::new();
        for number in 0..count {
            let name = format!("relay-{number}");
            let args = ["relay".to_owned(), format!("--target={}", platform.addr())];
            let relay = Process::spawn(&standins, &name, args, &directory);
            nodes.push(EdgeNode::start(number, relay.port("relay"), &directory));
            let client = HttpClient::new(clock.clone(), relay.addr());
            relays.push((relay, client));
        }
        Fleet { clock, platform, control, relays, nodes }
    }

    /// Waits until all nodes are ready. Returns whether they were within `START_LIMIT`.
    async fn wait_ready(&self) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(100);
        let end = self.clock.now() + START_LIMIT;
        for node in &self.nodes {
            let client = HttpClient::new(self.clock.clone(), node.health);
            while client.call_status(http::Method::GET, READY_PATH, CONTROL_TIMEOUTS).await.is_err()
            {
                if self.clock.now() > end {
                    return false;
                }
                self.clock.sleep(POLL_INTERVAL).await;
            }
        }
        // The planner still has to wait for the engines and to load layers onto them.
        self.clock.sleep(Duration::from_secs(3)).await;
        true
    }

    /// Injects a fault of the platform, or ends it if its duration or its share is 0.
    async fn inject_platform_fault(&self, fault: &PlatformFault) {
        let done = self.control.post_json::<_, ()>("/control", fault, CONTROL_TIMEOUTS).await;
        done.unwrap_or_else(|error| {
            panic!("a fault of {} cannot be injected: {error}", self.platform.name)
        });
    }

    /// Sets the faults of the relay between a node and the platform.
    async fn set_link_faults(&self, number: usize, faults: &RelayFaults) {
        let done = self.relays[number].1.post_json::<_, ()>("/control", faults, CONTROL_TIMEOUTS);
        done.await
            .unwrap_or_else(|error| panic!("the faults of relay {number} cannot be set: {error}"));
    }

    /// Reads what the workers have recorded.
    async fn seen(&self) -> Result<Seen, transport::CallError> {
        self.control.get_json("/seen", CONTROL_TIMEOUTS).await
    }

    /// Ends all faults that are still in effect and starts the nodes whose process has ended.
    async fn end_faults(&self) {
        for (number, node) in self.nodes.iter().enumerate() {
            self.set_link_faults(number, &RelayFaults::default()).await;
            node.signal(Signal::CONT);
            if node.has_ended() {
                node.restart();
            }
        }
        for worker in 0..WORKERS {
            self.inject_platform_fault(&PlatformFault::Garble { worker, percent: 0 }).await;
        }
        self.inject_platform_fault(&PlatformFault::StoreDown { millis: 0 }).await;
        self.inject_platform_fault(&PlatformFault::StoreLosesAnswers { millis: 0 }).await;
    }
}

/// Injects one random fault. A separate task ends it, so that several faults can overlap.
async fn inject_random_fault(fleet: &Rc<Fleet>, rng: &mut StdRng) {
    let millis = rng.random_range(FAULT_MS);
    let length = Duration::from_millis(millis);
    let number = rng.random_range(0..fleet.nodes.len());
    let worker = rng.random_range(0..WORKERS);
    match rng.random_range(0..13) {
        0 => {
            fleet.nodes[number].kill();
            end_later(fleet, length, number, |fleet, number| fleet.nodes[number].restart());
        }
        1 => {
            fleet.nodes[number].signal(Signal::TERM);
            end_later(fleet, length + Duration::from_secs(4), number, |fleet, number| {
                fleet.nodes[number].restart();
            });
        }
        2 => {
            fleet.nodes[number].signal(Signal::STOP);
            end_later(fleet, length, number, |fleet, number| {
                fleet.nodes[number].signal(Signal::CONT);
            });
        }
        3 => fleet.nodes[number].signal(Signal::HUP),
        4 => fleet.inject_platform_fault(&PlatformFault::StoreDown { millis }).await,
        5 => fleet.inject_platform_fault(&PlatformFault::StoreLosesAnswers { millis }).await,
        6 => fleet.inject_platform_fault(&PlatformFault::StoreForgets).await,
        7 => fleet.inject_platform_fault(&PlatformFault::Configure).await,
        8 => fleet.inject_platform_fault(&PlatformFault::Drain { worker }).await,
        9 => fleet.inject_platform_fault(&PlatformFault::Garble { worker, percent: 20 }).await,
        10 => {
            let faults = random_link_faults(rng);
            fleet.set_link_faults(number, &faults).await;
            let fleet = fleet.clone();
            compio::runtime::spawn(async move {
                fleet.clock.sleep(length).await;
                fleet.set_link_faults(number, &RelayFaults::default()).await;
            })
            .detach();
        }
        11 => {
            // Up to three engines crash at the same time.
            let lost: BTreeSet<usize> = (0..3).map(|_| rng.random_range(0..ENGINES)).collect();
            for worker in lost {
                fleet
                    .inject_platform_fault(&PlatformFault::Crash { worker, down_millis: millis })
                    .await;
            }
        }
        _ => {
            fleet.inject_platform_fault(&PlatformFault::Crash { worker, down_millis: millis }).await
        }
    }
}

fn random_link_faults(rng: &mut StdRng) -> RelayFaults {
    match rng.random_range(0..3) {
        0 => RelayFaults { delay_millis: 100, ..RelayFaults::default() },
        1 => RelayFaults { cut: true, ..RelayFaults::default() },
        _ => RelayFaults { silence_open: true, ..RelayFaults::default() },
    }
}

/// Calls `end` with the node's number once `length` has passed.
fn end_later(
    fleet: &Rc<Fleet>,
    length: Duration,
    number: usize,
    end: impl FnOnce(&Fleet, usize) + 'static,
) {
    let fleet = fleet.clone();
    compio::runtime::spawn(async move {
        fleet.clock.sleep(length).await;
        end(&fleet, number);
    })
    .detach();
}
