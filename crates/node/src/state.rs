//! The state of a node, which all its tasks share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use claims::Claims;
use clock::{Clock, Timestamp};
use engines::{Engine, api::Cancel};
use fleet::{ConfigState, FleetTable};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender};
use keyvalue::KeyValue;
use peers::Peers;
use routing::{LeastOutstanding, LoadView, LowestLatency, RoundRobin, RoutePolicy};
use settings::{BalancingPolicy, FleetConfig, NodeSettings};
use transport::StopSignal;
use types::{Digest, Failure, FailureKind, NodeName, RequestId, Stage, UpstreamName};
use vms::VmList;
use weights::WeightStore;

use crate::{
    admission::Admission, builder::Connector, metrics::Metrics, replicas::Replicas,
    tasks::CancelCall, trace::Traces,
};

/// One node of the router. All its tasks run on one thread and share this state.
pub struct Node {
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) settings: NodeSettings,
    /// Identifies this process among all that have run under the node's name: its start time in
    /// milliseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    pub(crate) store: Rc<dyn KeyValue>,
    pub(crate) vm_list: Rc<dyn VmList>,
    pub(crate) weights: Rc<dyn WeightStore>,
    pub(crate) connector: Rc<dyn Connector>,
    pub(crate) claims: Rc<Claims>,
    pub(crate) config: RefCell<ConfigState>,
    pub(crate) fleet: RefCell<FleetTable>,
    pub(crate) peers: Rc<Peers>,
    /// Number of times that this process has refuted a suspicion that it is gone.
    pub(crate) refutations: Cell<u32>,
    /// Since when this process has been an `Alive` member, in milliseconds since the Unix epoch.
    /// Each refutation sets it anew.
    pub(crate) member_since: Cell<u64>,
    /// Addresses of the nodes on the list of VMs, except this one and those that are leaving.
    pub(crate) listed_nodes: RefCell<BTreeMap<NodeName, SocketAddr>>,
    /// When the configuration was last pulled from a peer; `None` once the pull has brought one.
    pub(crate) last_pull: Cell<Option<Timestamp>>,
    /// Number of the newest crash that this process has recorded.
    pub(crate) crash_number: Cell<u64>,
    /// Attempts of crash-suspect requests that run now: the request's fingerprint and the route.
    pub(crate) suspect_attempts: RefCell<Vec<(Digest, Arc<[Stage]>)>>,
    /// What this node knows about the load of each engine.
    pub(crate) view: RefCell<LoadView>,
    pub(crate) admission: Admission,
    /// Clients of the engines on the list of VMs.
    pub(crate) engines: RefCell<BTreeMap<UpstreamName, Rc<dyn Engine>>>,
    pub(crate) replicas: RefCell<Replicas>,
    /// The route policy in use, and its kind in the configuration.
    pub(crate) route_policy: RefCell<(BalancingPolicy, Box<dyn RoutePolicy>)>,
    pub(crate) traces: RefCell<Traces>,
    pub(crate) metrics: Metrics,
    /// Number of requests that run now.
    pub(crate) running: Cell<u32>,
    /// Number of the newest request identifier that this process has assigned.
    pub(crate) request_number: Cell<u64>,
    /// Raised when the graceful shutdown starts.
    pub(crate) stop: StopSignal,
    /// Queues cancel calls for the task that sends them.
    pub(crate) cancel_sender: UnboundedSender<CancelCall>,
    /// Receiving end of that queue. The task takes it when it starts.
    pub(crate) cancel_receiver: RefCell<Option<UnboundedReceiver<CancelCall>>>,
    /// Raised at the drain deadline. Requests that still run then end with an error.
    pub(crate) drain_expired: StopSignal,
}

impl Node {
    /// The configuration in force, or the failure for a request that arrived before the node had
    /// one.
    pub(crate) fn config(&self) -> Result<Rc<FleetConfig>, Failure> {
        self.config.borrow().current().ok_or_else(|| {
            Failure::not_run(FailureKind::Unavailable, "the node has no configuration yet")
        })
    }

    pub(crate) fn engine(&self, name: &UpstreamName) -> Option<Rc<dyn Engine>> {
        self.engines.borrow().get(name).cloned()
    }

    pub(crate) fn next_request_id(&self) -> RequestId {
        let number = self.request_number.get() + 1;
        self.request_number.set(number);
        format!("{}-{:x}-{number}", self.settings.name, self.incarnation).into()
    }

    /// Calls `choose` with the route policy of the given kind. If another kind is in use, a new
    /// policy replaces it.
    pub(crate) fn with_route_policy<T>(
        &self,
        kind: BalancingPolicy,
        choose: impl FnOnce(&mut dyn RoutePolicy) -> T,
    ) -> T {
        let mut route_policy = self.route_policy.borrow_mut();
        if route_policy.0 != kind {
            *route_policy = (kind, new_route_policy(kind, self.incarnation));
        }
        choose(&mut *route_policy.1)
    }

    /// Queues a cancel call to an engine if the engine is still in the fleet.
    pub(crate) fn cancel(&self, engine: &UpstreamName, cancel: Cancel) {
        let Some(engine) = self.engine(engine) else { return };
        // Sending fails only while the node is torn down; then the call is not needed.
        let _ = self.cancel_sender.unbounded_send(CancelCall { engine, cancel });
    }

    /// Counts a request as running until the returned guard is dropped.
    pub(crate) fn count_running(self: &Rc<Self>) -> RunningGuard {
        self.running.set(self.running.get() + 1);
        RunningGuard { node: self.clone() }
    }
}

/// Counts one request as running until it is dropped.
pub(crate) struct RunningGuard {
    node: Rc<Node>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.node.running.set(self.node.running.get() - 1);
    }
}

pub(crate) fn new_route_policy(kind: BalancingPolicy, seed: u64) -> Box<dyn RoutePolicy> {
    match kind {
        BalancingPolicy::Estimate => Box::new(LowestLatency::new(seed)),
        BalancingPolicy::EstimateByReports => Box::new(LowestLatency::by_reports(seed)),
        BalancingPolicy::RoundRobin => Box::new(RoundRobin::default()),
        BalancingPolicy::LeastOutstanding => Box::new(LeastOutstanding),
    }
}
