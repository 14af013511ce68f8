use std::{cell::RefCell, io, rc::Rc, time::Duration};

use callers::FrontEnd;
use claims::{ClaimId, Claims, HolderQuery, HolderStatement};
use clock::Clock;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, join},
};
use keyvalue::{HttpKeyValue, KeyValue};
use operators::ConsoleServer;
use settings::{NodeSettings, RouteKind};
use transport::{Server, Stop, Timeouts};
use vms::HttpVmList;

use crate::{
    metrics::Metrics,
    state::{Node, new_policy},
    tasks::{poll_vms, watch_config},
    trace::Traces,
};

/// Deadlines of a call to the key-value service, which answers in milliseconds.
const STORE_TIMEOUTS: Timeouts = Timeouts::from_millis(200, 500);
/// Deadlines of a call to the list of VMs.
const VM_LIST_TIMEOUTS: Timeouts = Timeouts::from_millis(500, 1000);
/// Longest wait for another node to finish a request with the same idempotency key.
const CLAIM_WAIT: Duration = Duration::from_secs(5);

/// Runs a node until it was told to stop and its requests have ended.
pub async fn run(clock: Rc<dyn Clock>, settings: NodeSettings) -> io::Result<()> {
    let stop = Stop::new();
    let drain = Duration::from_millis(settings.drain_ms);
    let listen = settings.listen.clone();
    let callers = Server::bind(clock.clone(), listen.callers, stop.clone()).await?.drain(drain);
    // Operators can watch a node until its last request has ended.
    let ended = Stop::new();
    let operators = Server::bind(clock.clone(), listen.operators, ended.clone()).await?;
    let node = assemble(clock, settings, stop.clone());
    println!("callers {}", callers.local_addr()?);
    println!("operators {}", operators.local_addr()?);
    compio::runtime::spawn(watch_config(node.clone())).detach();
    compio::runtime::spawn(poll_vms(node.clone())).detach();
    compio::runtime::spawn(stop_on_signal(stop)).detach();
    let serving = async {
        callers.run(Rc::new(FrontEnd::new(node.clone()))).await;
        node.finish_running(drain).await;
        ended.raise();
    };
    join(serving, operators.run(Rc::new(ConsoleServer::new(node.clone())))).await;
    tracing::info!("node has stopped");
    Ok(())
}

fn assemble(clock: Rc<dyn Clock>, settings: NodeSettings, stop: Stop) -> Rc<Node> {
    let platform = &settings.platform;
    let store: Rc<dyn KeyValue> =
        Rc::new(HttpKeyValue::new(clock.clone(), platform.keyvalue, STORE_TIMEOUTS));
    let vm_list = Rc::new(HttpVmList::new(clock.clone(), platform.vms, VM_LIST_TIMEOUTS));
    let incarnation = clock.unix_millis();
    let holder = (settings.name.clone(), incarnation);
    let claims = Claims::new(store.clone(), clock.clone(), Rc::new(NoPeers), holder, CLAIM_WAIT);
    let kind = RouteKind::default();
    Rc::new(Node {
        clock,
        settings,
        incarnation,
        store,
        vm_list,
        claims: Rc::new(claims),
        config: RefCell::default(),
        view: RefCell::default(),
        engines: RefCell::default(),
        replicas: RefCell::default(),
        policy: RefCell::new((kind, new_policy(kind, incarnation))),
        traces: RefCell::new(Traces::default()),
        metrics: Metrics::new(),
        running: Default::default(),
        next_request: Default::default(),
        stop,
    })
}

/// Answers for nodes that cannot be asked.
struct NoPeers;

impl HolderQuery for NoPeers {
    fn ask(&self, _: &ClaimId) -> LocalBoxFuture<'_, HolderStatement> {
        std::future::ready(HolderStatement::Unknown).boxed_local()
    }
}

async fn stop_on_signal(stop: Stop) {
    /// Number of the signal with which the platform asks a process to stop.
    const SIGTERM: i32 = 15;
    let terminated = std::pin::pin!(compio::signal::unix::signal(SIGTERM));
    let interrupted = std::pin::pin!(compio::signal::ctrl_c());
    futures_util::future::select(terminated, interrupted).await;
    tracing::info!("graceful shutdown starts");
    stop.raise();
}

impl Node {
    /// Waits until calls that go on without their caller have ended, at most for `limit`.
    async fn finish_running(&self, limit: Duration) {
        const POLL: Duration = Duration::from_millis(20);
        let deadline = self.clock.now() + limit;
        while self.running.get() > 0 && self.clock.now() < deadline {
            self.clock.sleep(POLL).await;
        }
    }
}
