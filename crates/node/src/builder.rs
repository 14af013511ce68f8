//! Assembles a node from its settings and the clients of its peers.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use claims::{Claims, HolderQuery};
use clock::Clock;
use engines::{Engine, HttpEngine};
use futures_channel::mpsc;
use keyvalue::{HttpKeyValue, KeyValue};
use peers::Peers;
use services::{HttpService, Service};
use settings::{BalancingPolicy, NodeSettings};
use transport::{StopSignal, Timeouts};
use vms::{HttpVmList, VmList};
use weights::{HttpWeightStore, WeightStore};

use crate::{
    admission::Admission,
    metered::MeteredKeyValue,
    metrics::Metrics,
    peering::PeerHolderQuery,
    state::{Node, new_route_policy},
    trace::Traces,
};

/// Time-outs of a call to the key-value service, which answers in milliseconds.
const STORE_TIMEOUTS: Timeouts = Timeouts::from_millis(200, 500);
/// Time-outs of a read of the list of VMs. With the poll interval of 1 s and the list's own delay
/// of 500 ms, a leaving upstream gets new work for less than 3 s even if a connection has gone
/// silent.
const VM_LIST_TIMEOUTS: Timeouts = Timeouts::from_millis(250, 500);
/// Time-outs of a call to the weight store.
const WEIGHT_TIMEOUTS: Timeouts = Timeouts::from_millis(500, 1000);
/// Time-outs of a call to an engine.
const ENGINE_TIMEOUTS: Timeouts = Timeouts::from_millis(200, 1000);
/// Time-outs of a call to a plain service. The deadline of the request also applies to the whole
/// call.
const SERVICE_TIMEOUTS: Timeouts = Timeouts::from_millis(500, 600_000);
const MILLIS_PER_SECOND: f64 = 1000.0;
/// Longest wait until another node has finished a request with the same idempotency key.
const CLAIM_WAIT: Duration = Duration::from_secs(5);

/// Creates clients of the upstreams on the list of VMs.
pub trait Connector {
    /// Creates a client of the engine at `addr`.
    fn engine(&self, addr: SocketAddr) -> Rc<dyn Engine>;

    /// Creates a client of the replica of a plain service at `addr`.
    fn service(&self, addr: SocketAddr) -> Rc<dyn Service>;
}

/// Assembles a node. Tests replace the clients of its peers by fakes.
pub struct NodeBuilder {
    clock: Rc<dyn Clock>,
    settings: NodeSettings,
    store: Rc<dyn KeyValue>,
    vm_list: Rc<dyn VmList>,
    weights: Rc<dyn WeightStore>,
    connector: Rc<dyn Connector>,
    holders: Option<Rc<dyn HolderQuery>>,
    stop: StopSignal,
}

impl NodeBuilder {
    /// Creates a builder with HTTP clients of the peers that the settings name.
    pub fn new(clock: Rc<dyn Clock>, settings: NodeSettings) -> NodeBuilder {
        let platform = &settings.platform;
        let store = HttpKeyValue::new(clock.clone(), platform.keyvalue, STORE_TIMEOUTS);
        let vm_list = HttpVmList::new(clock.clone(), platform.vms, VM_LIST_TIMEOUTS);
        let weights = HttpWeightStore::new(clock.clone(), platform.weights, WEIGHT_TIMEOUTS);
        NodeBuilder {
            store: Rc::new(store),
            vm_list: Rc::new(vm_list),
            weights: Rc::new(weights),
            connector: Rc::new(HttpConnector { clock: clock.clone() }),
            holders: None,
            stop: StopSignal::new(),
            clock,
            settings,
        }
    }

    /// Sets the client of the key-value service.
    pub fn store(mut self, store: Rc<dyn KeyValue>) -> NodeBuilder {
        self.store = store;
        self
    }

    /// Sets the client of the list of VMs.
    pub fn vm_list(mut self, vm_list: Rc<dyn VmList>) -> NodeBuilder {
        self.vm_list = vm_list;
        self
    }

    /// Sets the client of the weight store.
    pub fn weights(mut self, weights: Rc<dyn WeightStore>) -> NodeBuilder {
        self.weights = weights;
        self
    }

    /// Sets how clients of upstreams are created.
    pub fn connector(mut self, connector: Rc<dyn Connector>) -> NodeBuilder {
        self.connector = connector;
        self
    }

    /// Sets how other nodes are asked about their claims. By default they are asked over the
    /// connections to peers.
    pub fn holders(mut self, holders: Rc<dyn HolderQuery>) -> NodeBuilder {
        self.holders = Some(holders);
        self
    }

    /// Sets the signal that starts a graceful shutdown.
    pub fn stop(mut self, stop: StopSignal) -> NodeBuilder {
        self.stop = stop;
        self
    }

    /// Assembles the node. It does not start the node's tasks; [`run`](crate::run) does.
    pub fn build(self) -> Rc<Node> {
        Rc::new_cyclic(|node| self.assemble(node))
    }

    fn assemble(self, node: &Weak<Node>) -> Node {
        let incarnation = self.clock.unix_millis();
        let metrics = Metrics::new(incarnation as f64 / MILLIS_PER_SECOND);
        let calls = metrics.keyvalue_calls.clone();
        let store: Rc<dyn KeyValue> = Rc::new(MeteredKeyValue::new(self.store, calls));
        let holder = (self.settings.name.clone(), incarnation);
        let holders =
            self.holders.unwrap_or_else(|| Rc::new(PeerHolderQuery { node: node.clone() }));
        let claims = Claims::new(store.clone(), self.clock.clone(), holders, holder, CLAIM_WAIT);
        let route_kind = BalancingPolicy::default();
        let (cancel_sender, cancel_receiver) = mpsc::unbounded();
        Node {
            peers: Peers::new(self.clock.clone(), node.clone()),
            clock: self.clock,
            settings: self.settings,
            incarnation,
            store,
            vm_list: self.vm_list,
            weights: self.weights,
            connector: self.connector,
            claims: Rc::new(claims),
            config: RefCell::default(),
            fleet: RefCell::default(),
            refutations: Default::default(),
            member_since: Cell::new(incarnation),
            listed_nodes: RefCell::default(),
            last_pull: Default::default(),
            crash_number: Default::default(),
            suspect_attempts: RefCell::default(),
            view: RefCell::default(),
            admission: Admission::default(),
            engines: RefCell::default(),
            replicas: RefCell::default(),
            route_policy: RefCell::new((route_kind, new_route_policy(route_kind, incarnation))),
            traces: RefCell::new(Traces::default()),
            metrics,
            running: Default::default(),
            request_number: Default::default(),
            stop: self.stop,
            cancel_sender,
            cancel_receiver: RefCell::new(Some(cancel_receiver)),
            drain_expired: StopSignal::new(),
        }
    }
}

struct HttpConnector {
    clock: Rc<dyn Clock>,
}

impl Connector for HttpConnector {
    fn engine(&self, addr: SocketAddr) -> Rc<dyn Engine> {
        Rc::new(HttpEngine::new(self.clock.clone(), addr, ENGINE_TIMEOUTS))
    }

    fn service(&self, addr: SocketAddr) -> Rc<dyn Service> {
        Rc::new(HttpService::new(self.clock.clone(), addr, SERVICE_TIMEOUTS))
    }
}
