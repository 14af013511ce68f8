//! Faults of the links between nodes and other processes: connections that stop forwarding data,
//! links that are cut and links that are slow. A relay on each link injects them.

use std::{cell::Cell, time::Duration};

use futures_util::join;
use loadgen::Filing;
use standins::{relay::RelayFaults, vms::VmsControl};
use types::Verdict::{MayHaveRun, NotRun, Ran};

use crate::{
    cluster::{KEYVALUE, Process, VMS},
    faults::{
        Case, CaseReport, Context,
        completions::{Position, completion},
        filings::{filing, first_filing},
        testbed::{Setup, Testbed},
    },
};

/// Longest time without a token that is allowed in a stream whose link fails.
const STALL_LIMIT: Duration = Duration::from_secs(4);
/// Limit of the number of completions that run until the fault of a link meets one of them.
const MAX_COMPLETIONS: u32 = 200;
/// Number of injections after which a case gives up meeting a completion.
const MAX_INJECTIONS: u32 = 20;
/// Time within which every node has to stop sending new work to a leaving upstream (R5), even if
/// the connections to the VM list no longer forward data.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("links/engine-silent", "R2", "F9", engine_silent),
        Case::new("links/engine-cut", "R2", "F2", engine_cut),
        Case::new("links/engine-delayed", "R2", "F2", engine_delayed),
        Case::new("links/service-silent", "R3 R4", "F9", service_silent),
        Case::new("links/service-silent-idempotent", "R2", "F9", service_silent_idempotent),
        Case::new("links/service-cut", "R3 R4", "F2", service_cut),
        Case::new("links/store-silent", "R4", "F9", store_silent),
        Case::new("links/store-cut", "R3 R4", "F2", store_cut),
        Case::new("links/store-delayed", "R4", "F2", store_delayed),
        Case::new("links/vm-list-silent", "R5", "F9", vm_list_silent),
        Case::new("links/vm-list-cut", "R2", "F2", vm_list_cut),
    ]
}

fn silent() -> RelayFaults {
    RelayFaults { silence_open: true, ..RelayFaults::default() }
}

fn cut() -> RelayFaults {
    RelayFaults { cut: true, ..RelayFaults::default() }
}

fn delayed(millis: u64) -> RelayFaults {
    RelayFaults { delay_millis: millis, ..RelayFaults::default() }
}

/// Starts two nodes whose links to all other processes go through relays.
async fn start(context: &Context, services: usize, replicas: u32) -> Testbed {
    let setup = Setup { nodes: 2, services, replicas, relays: true, ..Setup::default() };
    Testbed::start(context, setup).await
}

impl Testbed {
    /// Injects faults into the link to an engine at `position` on which node 0 runs a completion,
    /// and returns the engine. If the completion had ended before the fault took effect, another
    /// one is waited for.
    async fn fail_busy_link(&self, position: Position, faults: &RelayFaults) -> &Process {
        for _ in 0..MAX_INJECTIONS {
            let engine = self.busy_engine(0, position).await;
            self.set_link_faults(&engine.name, faults.clone()).await;
            if self.is_busy(0, engine).await {
                return engine;
            }
            self.set_link_faults(&engine.name, RelayFaults::default()).await;
        }
        self.add_problem(format!("the fault never met a completion on the {position} stage"));
        self.engine(&position.engine(0))
    }

    /// Sets the faults of the relay in front of a process.
    async fn set_link_faults(&self, name: &str, faults: RelayFaults) {
        self.control(self.cluster.relay(name), &faults).await;
    }
}

async fn engine_silent(context: Context) -> CaseReport {
    engine_link(context, silent()).await
}

async fn engine_cut(context: Context) -> CaseReport {
    engine_link(context, cut()).await
}

async fn engine_delayed(context: Context) -> CaseReport {
    engine_link(context, delayed(600)).await
}

/// The link to an engine fails while a completion runs on it. The completion has to be retried and
/// to reach its caller complete, without a long stall.
async fn engine_link(context: Context, faults: RelayFaults) -> CaseReport {
    let testbed = start(&context, 0, 2).await;
    for position in [Position::First, Position::Last] {
        let stop = Cell::new(false);
        let inject_faults = async {
            testbed.cluster.clock.sleep(context.around(120)).await;
            let engine = testbed.fail_busy_link(position, &faults).await;
            stop.set(true);
            engine
        };
        let (load, engine) = join!(testbed.load(&stop, MAX_COMPLETIONS), inject_faults);
        let longest = load.stalls.iter().max().copied().unwrap_or_default();
        testbed.record_recovery(longest);
        testbed.check(longest < STALL_LIMIT, || format!("a caller waited {longest:?} for a token"));
        testbed.check(load.retried > 0, || "no completion was retried because of the fault".into());
        testbed.set_link_faults(&engine.name, RelayFaults::default()).await;
        testbed.wait_available(0, &engine.name, true).await;
    }
    testbed.finish().await
}

async fn service_silent(context: Context) -> CaseReport {
    service_link(context, silent()).await
}

async fn service_cut(context: Context) -> CaseReport {
    service_link(context, cut()).await
}

