//! Draining: upstreams and nodes that leave by plan, under load.

use std::{cell::Cell, time::Duration};

use futures_util::{FutureExt, future::join_all, join};
use loadgen::Filing;
use standins::{EngineFaults, service::ServiceFaults, vms::VmsControl};
use types::Verdict;

use crate::{
    cluster::Process,
    faults::{
        Case, CaseReport, Context,
        completions::{CompletionTally, Position, completion},
        filings::first_filing,
        testbed::{Setup, Testbed},
    },
};

/// Time after which a leaving upstream gets no new work (R5).
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// Time that a completion which started just before needs to end.
const DRAFT_TIME: Duration = Duration::from_millis(1500);
/// Time for which a drained engine has to stay idle.
const IDLE_TIME: Duration = Duration::from_millis(800);
/// Time that a node has to stop.
const STOP_LIMIT: Duration = Duration::from_secs(12);
/// Completions of one load at most.
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

async fn engines(context: &Context) -> Testbed {
    let setup = Setup { nodes: 2, services: 0, replicas: 2, ..Setup::default() };
    Testbed::start(context, setup).await
}

async fn engine_by_vm_list(context: Context) -> CaseReport {
    let testbed = engines(&context).await;
    for position in [Position::First, Position::Last] {
        let engine = testbed.engine(&position.engine(0));
        let leave = VmsControl::Leaving(engine.name.clone(), true);
        let load = leave_under_load(&testbed, engine, async {
            testbed.control(&testbed.cluster.vms, &leave).await;
        });
        check_load(&testbed, &load.await);
        let stay = VmsControl::Leaving(engine.name.clone(), false);
        testbed.control(&testbed.cluster.vms, &stay).await;
    }
    testbed.finish().await
}

async fn engine_by_own_report(context: Context) -> CaseReport {
    let testbed = engines(&context).await;
    for position in [Position::First, Position::Middle] {
        let engine = testbed.engine(&position.engine(0));
        let load = leave_under_load(&testbed, engine, async {
            let faults = EngineFaults { leaving: true, ..EngineFaults::default() };
            testbed.set_engine_faults(engine, faults).await;
        });
        check_load(&testbed, &load.await);
        testbed.set_engine_faults(engine, EngineFaults::default()).await;
    }
    testbed.finish().await
}

/// Runs a load, lets an engine leave, and checks that it gets no new work after the limit.
pub(super) async fn leave_under_load(
    testbed: &Testbed,
    engine: &Process,
    leave: impl Future<Output = ()>,
) -> CompletionTally {
    let stop = Cell::new(false);
    let watch = async {
        testbed.sleep(300).await;
        leave.await;
        testbed.cluster.clock.sleep(LEAVE_LIMIT + DRAFT_TIME).await;
        let before = testbed.tokens_run(engine).await;
        testbed.cluster.clock.sleep(IDLE_TIME).await;
        let after = testbed.tokens_run(engine).await;
        testbed.check(before > 0, || format!("{} had no work before", engine.name));
        testbed.check(after == before, || {
            format!("{} ran {} tokens after it left", engine.name, after - before)
        });
        stop.set(true);
    };
    join!(testbed.load(&stop, MOST_DRAFTS), watch).0
}

pub(super) fn check_load(testbed: &Testbed, load: &CompletionTally) {
    testbed.check(load.completions > 0, || "no completion ran".into());
    testbed.check(load.wrong == 0, || {
        format!("{} of {} completions failed", load.wrong, load.completions)
    });
    testbed.set_note(format!("{} completions, {} retried", load.completions, load.retried));
}

/// Each engine in turn leaves, is stopped when it is idle, starts again and joins.
async fn engines_in_turn(context: Context) -> CaseReport {
    let testbed = engines(&context).await;
    let undisturbed = testbed.load(&Cell::new(false), 16).await;
    let stop = Cell::new(false);
    let drain = async {
        for engine in &testbed.cluster.engines {
            drain_and_restart(&testbed, engine).await;
        }
        stop.set(true);
    };
    let (load, ()) = join!(testbed.load(&stop, MOST_DRAFTS), drain);
    check_load(&testbed, &load);
    let (before, during) = (undisturbed.total_p95(), load.total_p95());
    testbed.set_note(format!(
        "{} completions, {} retried; 95 in 100 took {} ms, without drains {} ms",
        load.completions,
        load.retried,
        during.as_millis(),
        before.as_millis()
    ));
    testbed.finish().await
}

