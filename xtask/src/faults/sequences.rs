//! Random sequences of faults, several at once or twice, while drafts and filings go on.

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
        Case, Context, Report,
        bench::{Bench, Setup},
        drafts::draft,
        filings::{filing, first_filing},
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
/// Callers of drafts and of filings, each.
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

async fn sequence(context: Context) -> Report {
    let setup =
        Setup { nodes: NODES, services: SERVICES, replicas: 2, relays: true, ..Setup::default() };
    let bench = Bench::start(&context, setup).await;
    bench.allow_late(LATE);
    let stop = Cell::new(false);
    let disturb = async {
        let mut rng = context.rng();
        for _ in 0..ROUNDS {
            disturb_once(&bench, &mut rng).await;
        }
        bench.cluster.clock.sleep(SETTLE).await;
        stop.set(true);
    };
    let drafts = join_all((0..CALLERS).map(|caller| run_drafts(&bench, &stop, caller)));
    let filings = join_all((0..CALLERS).map(|caller| {
        // Each caller draws from its own numbers, so that the faults stay those of the seed.
        let seed = context.seed * u64::from(CALLERS + 1) + u64::from(caller) + 1;
        run_filings(&bench, &stop, caller, StdRng::seed_from_u64(seed))
    }));
    let (whole, _, ()) = join!(drafts, filings, disturb);
    let whole: u32 = whole.iter().sum();
    bench.check(whole > 0, || "no draft was whole".into());
    let healed = bench.now();
    bench.send_until_ran(0, &first_filing("last")).await;
    bench.draft(0, &draft(0)).await;
    bench.recovered(bench.now().since(healed));
    bench.note(format!("{whole} whole drafts, {} sends of filings", bench.sends.borrow().len()));
    bench.finish().await
}

/// Injects some faults one after the other, and heals them after a while.
async fn disturb_once(bench: &Bench, rng: &mut StdRng) {
    let mut injected = Vec::new();
    let mut log = Vec::new();
    for _ in 0..rng.random_range(1..=MOST_FAULTS) {
        let kinds: Vec<Disturbance> = Disturbance::iter().collect();
        let Some(kind) = kinds.choose(rng).copied() else { return };
        let fault = Injected { kind, part: rng.random_range(0..64) };
        log.push(format!("{kind} {}", fault.part));
        fault.inject(bench).await;
        injected.push(fault);
        bench.sleep(rng.random_range(0..300)).await;
    }
    bench.sleep(rng.random_range(300..1500)).await;
    println!("          {}: {}", bench.cluster.directory.display(), log.join(", "));
    for fault in injected {
        fault.heal(bench).await;
    }
    bench.sleep(rng.random_range(0..800)).await;
}

impl Injected {
    async fn inject(&self, bench: &Bench) {
        let engine = pick(&bench.cluster.engines, self.part);
        let none = EngineFaults::default();
        match self.kind {
            Disturbance::KillEngine => engine.kill(),
            Disturbance::PauseEngine => engine.pause(),
            Disturbance::HangEngine => {
                bench.disturb(engine, &EngineFaults { hang: true, ..none }).await;
            }
            Disturbance::DropHandoffs => {
                bench.disturb(engine, &EngineFaults { drop_every: 20, ..none }).await;
            }
            Disturbance::DuplicateHandoffs => {
                bench.disturb(engine, &EngineFaults { duplicate: true, ..none }).await;
            }
            Disturbance::KillNode => pick(&bench.cluster.nodes, self.part).kill(),
            Disturbance::PauseNode => pick(&bench.cluster.nodes, self.part).pause(),
            Disturbance::PauseService => pick(&bench.cluster.services, self.part).pause(),
            Disturbance::LoseServiceAnswers => {
                let faults = ServiceFaults { lose_answers: 3, ..ServiceFaults::default() };
                bench.disturb(pick(&bench.cluster.services, self.part), &faults).await;
            }
            Disturbance::PauseStore => bench.cluster.keyvalue.pause(),
            Disturbance::RefuseStore => self.store(bench, |faults| faults.refuse = true).await,
            Disturbance::LoseStoreAnswers => {
                self.store(bench, |faults| faults.lose_answers = 3).await;
            }
            Disturbance::LoseStoreWrites => {
                self.store(bench, |faults| faults.lose_writes = 3).await;
            }
            Disturbance::SilenceLink => {
                let faults = RelayFaults { silence_open: true, ..RelayFaults::default() };
                bench.disturb(pick(&bench.cluster.relays, self.part), &faults).await;
            }
            Disturbance::CutLink => {
                let faults = RelayFaults { cut: true, ..RelayFaults::default() };
                bench.disturb(pick(&bench.cluster.relays, self.part), &faults).await;
            }
            Disturbance::DelayLink => {
                let faults = RelayFaults { delay_millis: 100, ..RelayFaults::default() };
                bench.disturb(pick(&bench.cluster.relays, self.part), &faults).await;
            }
        }
    }

