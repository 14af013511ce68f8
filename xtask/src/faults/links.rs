//! Silent connections and degraded links. A relay stands between the nodes and every other
//! process.

use std::{cell::Cell, time::Duration};

use futures_util::join;
use loadgen::Filing;
use standins::{relay::RelayFaults, vms::VmsControl};
use types::Verdict::{MayHaveRun, NotRun, Ran};

use crate::{
    cluster::{KEYVALUE, VMS},
    faults::{
        Case, Context, Report,
        bench::{Bench, Setup},
        drafts::{Position, draft},
        filings::{filing, first_filing},
    },
};

/// Longest stall of a stream whose link fails.
const STALL_LIMIT: Duration = Duration::from_secs(4);
/// Time in which a leaving upstream must get no new work on any node (R5), also when a connection
/// to the list of VMs has fallen silent.
const LIST_LIMIT: Duration = Duration::from_secs(3);

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

async fn start(context: &Context, services: usize, replicas: u32) -> Bench {
    let setup = Setup { nodes: 2, services, replicas, relays: true, ..Setup::default() };
    Bench::start(context, setup).await
}

impl Bench {
    /// Sets the faults of the link to a process.
    async fn link_faults(&self, name: &str, faults: RelayFaults) {
        self.control(self.cluster.relay(name), &faults).await;
    }
}

async fn engine_silent(context: Context) -> Report {
    engine_link(context, silent()).await
}

async fn engine_cut(context: Context) -> Report {
    engine_link(context, cut()).await
}

async fn engine_delayed(context: Context) -> Report {
    engine_link(context, delayed(600)).await
}

async fn engine_link(context: Context, faults: RelayFaults) -> Report {
    let bench = start(&context, 0, 2).await;
    for position in [Position::First, Position::Last] {
        let disturb = async {
            let engine = bench.busy_engine(0, position).await;
            bench.cluster.clock.sleep(context.around(120)).await;
            bench.link_faults(&engine.name, faults.clone()).await;
            engine
        };
        let (load, engine) = join!(bench.drafts(0), disturb);
        let longest = load.stalls.iter().max().copied().unwrap_or_default();
        bench.check(longest < STALL_LIMIT, || format!("a caller waited {longest:?}"));
        bench.check(load.retried > 0, || "no draft met the fault".into());
        bench.link_faults(&engine.name, RelayFaults::default()).await;
        bench.wait_available(0, &engine.name, true).await;
    }
    bench.finish().await
}

async fn service_silent(context: Context) -> Report {
    service_link(context, silent()).await
}

async fn service_cut(context: Context) -> Report {
    service_link(context, cut()).await
}

/// The link fails while a filing runs; its answer is lost.
async fn service_link(context: Context, faults: RelayFaults) -> Report {
    let bench = start(&context, 1, 0).await;
    let service = bench.cluster.services[0].name.clone();
    let slow = standins::service::ServiceFaults { delay_millis: 300, ..Default::default() };
    bench.service_faults(0, slow).await;
    let original = first_filing("key");
    let disturb = async {
        bench.wait_claim("key").await;
        bench.sleep(100).await;
        bench.link_faults(&service, faults).await;
    };
    let (first, ()) = join!(bench.send(0, &original), disturb);
    bench.expect("filing on a link that fails", &first, MayHaveRun);
    bench.link_faults(&service, RelayFaults::default()).await;
    bench.send_until_ran(0, &first_filing("other")).await;
    bench.finish_unknown().await
}

/// A call that may be repeated must not wait for a silent connection until its deadline.
async fn service_silent_idempotent(context: Context) -> Report {
    let bench = start(&context, 2, 0).await;
    for index in 0..2 {
        let name = &bench.cluster.services[index].name;
        // A delay holds the call on its connection until that has fallen silent.
        bench.link_faults(name, delayed(200)).await;
    }
    let disturb = async {
        bench.sleep(100).await;
        for index in 0..2 {
            bench.link_faults(&bench.cluster.services[index].name, silent()).await;
        }
    };
    let started = bench.now();
    let (answered, ()) = join!(bench.read_service(0, Duration::from_secs(6)), disturb);
    bench.check(answered, || "a call that may be repeated was not answered".into());
    bench.recovered(bench.now().since(started));
    bench.finish().await
}

async fn store_silent(context: Context) -> Report {
    let bench = start(&context, 1, 0).await;
    let first = bench.send(0, &first_filing("key-0")).await;
    bench.expect("send before the fault", &first, Ran);
    bench.link_faults(KEYVALUE, silent()).await;
    let second = bench.send(0, &first_filing("key-1")).await;
    bench.expect("send after the connection fell silent", &second, Ran);
    bench.recovered(second.total);
    let again = bench.send(1, &filing("key-1")).await;
    bench.expect("repeated send", &again, Ran);
    bench.expect_equal("replay", &second, &again);
    bench.expect_runs("key-1", 1).await;
    bench.finish().await
}

async fn store_cut(context: Context) -> Report {
    let bench = start(&context, 1, 0).await;
    bench.link_faults(KEYVALUE, cut()).await;
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("first send", &first, NotRun);
    let again = bench.send(1, &filing("key")).await;
    bench.expect("repeated send", &again, MayHaveRun);
    bench.link_faults(KEYVALUE, RelayFaults::default()).await;
    bench.send_until_ran(1, &filing("key")).await;
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn store_delayed(context: Context) -> Report {
    let bench = start(&context, 1, 0).await;
    bench.link_faults(KEYVALUE, delayed(100)).await;
    let patient = Duration::from_secs(4);
    let original = Filing { deadline: patient, ..first_filing("key") };
    let again = Filing { deadline: patient, ..filing("key") };
    let (first, other) = join!(bench.send(0, &original), bench.send(1, &again));
    bench.expect("first send", &first, Ran);
    bench.expect("second send", &other, Ran);
    bench.expect_equal("answers of two sends", &first, &other);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn vm_list_silent(context: Context) -> Report {
    let bench = start(&context, 0, 2).await;
    bench.link_faults(VMS, silent()).await;
    let name = Position::Middle.engine(0);
    let marked = bench.now();
    bench.control(&bench.cluster.vms, &VmsControl::Leaving(name.clone(), true)).await;
    for node in 0..2 {
        bench.wait_available(node, &name, false).await;
    }
    let took = bench.now().since(marked);
    bench.check(took < LIST_LIMIT, || format!("the mark was in force only after {took:?}"));
    bench.recovered(took);
    bench.drafts(1).await;
    bench.finish().await
}

/// Without the list of VMs the last one is kept and drafts go on, also when an engine dies.
async fn vm_list_cut(context: Context) -> Report {
    let bench = start(&context, 0, 2).await;
    bench.link_faults(VMS, cut()).await;
    bench.sleep(1500).await;
    bench.engine(&Position::Last.engine(1)).kill();
    let load = bench.load(&Cell::new(false), 16).await;
    bench.check(load.drafts == 16, || format!("only {} drafts ran", load.drafts));
    bench.link_faults(VMS, RelayFaults::default()).await;
    let (outcome, correct) = bench.try_draft(0, &draft(0)).await;
    bench.check(correct, || format!("draft is not whole and correct: {outcome:?}"));
    bench.finish().await
}