async fn drain_and_restart(testbed: &Testbed, engine: &Process) {
    let list = &testbed.cluster.vms;
    testbed.control(list, &VmsControl::Leaving(engine.name.clone(), true)).await;
    for node in 0..testbed.cluster.nodes.len() {
        testbed.wait_available(node, &engine.name, false).await;
    }
    testbed.cluster.clock.sleep(DRAFT_TIME).await;
    engine.kill();
    engine.restart();
    testbed.control(list, &VmsControl::Leaving(engine.name.clone(), false)).await;
    for node in 0..testbed.cluster.nodes.len() {
        testbed.wait_available(node, &engine.name, true).await;
    }
}

async fn service_by_vm_list(context: Context) -> CaseReport {
    let setup = Setup { services: 2, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    let name = testbed.cluster.services[0].name.clone();
    testbed.control(&testbed.cluster.vms, &VmsControl::Leaving(name, true)).await;
    for number in 0..20 {
        let outcome = testbed.send(number % 2, &first_filing(&format!("early-{number}"))).await;
        testbed.expect("filing while a replica leaves", &outcome, Verdict::Ran);
    }
    testbed.cluster.clock.sleep(LEAVE_LIMIT).await;
    let left = &testbed.cluster.services[0];
    let before = testbed.runs_of(left).await.len();
    for number in 0..20 {
        let outcome = testbed.send(number % 2, &first_filing(&format!("late-{number}"))).await;
        testbed.expect("filing after a replica has left", &outcome, Verdict::Ran);
    }
    let late = testbed.runs_of(left).await.len() - before;
    testbed.check(late == 0, || format!("a replica got {late} filings after it had left"));
    testbed.finish().await
}

/// A node that is told to stop finishes what runs, refuses what is new and exits with success.
async fn node_during_requests(context: Context) -> CaseReport {
    let setup = Setup { services: 1, replicas: 2, ..Setup::default() };
    let started = Testbed::start(&context, setup).await;
    let testbed = &started;
    let slow = ServiceFaults { delay_millis: 600, ..ServiceFaults::default() };
    testbed.set_service_faults(0, slow).await;
    let numbers: Vec<u32> = (0..8).collect();
    let completions = join_all(numbers.iter().map(|number| async {
        testbed.completion(0, &completion(*number)).await;
    }));
    let filings = join_all(numbers.iter().map(|number| async move {
        let filing = first_filing(&format!("key-{number}"));
        let outcome = testbed.send(0, &filing).await;
        testbed.expect("filing that runs when the node stops", &outcome, Verdict::Ran);
    }));
    let stop = async {
        testbed.cluster.clock.sleep(context.around(250)).await;
        testbed.cluster.nodes[0].terminate();
        testbed.sleep(50).await;
        let late = Filing { deadline: Duration::from_millis(500), ..first_filing("late") };
        let outcome = testbed.send(0, &late).await;
        // A refused connection is as good: nothing was sent.
        let refused = outcome.verdict == Some(Verdict::NotRun) || outcome.status == 0;
        testbed.check(refused, || format!("a stopping node took new work: {outcome:?}"));
    };
    join!(completions, filings, stop.boxed_local());
    testbed.expect_runs("late", 0).await;
    let deadline = testbed.now() + STOP_LIMIT;
    let code = loop {
        let code = testbed.cluster.nodes[0].exit_code();
        if code.is_some() || testbed.now() > deadline {
            break code;
        }
        testbed.sleep(20).await;
    };
    testbed.check(code == Some(0), || format!("the node ended with {code:?}"));
    for number in &numbers {
        testbed.expect_runs(&format!("key-{number}"), 1).await;
    }
    started.finish().await
}
