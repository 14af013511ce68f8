//! Draining: planned removal of upstreams and nodes under load.

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

/// Time within which nodes have to stop sending new work to a leaving upstream (R5).
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// Time that a completion which has just started needs to end.
const COMPLETION_TIME: Duration = Duration::from_millis(1500);
/// Time during which a drained engine is watched: it must not run any token.
const IDLE_TIME: Duration = Duration::from_millis(800);
/// Time within which a node has to exit after it was told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(12);
/// Limit of the number of completions of one load.
const MAX_COMPLETIONS: u32 = 2000;

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

/// Starts two nodes and two engines for each layer range.
async fn start_engines(context: &Context) -> Testbed {
    let setup = Setup { nodes: 2, services: 0, replicas: 2, ..Setup::default() };
    Testbed::start(context, setup).await
}

async fn engine_by_vm_list(context: Context) -> CaseReport {
    let testbed = start_engines(&context).await;
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
    let testbed = start_engines(&context).await;
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

/// Runs completions while `leave` makes an engine leave. Checks that the engine was in use and that
/// it is idle once `LEAVE_LIMIT` and the last completion have passed. Returns the outcomes.
pub(super) async fn leave_under_load(
    testbed: &Testbed,
    engine: &Process,
    leave: impl Future<Output = ()>,
) -> CompletionTally {
    let stop = Cell::new(false);
    let watch = async {
        testbed.sleep(300).await;
        leave.await;
        testbed.cluster.clock.sleep(LEAVE_LIMIT + COMPLETION_TIME).await;
        let before = testbed.tokens_run(engine).await;
        testbed.cluster.clock.sleep(IDLE_TIME).await;
        let after = testbed.tokens_run(engine).await;
        testbed.check(before > 0, || format!("{} ran no token before it left", engine.name));
        testbed.check(after == before, || {
            format!("{} ran {} tokens after it left", engine.name, after - before)
        });
        stop.set(true);
    };
    join!(testbed.load(&stop, MAX_COMPLETIONS), watch).0
}

/// Checks that completions ran and that none failed, and sets the note of the report.
pub(super) fn check_load(testbed: &Testbed, load: &CompletionTally) {
    testbed.check(load.completions > 0, || "no completion ran".into());
    testbed.check(load.wrong == 0, || {
        format!("{} of {} completions failed", load.wrong, load.completions)
    });
    testbed.set_note(format!("{} completions, {} retried", load.completions, load.retried));
}

/// Each engine in turn leaves, is killed when it is idle, starts again and is used again.
async fn engines_in_turn(context: Context) -> CaseReport {
    let testbed = start_engines(&context).await;
    let baseline = testbed.load(&Cell::new(false), 16).await;
    let stop = Cell::new(false);
    let drain = async {
        for engine in &testbed.cluster.engines {
            drain_and_restart(&testbed, engine).await;
        }
        stop.set(true);
    };
    let (load, ()) = join!(testbed.load(&stop, MAX_COMPLETIONS), drain);
    check_load(&testbed, &load);
    let (before, during) = (baseline.total_p95(), load.total_p95());
    testbed.set_note(format!(
        "{} completions, {} retried; 95th percentile {} ms, without drains {} ms",
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
    testbed.cluster.clock.sleep(COMPLETION_TIME).await;
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
    let drained = &testbed.cluster.services[0];
    let before = testbed.runs_of(drained).await.len();
    for number in 0..20 {
        let outcome = testbed.send(number % 2, &first_filing(&format!("late-{number}"))).await;
        testbed.expect("filing after a replica has left", &outcome, Verdict::Ran);
    }
    let late = testbed.runs_of(drained).await.len() - before;
    testbed.check(late == 0, || format!("a replica got {late} filings after it had left"));
    testbed.finish().await
}

/// A node that is told to stop finishes the requests that run, refuses new ones and exits with code
/// 0.
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
        // A refused connection (status 0) is accepted too: the filing was not sent.
        let refused = outcome.verdict == Some(Verdict::NotRun) || outcome.status == 0;
        testbed.check(refused, || format!("a stopping node accepted a new filing: {outcome:?}"));
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
    testbed.check(code == Some(0), || format!("the node exited with code {code:?}, expected 0"));
    for number in &numbers {
        testbed.expect_runs(&format!("key-{number}"), 1).await;
    }
    started.finish().await
}
