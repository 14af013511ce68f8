//! Draining: upstreams and nodes that leave by plan, under load.

use std::{cell::Cell, time::Duration};

use futures_util::{FutureExt, future::join_all, join};
use loadgen::Filing;
use standins::{EngineFaults, service::ServiceFaults, vms::VmsControl};
use types::Verdict;

use crate::{
    cluster::Process,
    faults::{
        Case, Context, Report,
        bench::{Bench, Setup},
        drafts::{Load, Position, draft},
        filings::first_filing,
    },
};

/// Time after which a leaving upstream gets no new work (R5).
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// Time that a draft which started just before needs to end.
const DRAFT_TIME: Duration = Duration::from_millis(1500);
/// Time for which a drained engine has to stay idle.
const IDLE_TIME: Duration = Duration::from_millis(800);
/// Time that a node has to stop.
const STOP_LIMIT: Duration = Duration::from_secs(12);
/// Drafts of one load at most.
const MOST_DRAFTS: u32 = 2000;

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("drains/engine-by-vm-list", "R5 R6", "planned stop", engine_by_vm_list),
        Case::new("drains/engine-by-own-report", "R5 R6", "planned stop", engine_by_own_report),
        Case::new("drains/engines-in-turn", "R5 R6", "planned stop", engines_in_turn),
        Case::new("drains/service-by-vm-list", "R4 R5", "planned stop", service_by_vm_list),
        Case::new("drains/node-during-requests", "R4 R6", "planned stop", node_during_requests),
    ]
}

async fn engines(context: &Context) -> Bench {
    let setup = Setup { nodes: 2, services: 0, replicas: 2, ..Setup::default() };
    Bench::start(context, setup).await
}

async fn engine_by_vm_list(context: Context) -> Report {
    let bench = engines(&context).await;
    for position in [Position::First, Position::Last] {
        let engine = bench.engine(&position.engine(0));
        let leave = VmsControl::Leaving(engine.name.clone(), true);
        let load = leave_under_load(&bench, engine, async {
            bench.control(&bench.cluster.vms, &leave).await;
        });
        check_load(&bench, &load.await);
        let stay = VmsControl::Leaving(engine.name.clone(), false);
        bench.control(&bench.cluster.vms, &stay).await;
    }
    bench.finish().await
}

async fn engine_by_own_report(context: Context) -> Report {
    let bench = engines(&context).await;
    for position in [Position::First, Position::Middle] {
        let engine = bench.engine(&position.engine(0));
        let load = leave_under_load(&bench, engine, async {
            let faults = EngineFaults { leaving: true, ..EngineFaults::default() };
            bench.engine_faults(engine, faults).await;
        });
        check_load(&bench, &load.await);
        bench.engine_faults(engine, EngineFaults::default()).await;
    }
    bench.finish().await
}

/// Runs a load, lets an engine leave, and checks that it gets no new work after the limit.
pub(super) async fn leave_under_load(
    bench: &Bench,
    engine: &Process,
    leave: impl Future<Output = ()>,
) -> Load {
    let stop = Cell::new(false);
    let watch = async {
        bench.sleep(300).await;
        leave.await;
        bench.cluster.clock.sleep(LEAVE_LIMIT + DRAFT_TIME).await;
        let before = bench.tokens_run(engine).await;
        bench.cluster.clock.sleep(IDLE_TIME).await;
        let after = bench.tokens_run(engine).await;
        bench.check(before > 0, || format!("{} had no work before", engine.name));
        bench.check(after == before, || {
            format!("{} ran {} tokens after it left", engine.name, after - before)
        });
        stop.set(true);
    };
    join!(bench.load(&stop, MOST_DRAFTS), watch).0
}

pub(super) fn check_load(bench: &Bench, load: &Load) {
    bench.check(load.drafts > 0, || "no draft ran".into());
    bench.check(load.wrong == 0, || format!("{} of {} drafts failed", load.wrong, load.drafts));
    bench.note(format!("{} drafts, {} retried", load.drafts, load.retried));
}

