//! Random faults from outside on real nodes, against the stand-in of the users' platform.
//!
//! The promises are checked from what callers and workers see: whole answers, no stream with a gap,
//! nothing run twice, true refusals, layers once and in order, recovery after the faults.

mod callers;
mod node;

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

/// Seeds that have failed once, with the cause. They are run with every short soak.
///
/// 13: a relay fell silent on open connections, and the planner's watch waited eleven seconds more.
const REGRESSIONS: &[u64] = &[13];
/// Workers of the platform that are model engines, and all of them.
const ENGINES: usize = 10;
const WORKERS: usize = 13;
/// Requests at once.
const CALLERS: usize = 10;
/// Pause between two requests of a caller, in milliseconds.
const THINK_MS: u64 = 20;
/// Time that the nodes have to become ready.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time that the fleet has to recover after the last fault.
const RECOVERY: Duration = Duration::from_secs(6);
/// Requests after the recovery, and the share of them that has to be served, in percent.
const FINAL_REQUESTS: u32 = 40;
const FINAL_PERCENT: u32 = 95;
/// Pauses between two faults, in milliseconds.
const FAULT_GAP_MS: std::ops::Range<u64> = 100..900;
/// Lengths of faults, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..2500;

/// Which soak to run.
#[derive(clap::Args)]
pub(crate) struct SoakArgs {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Seconds of faults for each seed.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Nodes.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// Injects no fault: a calm day.
    #[arg(long)]
    calm: bool,
}

/// Runs the soak. Returns whether every promise was kept.
pub(crate) fn run(args: &SoakArgs) -> bool {
    let seeds = args.seed..args.seed + args.count;
    let regressions = REGRESSIONS.iter().copied().filter(|seed| !seeds.contains(seed));
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    let mut failed = 0;
    for seed in seeds.clone().chain(regressions) {
        let faults = runtime.block_on(run_seed(seed, args));
        println!("seed {seed}: {}", if faults.is_empty() { "ok" } else { "FAILED" });
        for fault in &faults {
            println!("    {fault}");
        }
        failed += u64::from(!faults.is_empty());
    }
    println!("{failed} seeds failed");
    failed == 0
}

/// The processes of one run.
struct Fleet {
    clock: Rc<dyn Clock>,
    platform: Process,
    control: HttpClient,
    relays: Vec<(Process, HttpClient)>,
    nodes: Vec<EdgeNode>,
}

async fn run_seed(seed: u64, args: &SoakArgs) -> Vec<String> {
    let fleet = Rc::new(Fleet::start(seed, args.nodes));
    if !fleet.wait_ready().await {
        return vec!["the nodes did not become ready".into()];
    }
    let callers = Rc::new(Callers::new(fleet.nodes.iter().map(|node| node.callers)));
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
    let mut rng = StdRng::seed_from_u64(seed);
    while fleet.clock.now() < end {
        fleet.clock.sleep(Duration::from_millis(rng.random_range(FAULT_GAP_MS))).await;
        if !args.calm {
            inject(&fleet, &mut rng).await;
        }
    }
    for task in tasks {
        // A task ends by itself; its result is empty.
        let _ = task.await;
    }
    fleet.end_faults().await;
    fleet.clock.sleep(if args.calm { Duration::ZERO } else { RECOVERY }).await;
    let during = callers.tally.take();
    for number in 0..FINAL_REQUESTS {
        callers.send(&format!("s{seed}-final-{number}"), &mut rng).await;
    }
    let after = callers.tally.take();
    println!("    during: {:?}", during.outcomes);
    let mut faults = Vec::new();
    let (served, all) = after.served();
    if served * 100 < all * FINAL_PERCENT - callers_left(&after) * 100 {
        faults.push(format!("RECOVER: {served} of {all} served: {:?}", after.outcomes));
    }
    if args.calm && during.outcomes.keys().any(|(_, outcome)| outcome != "200" && outcome != "left")
    {
        faults.push(format!("calm day: {:?}", during.outcomes));
    }
    match fleet.seen().await {
        Ok(seen) => faults.extend(check(&seen, &[during, after])),
        Err(error) => faults.push(format!("the platform cannot be asked: {error}")),
    }
    faults
}

fn callers_left(tally: &Tally) -> u32 {
    let left = tally.outcomes.iter().filter(|((_, outcome), _)| outcome == "left");
    left.map(|(_, count)| count).sum()
}

