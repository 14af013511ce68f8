//! Random sequences of faults, several at once or twice, while completions and filings go on.

use std::{cell::Cell, time::Duration};

use futures_util::{future::join_all, join};
use loadgen::Filing;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde::Serialize;
use standins::{
    EngineFaults, keyvalue::KeyValueFaults, relay::RelayFaults, service::ServiceFaults,
};
use strum::IntoEnumIterator;
use types::Verdict;

use crate::{
    cluster::Process,
    faults::{
        Case, CaseReport, Context,
        completions::completion,
        filings::{filing, first_filing},
        testbed::{Setup, Testbed},
    },
    workload::{DOMAINS, expected_text},
};

const NODES: usize = 3;
const SERVICES: usize = 2;
/// Rounds of faults in one sequence.
const ROUNDS: u32 = 8;
/// Faults at once.
const MOST_FAULTS: usize = 3;
/// Sends of one filing.
const SENDS: u32 = 4;
/// Callers of completions and of filings, each.
const CALLERS: u32 = 3;
/// Requests of one caller at most.
const MOST_REQUESTS: u32 = 500;
/// How late answers may be, since nodes are paused.
const LATE: Duration = Duration::from_secs(10);
/// Time that requests have to end after the last fault.
const SETTLE: Duration = Duration::from_secs(3);

/// A fault of a sequence.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Disturbance {
    KillEngine,
    PauseEngine,
    HangEngine,
    DropHandoffs,
    DuplicateHandoffs,
    KillNode,
    PauseNode,
    PauseService,
    LoseServiceAnswers,
    PauseStore,
    RefuseStore,
    LoseStoreAnswers,
    LoseStoreWrites,
    SilenceLink,
    CutLink,
    DelayLink,
}

/// A fault that was injected into a part.
struct Injected {
    kind: Disturbance,
    /// Index of the engine, node, service or link.
    part: usize,
}

/// A random sequence; its seed is that of the run.
pub(crate) fn case() -> Case {
    Case::new("sequence", "R1 R2 R3 R4", "several", sequence)
}