/// Each engine in turn leaves, is stopped when it is idle, starts again and joins.
async fn engines_in_turn(context: Context) -> Report {
    let bench = engines(&context).await;
    let undisturbed = bench.load(&Cell::new(false), 16).await;
    let stop = Cell::new(false);
    let drain = async {
        for engine in &bench.cluster.engines {
            drain_and_restart(&bench, engine).await;
        }
        stop.set(true);
    };
    let (load, ()) = join!(bench.load(&stop, MOST_DRAFTS), drain);
    check_load(&bench, &load);
    let (before, during) = (undisturbed.total_p95(), load.total_p95());
    bench.note(format!(
        "{} drafts, {} retried; 95 in 100 took {} ms, without drains {} ms",
        load.drafts,
        load.retried,
        during.as_millis(),
        before.as_millis()
    ));
    bench.finish().await
}

async fn drain_and_restart(bench: &Bench, engine: &Process) {
    let list = &bench.cluster.vms;
    bench.control(list, &VmsControl::Leaving(engine.name.clone(), true)).await;
    for node in 0..bench.cluster.nodes.len() {
        bench.wait_available(node, &engine.name, false).await;
    }
    bench.cluster.clock.sleep(DRAFT_TIME).await;
    engine.kill();
    engine.restart();
    bench.control(list, &VmsControl::Leaving(engine.name.clone(), false)).await;
    for node in 0..bench.cluster.nodes.len() {
        bench.wait_available(node, &engine.name, true).await;
    }
}

async fn service_by_vm_list(context: Context) -> Report {
    let setup = Setup { services: 2, ..Setup::default() };
    let bench = Bench::start(&context, setup).await;
    let name = bench.cluster.services[0].name.clone();
    bench.control(&bench.cluster.vms, &VmsControl::Leaving(name, true)).await;
    for number in 0..20 {
        let outcome = bench.send(number % 2, &first_filing(&format!("early-{number}"))).await;
        bench.expect("filing while a replica leaves", &outcome, Verdict::Ran);
    }
    bench.cluster.clock.sleep(LEAVE_LIMIT).await;
    let left = &bench.cluster.services[0];
    let before = bench.runs_of(left).await.len();
    for number in 0..20 {
        let outcome = bench.send(number % 2, &first_filing(&format!("late-{number}"))).await;
        bench.expect("filing after a replica has left", &outcome, Verdict::Ran);
    }
    let late = bench.runs_of(left).await.len() - before;
    bench.check(late == 0, || format!("a replica got {late} filings after it had left"));
    bench.finish().await
}

/// A node that is told to stop finishes what runs, refuses what is new and exits with success.
async fn node_during_requests(context: Context) -> Report {
    let setup = Setup { services: 1, replicas: 2, ..Setup::default() };
    let started = Bench::start(&context, setup).await;
    let bench = &started;
    let slow = ServiceFaults { delay_millis: 600, ..ServiceFaults::default() };
    bench.service_faults(0, slow).await;
    let numbers: Vec<u32> = (0..8).collect();
    let drafts = join_all(numbers.iter().map(|number| async {
        bench.draft(0, &draft(*number)).await;
    }));
    let filings = join_all(numbers.iter().map(|number| async move {
        let filing = first_filing(&format!("key-{number}"));
        let outcome = bench.send(0, &filing).await;
        bench.expect("filing that runs when the node stops", &outcome, Verdict::Ran);
    }));
    let stop = async {
        bench.cluster.clock.sleep(context.around(250)).await;
        bench.cluster.nodes[0].terminate();
        bench.sleep(50).await;
        let late = Filing { deadline: Duration::from_millis(500), ..first_filing("late") };
        let outcome = bench.send(0, &late).await;
        // A refused connection is as good: nothing was sent.
        let refused = outcome.verdict == Some(Verdict::NotRun) || outcome.status == 0;
        bench.check(refused, || format!("a stopping node took new work: {outcome:?}"));
    };
    join!(drafts, filings, stop.boxed_local());
    bench.expect_runs("late", 0).await;
    let deadline = bench.now() + STOP_LIMIT;
    let code = loop {
        let code = bench.cluster.nodes[0].exit_code();
        if code.is_some() || bench.now() > deadline {
            break code;
        }
        bench.sleep(20).await;
    };
    bench.check(code == Some(0), || format!("the node ended with {code:?}"));
    for number in &numbers {
        bench.expect_runs(&format!("key-{number}"), 1).await;
    }
    started.finish().await
}
