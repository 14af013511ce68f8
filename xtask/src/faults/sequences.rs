//! Random sequences of faults under a load of completions and filings. Several faults can be active
//! at once, also two of the same kind.

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
/// Number of rounds in one sequence. Each round injects faults and ends them.
const ROUNDS: u32 = 8;
/// Limit of the number of faults in one round.
const MAX_FAULTS: usize = 3;
/// Limit of the number of sends of one filing.
const MAX_SENDS: u32 = 4;
/// Number of callers that request completions, and number of those that send filings.
const CALLERS: u32 = 3;
/// Limit of the number of requests of one caller.
const MAX_REQUESTS: u32 = 500;
/// Additional time for answers after their deadline, since nodes are paused.
const LATE_LIMIT: Duration = Duration::from_secs(10);
/// Time between the end of the last fault and the end of the load, in which requests can recover.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A kind of fault that a sequence can inject.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum FaultKind {
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

/// A fault and the process or link that it is injected into.
struct InjectedFault {
    kind: FaultKind,
    /// Selects the engine, node, service or link: its index is this number modulo their count.
    target: usize,
}

/// The case that runs a random sequence, which depends on the seed of the run.
pub(crate) fn case() -> Case {
    Case::new("sequence", "R1 R2 R3 R4", "several", sequence)
}

