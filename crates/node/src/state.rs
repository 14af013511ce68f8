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
use settings::{FleetConfig, NodeSettings, RouteKind};
use transport::StopSignal;
use types::{Digest, Failure, FailureKind, NodeName, RequestId, Stage, UpstreamName};
use vms::VmList;
use weights::WeightStore;

use crate::{
    admission::Admission, builder::Connector, metrics::Metrics, replicas::Replicas,
    tasks::CancelOrder, trace::Traces,
};

/// One node of the router. All its tasks share it; they run on one thread.
pub struct Node {
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) settings: NodeSettings,
    /// Differs from that of every earlier process with this node's name.
    pub(crate) incarnation: u64,
    pub(crate) store: Rc<dyn KeyValue>,
    pub(crate) vm_list: Rc<dyn VmList>,
    pub(crate) weights: Rc<dyn WeightStore>,
    pub(crate) connector: Rc<dyn Connector>,
    pub(crate) claims: Rc<Claims>,
    pub(crate) config: RefCell<ConfigState>,
    pub(crate) fleet: RefCell<FleetTable>,
    pub(crate) peers: Rc<Peers>,
    /// Suspicions of this process that it has refuted.
    pub(crate) refutations: Cell<u32>,
    /// Time since which this process is a member, in milliseconds since the Unix epoch. It
    /// changes with each refutation.
    pub(crate) member_since: Cell<u64>,
    /// Nodes on the list of VMs, without this one and those that are leaving.
    pub(crate) listed_nodes: RefCell<BTreeMap<NodeName, SocketAddr>>,
    /// Last pull of the configuration from a peer.
    pub(crate) last_pull: Cell<Option<Timestamp>>,
    pub(crate) next_crash: Cell<u64>,
    /// Requests with a crash that run now, and their routes.
    pub(crate) suspect_runs: RefCell<Vec<(Digest, Arc<[Stage]>)>>,
    pub(crate) view: RefCell<LoadView>,
    pub(crate) admission: Admission,
    pub(crate) engines: RefCell<BTreeMap<UpstreamName, Rc<dyn Engine>>>,
    pub(crate) replicas: RefCell<Replicas>,
    pub(crate) policy: RefCell<(RouteKind, Box<dyn RoutePolicy>)>,
    pub(crate) traces: RefCell<Traces>,
    pub(crate) metrics: Metrics,
    pub(crate) running: Cell<u32>,
    pub(crate) next_request: Cell<u64>,
    pub(crate) stop: StopSignal,
    /// Queue of the cancel calls.
    pub(crate) cancels: UnboundedSender<CancelOrder>,
    /// Other end of the queue, until the task that reads it is started.
    pub(crate) cancel_orders: RefCell<Option<UnboundedReceiver<CancelOrder>>>,
    /// Raised at the drain deadline: requests that still run end with an error.
    pub(crate) drain_expired: StopSignal,
}

impl Node {
    /// The configuration in force, or the failure of a request that came before there was one.
    pub(crate) fn config(&self) -> Result<Rc<FleetConfig>, Failure> {
        self.config.borrow().current().ok_or_else(|| {
            Failure::not_run(FailureKind::Unavailable, "the node has no configuration yet")
        })
    }

    pub(crate) fn engine(&self, name: &UpstreamName) -> Option<Rc<dyn Engine>> {
        self.engines.borrow().get(name).cloned()
    }

    pub(crate) fn next_request_id(&self) -> RequestId {
        let number = self.next_request.get() + 1;
        self.next_request.set(number);
        format!("{}-{:x}-{number}", self.settings.name, self.incarnation).into()
    }

    /// Runs `choose` with the route policy that the configuration asks for.
    pub(crate) fn with_policy<T>(
        &self,
        kind: RouteKind,
        choose: impl FnOnce(&mut dyn RoutePolicy) -> T,
    ) -> T {
        let mut policy = self.policy.borrow_mut();
        if policy.0 != kind {
            *policy = (kind, new_policy(kind, self.incarnation));
        }
        choose(&mut *policy.1)
    }

    /// Queues a cancel call for an engine, if it is still in the fleet.
    pub(crate) fn cancel(&self, engine: &UpstreamName, cancel: Cancel) {
        let Some(engine) = self.engine(engine) else { return };
        // The queue has no reader only while the node is being assembled or torn down.
        let _ = self.cancels.unbounded_send(CancelOrder { engine, cancel });
    }

    /// Counts a running request until the guard is dropped.
    pub(crate) fn count_running(self: &Rc<Self>) -> RunningGuard {
        self.running.set(self.running.get() + 1);
        RunningGuard { node: self.clone() }
    }
}

/// Counts one running request.
pub(crate) struct RunningGuard {
    node: Rc<Node>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.node.running.set(self.node.running.get() - 1);
    }
}

pub(crate) fn new_policy(kind: RouteKind, seed: u64) -> Box<dyn RoutePolicy> {
    match kind {
        RouteKind::Estimate => Box::new(LowestLatency::new(seed)),
        RouteKind::EstimateByReports => Box::new(LowestLatency::by_reports(seed)),
        RouteKind::RoundRobin => Box::new(RoundRobin::default()),
        RouteKind::LeastOutstanding => Box::new(LeastOutstanding),
    }
}
