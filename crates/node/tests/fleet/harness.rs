//! Nodes that share a fake key-value service and have a fake list of VMs each.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::{Clock, RuntimeClock};
use compio::net::TcpListener;
use futures_util::{FutureExt, future::LocalBoxFuture};
use keyvalue::{
    KeyValue, KvError,
    api::{Entry, Expected, PutReply},
};
use node::{Node, NodeBuilder};
use operators::AdminApi;
use settings::{FleetConfig, ListenAddrs, NodeSettings, PlatformAddrs};
use transport::{CallError, StopSignal};
use vms::{
    VmList,
    api::{Vm, VmRole, VmSnapshot},
};

/// Interval at which a test checks a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().expect("runtime can be created").block_on(test);
}

pub struct Fleet {
    pub clock: Rc<dyn Clock>,
    pub store: Rc<FakeStore>,
    pub nodes: Vec<Rc<Node>>,
    lists: Vec<Rc<FakeVmList>>,
    stops: Vec<StopSignal>,
    vms: Vec<Vm>,
    next_number: usize,
}

impl Fleet {
    pub fn new() -> Fleet {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let store = Rc::new(FakeStore::new(clock.clone()));
        Fleet {
            clock,
            store,
            nodes: Vec::new(),
            lists: Vec::new(),
            stops: Vec::new(),
            vms: Vec::new(),
            next_number: 0,
        }
    }

    pub async fn add_nodes(&mut self, count: usize) {
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
            let addr = listener.local_addr().expect("address is known");
            let name = format!("node-{}", self.next_number);
            self.next_number += 1;
            let list = Rc::new(FakeVmList::default());
            let stop = StopSignal::new();
            let node = NodeBuilder::new(self.clock.clone(), settings(&name, addr))
                .store(self.store.clone())
                .vm_list(list.clone())
                .build();
            self.lists.push(list);
            self.list_vm(&name, addr, VmRole::Node);
            node.clone().start_tasks();
            let serving = node.clone().serve_peers(listener, stop.clone());
            compio::runtime::spawn(serving).detach();
            self.nodes.push(node);
            self.stops.push(stop);
        }
    }

    pub fn list_engine(&mut self, name: &str) {
        // Nothing listens on this address, because the test needs no load reports.
        self.list_vm(name, SocketAddr::from(([127, 0, 0, 1], 1)), VmRole::Engine);
    }

    pub fn list_node(&mut self, name: &str, addr: SocketAddr) {
        self.list_vm(name, addr, VmRole::Node);
    }

    /// Sets whether an engine is leaving in the list of VMs that one of the nodes reads.
    pub fn mark_engine(&self, node: usize, name: &str, leaving: bool) {
        let mut snapshot = self.lists[node].snapshot.borrow_mut();
        snapshot.version += 1;
        let vms = snapshot.vms.iter_mut();
        vms.filter(|vm| vm.name == name).for_each(|vm| vm.leaving = leaving);
    }

    /// Separates the nodes before number `first` from the others by wrong addresses in their lists
    /// of VMs if `cut` is set, else joins them again.
    pub fn partition(&self, first: usize, cut: bool) {
        for (index, list) in self.lists.iter().enumerate() {
            let mut vms = self.vms.clone();
            for (other, vm) in vms.iter_mut().enumerate() {
                if cut && (other < first) != (index < first) {
                    // Nothing listens on this address.
                    vm.addr = SocketAddr::from(([127, 0, 0, 1], 1));
                }
            }
            let version = list.snapshot.borrow().version + 1;
            list.snapshot.replace(VmSnapshot { version, vms });
        }
    }

    pub fn all_have_revision(&self, revision: u64) -> bool {
        self.nodes.iter().all(|node| node.status().revision == revision)
    }

    /// Number of nodes that know an engine.
    pub fn count_knowing(&self, engine: &str) -> usize {
        self.count(|status| status.engine.as_str() == engine)
    }

    /// Number of nodes that know that an engine is leaving.
    pub fn count_leaving(&self, engine: &str) -> usize {
        self.count(|status| status.engine.as_str() == engine && status.leaving)
    }

    /// Bytes of peer messages that each node has sent and received.
    pub fn traffic_bytes(&self) -> Vec<f64> {
        self.nodes.iter().map(|node| peer_bytes(&node.metrics())).collect()
    }

    /// Waits until a condition holds and returns how long that took.
    pub async fn wait_until(
        &self,
        limit: Duration,
        condition: impl Fn(&Fleet) -> bool,
    ) -> Duration {
        let start = self.clock.now();
        while !condition(self) {
            assert!(self.clock.now().since(start) < limit, "condition holds within {limit:?}");
            self.clock.sleep(POLL_INTERVAL).await;
        }
        self.clock.now().since(start)
    }

    fn count(&self, condition: impl Fn(&operators::api::EngineStatus) -> bool) -> usize {
        self.nodes.iter().filter(|node| node.status().engines.iter().any(&condition)).count()
    }

    fn list_vm(&mut self, name: &str, addr: SocketAddr, role: VmRole) {
        let (name, domain) = (name.to_owned(), "a".into());
        self.vms.push(Vm { name, addr, domain, role, leaving: false });
        for list in &self.lists {
            let version = list.snapshot.borrow().version.max(self.vms.len() as u64) + 1;
            list.snapshot.replace(VmSnapshot { version, vms: self.vms.clone() });
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stops.iter().for_each(StopSignal::raise);
        self.nodes.iter().for_each(|node| node.drain());
    }
}