    async fn heal(&self, bench: &Bench) {
        let engine = pick(&bench.cluster.engines, self.part);
        let service = pick(&bench.cluster.services, self.part);
        let node = self.part % bench.cluster.nodes.len();
        match self.kind {
            Disturbance::KillEngine => engine.restart(),
            Disturbance::PauseEngine => engine.resume(),
            Disturbance::HangEngine
            | Disturbance::DropHandoffs
            | Disturbance::DuplicateHandoffs => {
                engine.resume();
                bench.disturb(engine, &EngineFaults::default()).await;
            }
            Disturbance::KillNode => bench.cluster.restart_node(node, DOMAINS[node % 3]),
            Disturbance::PauseNode => bench.cluster.nodes[node].resume(),
            Disturbance::PauseService => service.resume(),
            Disturbance::LoseServiceAnswers => {
                service.resume();
                bench.disturb(service, &ServiceFaults::default()).await;
            }
            Disturbance::PauseStore => bench.cluster.keyvalue.resume(),
            Disturbance::RefuseStore
            | Disturbance::LoseStoreAnswers
            | Disturbance::LoseStoreWrites => {
                bench.cluster.keyvalue.resume();
                self.store(bench, |_| {}).await;
            }
            Disturbance::SilenceLink | Disturbance::CutLink | Disturbance::DelayLink => {
                let relay = pick(&bench.cluster.relays, self.part);
                bench.disturb(relay, &RelayFaults::default()).await;
            }
        }
    }

    async fn store(&self, bench: &Bench, set: impl FnOnce(&mut KeyValueFaults)) {
        let mut faults = KeyValueFaults::default();
        set(&mut faults);
        bench.disturb(&bench.cluster.keyvalue, &faults).await;
    }
}

impl Bench {
    /// Sets faults of a process that another fault may have killed or paused.
    async fn disturb<T: Serialize>(&self, process: &Process, faults: &T) {
        if let Err(error) = self.cluster.control(process, faults).await {
            println!("          faults of {} were not set: {error}", process.name);
        }
    }
}

/// Requests drafts until `stop`. Returns how many were whole; those have to be correct.
async fn run_drafts(bench: &Bench, stop: &Cell<bool>, caller: u32) -> u32 {
    let mut whole = 0;
    for number in 0..MOST_REQUESTS {
        if stop.get() {
            break;
        }
        let draft = draft(caller * MOST_REQUESTS + number);
        let node = (caller + number) as usize % NODES;
        let (outcome, correct) = bench.try_draft(node, &draft).await;
        if outcome.status == 200 && outcome.error.is_none() {
            whole += 1;
            bench.check(correct, || format!("a draft reported whole is wrong: {outcome:?}"));
        } else {
            let prefix = expected_text(&draft).starts_with(&outcome.text);
            bench.check(prefix, || format!("the part of a draft is wrong: {outcome:?}"));
            // A node that was killed refuses at once.
            bench.sleep(100).await;
        }
    }
    whole
}

/// Sends filings, each until it ran or several times, until `stop`.
async fn run_filings(bench: &Bench, stop: &Cell<bool>, caller: u32, mut rng: StdRng) {
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
                bench.send_and_hang_up(node, &next, after).await;
                continue;
            }
            let outcome = bench.send(node, &next).await;
            // A key that ran is sometimes sent again, to compare the answers.
            if outcome.verdict == Some(Verdict::Ran) && rng.random_ratio(3, 4) {
                break;
            }
            bench.sleep(20).await;
        }
    }
}

fn pick(processes: &[Process], part: usize) -> &Process {
    &processes[part % processes.len()]
}