async fn sequence(context: Context) -> CaseReport {
    let setup =
        Setup { nodes: NODES, services: SERVICES, replicas: 2, relays: true, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    testbed.allow_late(LATE);
    let stop = Cell::new(false);
    let disturb = async {
        let mut rng = context.rng();
        for _ in 0..ROUNDS {
            disturb_once(&testbed, &mut rng).await;
        }
        testbed.cluster.clock.sleep(SETTLE).await;
        stop.set(true);
    };
    let completions = join_all((0..CALLERS).map(|caller| run_completions(&testbed, &stop, caller)));
    let filings = join_all((0..CALLERS).map(|caller| {
        // Each caller draws from its own numbers, so that the faults stay those of the seed.
        let seed = context.seed * u64::from(CALLERS + 1) + u64::from(caller) + 1;
        run_filings(&testbed, &stop, caller, StdRng::seed_from_u64(seed))
    }));
    let (whole, _, ()) = join!(completions, filings, disturb);
    let whole: u32 = whole.iter().sum();
    testbed.check(whole > 0, || "no completion was whole".into());
    let healed = testbed.now();
    testbed.send_until_ran(0, &first_filing("last")).await;
    testbed.completion(0, &completion(0)).await;
    testbed.record_recovery(testbed.now().since(healed));
    testbed.set_note(format!(
        "{whole} whole completions, {} sends of filings",
        testbed.sends.borrow().len()
    ));
    testbed.finish().await
}

/// Injects some faults one after the other, and heals them after a while.
async fn disturb_once(testbed: &Testbed, rng: &mut StdRng) {
    let mut injected = Vec::new();
    let mut log = Vec::new();
    for _ in 0..rng.random_range(1..=MOST_FAULTS) {
        let kinds: Vec<Disturbance> = Disturbance::iter().collect();
        let Some(kind) = kinds.choose(rng).copied() else { return };
        let fault = Injected { kind, part: rng.random_range(0..64) };
        log.push(format!("{kind} {}", fault.part));
        fault.inject(testbed).await;
        injected.push(fault);
        testbed.sleep(rng.random_range(0..300)).await;
    }
    testbed.sleep(rng.random_range(300..1500)).await;
    println!("          {}: {}", testbed.cluster.directory.display(), log.join(", "));
    for fault in injected {
        fault.heal(testbed).await;
    }
    testbed.sleep(rng.random_range(0..800)).await;
}

impl Injected {
    async fn inject(&self, testbed: &Testbed) {
        let engine = pick(&testbed.cluster.engines, self.part);
        let none = EngineFaults::default();
        match self.kind {
            Disturbance::KillEngine => engine.kill(),
            Disturbance::PauseEngine => engine.pause(),
            Disturbance::HangEngine => {
                testbed.disturb(engine, &EngineFaults { hang: true, ..none }).await;
            }
            Disturbance::DropHandoffs => {
                testbed.disturb(engine, &EngineFaults { drop_every: 20, ..none }).await;
            }
            Disturbance::DuplicateHandoffs => {
                testbed.disturb(engine, &EngineFaults { duplicate: true, ..none }).await;
            }
            Disturbance::KillNode => pick(&testbed.cluster.nodes, self.part).kill(),
            Disturbance::PauseNode => pick(&testbed.cluster.nodes, self.part).pause(),
            Disturbance::PauseService => pick(&testbed.cluster.services, self.part).pause(),
            Disturbance::LoseServiceAnswers => {
                let faults = ServiceFaults { lose_answers: 3, ..ServiceFaults::default() };
                testbed.disturb(pick(&testbed.cluster.services, self.part), &faults).await;
            }
            Disturbance::PauseStore => testbed.cluster.keyvalue.pause(),
            Disturbance::RefuseStore => self.store(testbed, |faults| faults.refuse = true).await,
            Disturbance::LoseStoreAnswers => {
                self.store(testbed, |faults| faults.lose_answers = 3).await;
            }
            Disturbance::LoseStoreWrites => {
                self.store(testbed, |faults| faults.lose_writes = 3).await;
            }
            Disturbance::SilenceLink => {
                let faults = RelayFaults { silence_open: true, ..RelayFaults::default() };
                testbed.disturb(pick(&testbed.cluster.relays, self.part), &faults).await;
            }
            Disturbance::CutLink => {
                let faults = RelayFaults { cut: true, ..RelayFaults::default() };
                testbed.disturb(pick(&testbed.cluster.relays, self.part), &faults).await;
            }
            Disturbance::DelayLink => {
                let faults = RelayFaults { delay_millis: 100, ..RelayFaults::default() };
                testbed.disturb(pick(&testbed.cluster.relays, self.part), &faults).await;
            }
        }
    }

    async fn heal(&self, testbed: &Testbed) {
        let engine = pick(&testbed.cluster.engines, self.part);
        let service = pick(&testbed.cluster.services, self.part);
        let node = self.part % testbed.cluster.nodes.len();
        match self.kind {
            Disturbance::KillEngine => engine.restart(),
            Disturbance::PauseEngine => engine.resume(),
            Disturbance::HangEngine
            | Disturbance::DropHandoffs
            | Disturbance::DuplicateHandoffs => {
                engine.resume();
                testbed.disturb(engine, &EngineFaults::default()).await;
            }
            Disturbance::KillNode => testbed.cluster.restart_node(node, DOMAINS[node % 3]),
            Disturbance::PauseNode => testbed.cluster.nodes[node].resume(),
            Disturbance::PauseService => service.resume(),
            Disturbance::LoseServiceAnswers => {
                service.resume();
                testbed.disturb(service, &ServiceFaults::default()).await;
            }
            Disturbance::PauseStore => testbed.cluster.keyvalue.resume(),
            Disturbance::RefuseStore
            | Disturbance::LoseStoreAnswers
            | Disturbance::LoseStoreWrites => {
                testbed.cluster.keyvalue.resume();
                self.store(testbed, |_| {}).await;
            }
            Disturbance::SilenceLink | Disturbance::CutLink | Disturbance::DelayLink => {
                let relay = pick(&testbed.cluster.relays, self.part);
                testbed.disturb(relay, &RelayFaults::default()).await;
            }
        }
    }

    async fn store(&self, testbed: &Testbed, set: impl FnOnce(&mut KeyValueFaults)) {
        let mut faults = KeyValueFaults::default();
        set(&mut faults);
        testbed.disturb(&testbed.cluster.keyvalue, &faults).await;
    }
}

impl Testbed {
    /// Sets faults of a process that another fault may have killed or paused.
    async fn disturb<T: Serialize>(&self, process: &Process, faults: &T) {
        if let Err(error) = self.cluster.control(process, faults).await {
            println!("          faults of {} were not set: {error}", process.name);
        }
    }
}

/// Requests completions until `stop`. Returns how many were whole; those have to be correct.
async fn run_completions(testbed: &Testbed, stop: &Cell<bool>, caller: u32) -> u32 {
    let mut whole = 0;
    for number in 0..MOST_REQUESTS {
        if stop.get() {
            break;
        }
        let completion = completion(caller * MOST_REQUESTS + number);
        let node = (caller + number) as usize % NODES;
        let (outcome, correct) = testbed.try_completion(node, &completion).await;
        if outcome.status == 200 && outcome.error.is_none() {
            whole += 1;
            testbed.check(correct, || format!("a completion reported whole is wrong: {outcome:?}"));
        } else {
            let prefix = expected_text(&completion).starts_with(&outcome.text);
            testbed.check(prefix, || format!("the part of a completion is wrong: {outcome:?}"));
            // A node that was killed refuses at once.
            testbed.sleep(100).await;
        }
    }
    whole
}

/// Sends filings, each until it ran or several times, until `stop`.
async fn run_filings(testbed: &Testbed, stop: &Cell<bool>, caller: u32, mut rng: StdRng) {
    for number in 0..MOST_REQUESTS {
        if stop.get() {
            return;
        }
        let key = format!("key-{caller}-{number}");
        for send in 0..SENDS {
            let node = rng.random_range(0..NODES);
            let next = Filing { first_send: send == 0, ..filing(&key) };
            if rng.random_ratio(1, 8) {
                let after = Duration::from_millis(rng.random_range(1..200));
                testbed.send_and_hang_up(node, &next, after).await;
                continue;
            }
            let outcome = testbed.send(node, &next).await;
            // A key that ran is sometimes sent again, to compare the answers.
            if outcome.verdict == Some(Verdict::Ran) && rng.random_ratio(3, 4) {
                break;
            }
            testbed.sleep(20).await;
        }
    }
}

fn pick(processes: &[Process], part: usize) -> &Process {
    &processes[part % processes.len()]
}