fn peer_bytes(metrics: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with("gypsumrack_peer_bytes_total{"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn settings(name: &str, peers: SocketAddr) -> NodeSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    NodeSettings {
        name: name.into(),
        domain: "a".into(),
        region: "r".into(),
        drain_ms: 0,
        log: Default::default(),
        listen: ListenAddrs { callers: any, operators: any, peers },
        platform: PlatformAddrs { keyvalue: any, vms: any, weights: any },
    }
}

#[derive(Default)]
struct FakeVmList {
    snapshot: RefCell<VmSnapshot>,
}

impl VmList for FakeVmList {
    fn list(&self) -> LocalBoxFuture<'_, Result<VmSnapshot, CallError>> {
        let snapshot = self.snapshot.borrow().clone();
        async move { Ok(snapshot) }.boxed_local()
    }
}

/// A key-value service with one entry.
pub struct FakeStore {
    clock: Rc<dyn Clock>,
    pub down: Cell<bool>,
    /// Number of watches that are pending now.
    pub pending_watches: Cell<usize>,
    entry: RefCell<Option<Entry>>,
}

impl FakeStore {
    fn new(clock: Rc<dyn Clock>) -> FakeStore {
        FakeStore {
            clock,
            down: Cell::new(false),
            pending_watches: Cell::new(0),
            entry: RefCell::new(None),
        }
    }

    pub fn put_revision(&self, revision: u64) {
        let config = FleetConfig { revision, ..FleetConfig::default() };
        let version = self.entry.borrow().as_ref().map_or(1, |entry| entry.version + 1);
        let key = fleet::CONFIG_KEY.to_owned();
        self.entry.replace(Some(Entry { key, value: config.to_toml(), version, created: 1 }));
    }

    fn read(&self) -> Result<Option<Entry>, KvError> {
        if self.down.get() { Err(KvError::Unavailable) } else { Ok(self.entry.borrow().clone()) }
    }

    async fn wait_for_newer(&self, after: u64) -> Result<Option<Entry>, KvError> {
        const MAX_POLLS: usize = 50;
        for _ in 0..MAX_POLLS {
            let newer = self.read()?.filter(|entry| entry.version > after);
            if newer.is_some() {
                return Ok(newer);
            }
            self.clock.sleep(Duration::from_millis(20)).await;
        }
        Ok(None)
    }
}

/// Counts a watch as pending until it is dropped.
struct PendingWatch<'a>(&'a Cell<usize>);

impl<'a> PendingWatch<'a> {
    fn new(count: &'a Cell<usize>) -> PendingWatch<'a> {
        count.set(count.get() + 1);
        PendingWatch(count)
    }
}

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl KeyValue for FakeStore {
    fn get(&self, _: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        async move { self.read() }.boxed_local()
    }

    fn watch(&self, _: &str, after: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        async move {
            let _pending = PendingWatch::new(&self.pending_watches);
            self.wait_for_newer(after).await
        }
        .boxed_local()
    }

    fn put(
        &self,
        _: &str,
        _: Expected,
        _: String,
        _: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }

    fn delete(&self, _: &str, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }

    fn list(&self, _: &str, _: &str, _: u32) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }

    fn renew(&self, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }

    fn revoke(&self, _: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }
}