/// The link to the service fails while a filing runs. The answer is lost, so the verdict has to be
/// `may-have-run`.
async fn service_link(context: Context, faults: RelayFaults) -> CaseReport {
    let testbed = start(&context, 1, 0).await;
    let service = testbed.cluster.services[0].name.clone();
    let slow = standins::service::ServiceFaults { delay_millis: 300, ..Default::default() };
    testbed.set_service_faults(0, slow).await;
    let original = first_filing("key");
    let inject_faults = async {
        testbed.wait_claim("key").await;
        testbed.sleep(100).await;
        testbed.set_link_faults(&service, faults).await;
    };
    let (first, ()) = join!(testbed.send(0, &original), inject_faults);
    testbed.expect("filing on a link that fails", &first, MayHaveRun);
    testbed.set_link_faults(&service, RelayFaults::default()).await;
    testbed.send_until_ran(0, &first_filing("other")).await;
    testbed.finish_unknown().await
}

/// An idempotent call must not wait until its deadline on a connection that no longer forwards
/// data.
async fn service_silent_idempotent(context: Context) -> CaseReport {
    let testbed = start(&context, 2, 0).await;
    for index in 0..2 {
        let name = &testbed.cluster.services[index].name;
        // The delay keeps the call in transit until its connection stops forwarding data.
        testbed.set_link_faults(name, delayed(200)).await;
    }
    let inject_faults = async {
        testbed.sleep(100).await;
        for index in 0..2 {
            testbed.set_link_faults(&testbed.cluster.services[index].name, silent()).await;
        }
    };
    let started = testbed.now();
    let (answered, ()) = join!(testbed.read_service(0, Duration::from_secs(6)), inject_faults);
    testbed.check(answered, || "an idempotent call was not answered".into());
    testbed.record_recovery(testbed.now().since(started));
    testbed.finish().await
}

async fn store_silent(context: Context) -> CaseReport {
    let testbed = start(&context, 1, 0).await;
    let first = testbed.send(0, &first_filing("key-0")).await;
    testbed.expect("send before the fault", &first, Ran);
    testbed.set_link_faults(KEYVALUE, silent()).await;
    let second = testbed.send(0, &first_filing("key-1")).await;
    testbed.expect("send after the connections stopped forwarding data", &second, Ran);
    testbed.record_recovery(second.total);
    let again = testbed.send(1, &filing("key-1")).await;
    testbed.expect("repeated send", &again, Ran);
    testbed.expect_equal("replay", &second, &again);
    testbed.expect_runs("key-1", 1).await;
    testbed.finish().await
}

async fn store_cut(context: Context) -> CaseReport {
    let testbed = start(&context, 1, 0).await;
    testbed.set_link_faults(KEYVALUE, cut()).await;
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("first send", &first, NotRun);
    let again = testbed.send(1, &filing("key")).await;
    testbed.expect("repeated send", &again, MayHaveRun);
    testbed.set_link_faults(KEYVALUE, RelayFaults::default()).await;
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn store_delayed(context: Context) -> CaseReport {
    let testbed = start(&context, 1, 0).await;
    testbed.set_link_faults(KEYVALUE, delayed(100)).await;
    let long_deadline = Duration::from_secs(4);
    let original = Filing { deadline: long_deadline, ..first_filing("key") };
    let again = Filing { deadline: long_deadline, ..filing("key") };
    let (first, other) = join!(testbed.send(0, &original), testbed.send(1, &again));
    testbed.expect("first send", &first, Ran);
    testbed.expect("second send", &other, Ran);
    testbed.expect_equal("answers of two sends", &first, &other);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn vm_list_silent(context: Context) -> CaseReport {
    let testbed = start(&context, 0, 2).await;
    testbed.set_link_faults(VMS, silent()).await;
    let name = Position::Middle.engine(0);
    let started = testbed.now();
    testbed.control(&testbed.cluster.vms, &VmsControl::Leaving(name.clone(), true)).await;
    for node in 0..2 {
        testbed.wait_available(node, &name, false).await;
    }
    let took = testbed.now().since(started);
    testbed.check(took < LEAVE_LIMIT, || {
        format!("the nodes took {took:?} to stop using a leaving engine")
    });
    testbed.record_recovery(took);
    testbed.completions(1).await;
    testbed.finish().await
}

/// Nodes that cannot reach the VM list keep using the last list they read. Completions are still
/// served, even when an engine is killed.
async fn vm_list_cut(context: Context) -> CaseReport {
    let testbed = start(&context, 0, 2).await;
    testbed.set_link_faults(VMS, cut()).await;
    testbed.sleep(1500).await;
    testbed.engine(&Position::Last.engine(1)).kill();
    let load = testbed.load(&Cell::new(false), 16).await;
    testbed.check(load.completions == 16, || {
        format!("only {} completions were sent", load.completions)
    });
    testbed.set_link_faults(VMS, RelayFaults::default()).await;
    let (outcome, correct) = testbed.try_completion(0, &completion(0)).await;
    testbed.check(correct, || format!("completion is not complete and correct: {outcome:?}"));
    testbed.finish().await
}