async fn sequence(context: Context) -> CaseReport {
    let setup =
        Setup { nodes: NODES, services: SERVICES, replicas: 2, relays: true, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    testbed.allow_late(LATE_LIMIT);
    let stop = Cell::new(false);
    let inject_faults = async {
        let mut rng = context.rng();
        for _ in 0..ROUNDS {
            run_round(&testbed, &mut rng).await;
        }
        testbed.cluster.clock.sleep(SETTLE_TIME).await;
        stop.set(true);
    };
    let completions = join_all((0..CALLERS).map(|caller| run_completions(&testbed, &stop, caller)));
    let filings = join_all((0..CALLERS).map(|caller| {
        // Each caller has its own random numbers, so that the faults depend on the seed alone.
        let seed = context.seed * u64::from(CALLERS + 1) + u64::from(caller) + 1;
        run_filings(&testbed, &stop, caller, StdRng::seed_from_u64(seed))
    }));
    let (complete, _, ()) = join!(completions, filings, inject_faults);
    let complete: u32 = complete.iter().sum();
    testbed.check(complete > 0, || "no completion ended without an error".into());
    let faults_ended = testbed.now();
    testbed.send_until_ran(0, &first_filing("last")).await;
    testbed.completion(0, &completion(0)).await;
    testbed.record_recovery(testbed.now().since(faults_ended));
    testbed.set_note(format!(
        "{complete} completions ended without an error, {} sends of filings",
        testbed.sends.borrow().len()
    ));
    testbed.finish().await
}

/// Injects up to `MAX_FAULTS` random faults one after the other, and ends all of them after a
/// while.
async fn run_round(testbed: &Testbed, rng: &mut StdRng) {
    let mut injected = Vec::new();
    let mut log = Vec::new();
    for _ in 0..rng.random_range(1..=MAX_FAULTS) {
        let kinds: Vec<FaultKind> = FaultKind::iter().collect();
        let Some(kind) = kinds.choose(rng).copied() else { return };
        let fault = InjectedFault { kind, target: rng.random_range(0..64) };
        log.push(format!("{kind} {}", fault.target));
        fault.inject(testbed).await;
        injected.push(fault);
        testbed.sleep(rng.random_range(0..300)).await;
    }
    testbed.sleep(rng.random_range(300..1500)).await;
    println!("          {}: {}", testbed.cluster.directory.display(), log.join(", "));
    for fault in injected {
        fault.end(testbed).await;
    }
    testbed.sleep(rng.random_range(0..800)).await;
}

impl InjectedFault {
    async fn inject(&self, testbed: &Testbed) {
        let engine = pick(&testbed.cluster.engines, self.target);
        let none = EngineFaults::default();
        match self.kind {
            FaultKind::KillEngine => engine.kill(),
            FaultKind::PauseEngine => engine.pause(),
            FaultKind::HangEngine => {
                testbed.try_set_faults(engine, &EngineFaults { hang: true, ..none }).await;
            }
            FaultKind::DropHandoffs => {
                testbed.try_set_faults(engine, &EngineFaults { drop_every: 20, ..none }).await;
            }
            FaultKind::DuplicateHandoffs => {
                testbed.try_set_faults(engine, &EngineFaults { duplicate: true, ..none }).await;
            }
            FaultKind::KillNode => pick(&testbed.cluster.nodes, self.target).kill(),
            FaultKind::PauseNode => pick(&testbed.cluster.nodes, self.target).pause(),
            FaultKind::PauseService => pick(&testbed.cluster.services, self.target).pause(),
            FaultKind::LoseServiceAnswers => {
                let faults = ServiceFaults { lose_answers: 3, ..ServiceFaults::default() };
                testbed.try_set_faults(pick(&testbed.cluster.services, self.target), &faults).await;
            }
            FaultKind::PauseStore => testbed.cluster.keyvalue.pause(),
            FaultKind::RefuseStore => {
                self.set_store_faults(testbed, |faults| faults.refuse = true).await
            }
            FaultKind::LoseStoreAnswers => {
                self.set_store_faults(testbed, |faults| faults.lose_answers = 3).await;
            }
            FaultKind::LoseStoreWrites => {
                self.set_store_faults(testbed, |faults| faults.lose_writes = 3).await;
            }
            FaultKind::SilenceLink => {
                let faults = RelayFaults { silence_open: true, ..RelayFaults::default() };
                testbed.try_set_faults(pick(&testbed.cluster.relays, self.target), &faults).await;
            }
            FaultKind::CutLink => {
                let faults = RelayFaults { cut: true, ..RelayFaults::default() };
                testbed.try_set_faults(pick(&testbed.cluster.relays, self.target), &faults).await;
            }
            FaultKind::DelayLink => {
                let faults = RelayFaults { delay_millis: 100, ..RelayFaults::default() };
                testbed.try_set_faults(pick(&testbed.cluster.relays, self.target), &faults).await;
            }
        }
    }

    async fn end(&self, testbed: &Testbed) {
        let engine = pick(&testbed.cluster.engines, self.target);
        let service = pick(&testbed.cluster.services, self.target);
        let node = self.target % testbed.cluster.nodes.len();
        match self.kind {
            FaultKind::KillEngine => engine.restart(),
            FaultKind::PauseEngine => engine.resume(),
            FaultKind::HangEngine | FaultKind::DropHandoffs | FaultKind::DuplicateHandoffs => {
                engine.resume();
                testbed.try_set_faults(engine, &EngineFaults::default()).await;
            }
            FaultKind::KillNode => testbed.cluster.restart_node(node, DOMAINS[node % 3]),
            FaultKind::PauseNode => testbed.cluster.nodes[node].resume(),
            FaultKind::PauseService => service.resume(),
            FaultKind::LoseServiceAnswers => {
                service.resume();
                testbed.try_set_faults(service, &ServiceFaults::default()).await;
            }
            FaultKind::PauseStore => testbed.cluster.keyvalue.resume(),
            FaultKind::RefuseStore | FaultKind::LoseStoreAnswers | FaultKind::LoseStoreWrites => {
                testbed.cluster.keyvalue.resume();
                self.set_store_faults(testbed, |_| {}).await;
            }
            FaultKind::SilenceLink | FaultKind::CutLink | FaultKind::DelayLink => {
                let relay = pick(&testbed.cluster.relays, self.target);
                testbed.try_set_faults(relay, &RelayFaults::default()).await;
            }
        }
    }

    /// Replaces the faults of the key-value service by those that `set` sets.
    async fn set_store_faults(&self, testbed: &Testbed, set: impl FnOnce(&mut KeyValueFaults)) {
        let mut faults = KeyValueFaults::default();
        set(&mut faults);
        testbed.try_set_faults(&testbed.cluster.keyvalue, &faults).await;
    }
}

impl Testbed {
    /// Sets the faults of a process. A failure is only printed, since another fault may have killed
    /// or paused the process.
    async fn try_set_faults<T: Serialize>(&self, process: &Process, faults: &T) {
        if let Err(error) = self.cluster.control(process, faults).await {
            println!("          faults of {} were not set: {error}", process.name);
        }
    }
}

/// Requests completions until `stop` is set. Checks the text of each one and returns the number of
/// complete ones.
async fn run_completions(testbed: &Testbed, stop: &Cell<bool>, caller: u32) -> u32 {
    let mut complete = 0;
    for number in 0..MAX_REQUESTS {
        if stop.get() {
            break;
        }
        let completion = completion(caller * MAX_REQUESTS + number);
        let node = (caller + number) as usize % NODES;
        let (outcome, correct) = testbed.try_completion(node, &completion).await;
        if outcome.status == 200 && outcome.error.is_none() {
            complete += 1;
            testbed.check(correct, || {
                format!("a completion that ended without an error is wrong: {outcome:?}")
            });
        } else {
            let prefix = expected_text(&completion).starts_with(&outcome.text);
            testbed.check(prefix, || {
                format!("the partial text of a completion is wrong: {outcome:?}")
            });
            // A node that was killed refuses connections immediately; this limits the rate of
            // attempts.
            testbed.sleep(100).await;
        }
    }
    complete
}

/// Sends filings until `stop` is set. Each one is sent up to `MAX_SENDS` times, usually until it
/// ran.
async fn run_filings(testbed: &Testbed, stop: &Cell<bool>, caller: u32, mut rng: StdRng) {
    for number in 0..MAX_REQUESTS {
        if stop.get() {
            return;
        }
        let key = format!("key-{caller}-{number}");
        for send in 0..MAX_SENDS {
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

/// Selects a process by a number that may exceed their count.
fn pick(processes: &[Process], target: usize) -> &Process {
    &processes[target % processes.len()]
}