/// Compares what callers were told with what workers saw.
fn check(seen: &Seen, tallies: &[Tally]) -> Vec<String> {
    let mut faults: Vec<String> = seen.violations.clone();
    for tally in tallies {
        faults.extend(tally.violations.iter().cloned());
        for id in &tally.promised {
            if seen.runs.contains_key(id) {
                faults.push(format!("REFUSED: {id} was said not to have run, but it ran"));
            }
        }
        for id in &tally.filed {
            if seen.runs.get(id) != Some(&1) {
                faults
                    .push(format!("TWICE: {id} was filed, and ran {:?} times", seen.runs.get(id)));
            }
        }
    }
    faults.truncate(20);
    faults
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

    async fn wait_ready(&self) -> bool {
        /// Time between two questions.
        const POLL: Duration = Duration::from_millis(100);
        let end = self.clock.now() + START_LIMIT;
        for node in &self.nodes {
            let client = HttpClient::new(self.clock.clone(), node.health);
            while client.call_status(http::Method::GET, READY_PATH, CONTROL_TIMEOUTS).await.is_err()
            {
                if self.clock.now() > end {
                    return false;
                }
                self.clock.sleep(POLL).await;
            }
        }
        // The planner waits for the engines and loads them.
        self.clock.sleep(Duration::from_secs(3)).await;
        true
    }

    async fn switch(&self, fault: &PlatformFault) {
        let done = self.control.post_json::<_, ()>("/control", fault, CONTROL_TIMEOUTS).await;
        done.unwrap_or_else(|error| panic!("{} cannot be switched: {error}", self.platform.name));
    }

    async fn link(&self, number: usize, faults: &RelayFaults) {
        let done = self.relays[number].1.post_json::<_, ()>("/control", faults, CONTROL_TIMEOUTS);
        done.await.unwrap_or_else(|error| panic!("relay {number} cannot be switched: {error}"));
    }

    async fn seen(&self) -> Result<Seen, transport::CallError> {
        self.control.get_json("/seen", CONTROL_TIMEOUTS).await
    }

    /// Ends all faults and starts what has ended.
    async fn end_faults(&self) {
        for (number, node) in self.nodes.iter().enumerate() {
            self.link(number, &RelayFaults::default()).await;
            node.signal(Signal::CONT);
            if node.has_ended() {
                node.restart();
            }
        }
        for worker in 0..WORKERS {
            self.switch(&PlatformFault::Garble { worker, percent: 0 }).await;
        }
        self.switch(&PlatformFault::StoreDown { millis: 0 }).await;
        self.switch(&PlatformFault::StoreLosesAnswers { millis: 0 }).await;
    }
}

/// Injects one fault, and ends it after a while beside the others.
async fn inject(fleet: &Rc<Fleet>, rng: &mut StdRng) {
    let millis = rng.random_range(FAULT_MS);
    let length = Duration::from_millis(millis);
    let number = rng.random_range(0..fleet.nodes.len());
    let worker = rng.random_range(0..WORKERS);
    match rng.random_range(0..13) {
        0 => {
            fleet.nodes[number].kill();
            later(fleet, length, number, |fleet, number| fleet.nodes[number].restart());
        }
        1 => {
            fleet.nodes[number].signal(Signal::TERM);
            later(fleet, length + Duration::from_secs(4), number, |fleet, number| {
                fleet.nodes[number].restart();
            });
        }
        2 => {
            fleet.nodes[number].signal(Signal::STOP);
            later(fleet, length, number, |fleet, number| {
                fleet.nodes[number].signal(Signal::CONT);
            });
        }
        3 => fleet.nodes[number].signal(Signal::HUP),
        4 => fleet.switch(&PlatformFault::StoreDown { millis }).await,
        5 => fleet.switch(&PlatformFault::StoreLosesAnswers { millis }).await,
        6 => fleet.switch(&PlatformFault::StoreForgets).await,
        7 => fleet.switch(&PlatformFault::Configure).await,
        8 => fleet.switch(&PlatformFault::Drain { worker }).await,
        9 => fleet.switch(&PlatformFault::Garble { worker, percent: 20 }).await,
        10 => {
            let faults = random_link(rng);
            fleet.link(number, &faults).await;
            let fleet = fleet.clone();
            compio::runtime::spawn(async move {
                fleet.clock.sleep(length).await;
                fleet.link(number, &RelayFaults::default()).await;
            })
            .detach();
        }
        11 => {
            // A group of engines is lost together.
            let lost: BTreeSet<usize> = (0..3).map(|_| rng.random_range(0..ENGINES)).collect();
            for worker in lost {
                fleet.switch(&PlatformFault::Crash { worker, down_millis: millis }).await;
            }
        }
        _ => fleet.switch(&PlatformFault::Crash { worker, down_millis: millis }).await,
    }
}

fn random_link(rng: &mut StdRng) -> RelayFaults {
    match rng.random_range(0..3) {
        0 => RelayFaults { delay_millis: 100, ..RelayFaults::default() },
        1 => RelayFaults { cut: true, ..RelayFaults::default() },
        _ => RelayFaults { silence_open: true, ..RelayFaults::default() },
    }
}

fn later(
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
