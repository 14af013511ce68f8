use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
};

use admission::Flow;
use catalog::{CatalogCodec, CatalogState, Phase, Upstream};
use clock::{Clock, Timestamp};
use keyvalue::RevisionStore;
use pipelines::{
    CrossingGaps, DemandTable, HealthTable, LoadTable, PauseTable, RateLimitTable, ReplicaLimits,
    SharedRetryBudget, UnreadTable,
};
use settings::EdgeSettings;
use transport::{CallError, StopSignal};
use types::{LayerRange, ServiceName, UpstreamName};
use upstreams::Connector;

use crashes::CrashTable;

use crate::{
    links::Links, members::MemberTable, metrics::Metrics, observer::GatewayObserver,
    pressure::Pressure, relay::UnableNodes, runs::RunTable, stream_probe::ProbeTimes,
    updates::Outbox, wait_queue::WaitQueue, wakeup::Wakeup,
};

/// How an upstream failed. Neither proves that its process has ended: the fault may lie on this
/// node's links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum FailureEvidence {
    /// It refused a connection. It may have ended, or go on with its open connections.
    Refused,
    /// It does not respond. It may have ended, or fall silent for a while and then go on.
    NoResponse,
}

impl FailureEvidence {
    /// The evidence that a failed call, probe or request for a report gives.
    pub(crate) fn of_error(error: &CallError) -> FailureEvidence {
        match error {
            CallError::Refused => FailureEvidence::Refused,
            _ => FailureEvidence::NoResponse,
        }
    }
}

/// Slowdown from which an engine counts as very slow: at this factor, a spare engine loads its
/// layers in less time than the requests through the slow engine lose.
const VERY_SLOW_FACTOR: f64 = 4.0;

/// This node: its clients of the upstreams and of the key-value service, and its view of the
/// catalog. Its `RefCell`s are never borrowed across an await.
pub struct Gateway {
    /// This gateway, for the observers of its clients, which it owns.
    pub(crate) own: Weak<Gateway>,
    pub(crate) clock: Rc<dyn Clock>,
    /// When this node started.
    pub(crate) started: Timestamp,
    pub(crate) settings: EdgeSettings,
    pub(crate) store: Rc<dyn RevisionStore>,
    pub(crate) connector: Rc<dyn Connector>,
    pub(crate) codec: Rc<dyn CatalogCodec>,
    pub(crate) stop: StopSignal,
    /// When this node first noticed that it is stopping: when the signal arrived or, if that was
    /// not recorded, at the first request afterwards.
    pub(crate) stopped_at: Cell<Option<Timestamp>>,
    pub(crate) catalog: RefCell<CatalogState>,
    /// Since when the routing table is in force.
    pub(crate) table_since: Cell<Option<Timestamp>>,
    pub(crate) clients: RefCell<HashMap<UpstreamName, CachedClient>>,
    pub(crate) load: RefCell<LoadTable>,
    pub(crate) demand: RefCell<DemandTable>,
    pub(crate) pressure: Pressure,
    /// Prompt tokens that engines have not prefilled yet.
    pub(crate) unread: RefCell<UnreadTable>,
    /// Gaps between the events of this node's streams.
    pub(crate) crossing_gaps: RefCell<CrossingGaps>,
    pub(crate) health: RefCell<HealthTable>,
    pub(crate) pauses: RefCell<PauseTable>,
    /// Requests a second that upstreams take from all nodes together.
    pub(crate) rate_limits: RefCell<RateLimitTable>,
    /// Limits on retries, by service.
    pub(crate) retry_budgets: RefCell<HashMap<ServiceName, SharedRetryBudget>>,
    /// The requests that wait for capacity, by service.
    pub(crate) wait_queues: RefCell<HashMap<ServiceName, Rc<WaitQueue>>>,
    /// How fast the upstreams of each service are freed.
    pub(crate) flows: RefCell<HashMap<ServiceName, Flow>>,
    /// Requests that may be in flight at each replica of a plain service.
    pub(crate) replica_limits: RefCell<ReplicaLimits>,
    /// Crashes of engines, and the parts of prompts that are refused for them.
    pub(crate) crashes: RefCell<CrashTable>,
    /// The attempts that take part in a crash if an engine of theirs ends now.
    pub(crate) runs: RunTable,
    /// The other nodes.
    pub(crate) members: RefCell<MemberTable>,
    pub(crate) metrics: Metrics,
    /// Since when the key-value service cannot be reached; `None` if it can.
    pub(crate) store_lost_at: Cell<Option<Timestamp>>,
    /// Raised when the registration of this node could not be renewed, to abandon the pending watch
    /// and read all keys again.
    pub(crate) store_lost: Wakeup,
    /// Raised when any call to the key-value service was not answered. The connection of the pending
    /// watch may be as silent, so the watch is opened anew.
    pub(crate) store_silent: Rc<Wakeup>,
    /// Raised when the changes in the key-value service are to be read without waiting for the next
    /// interval, since another node has announced a newer routing table.
    pub(crate) reread: Wakeup,
    /// Newest version of the routing table that another node has announced.
    pub(crate) announced_version: Cell<u64>,
    pub(crate) outbox: Outbox,
    /// Engines that have reported to this node that they are slow: incarnation, slowdown, and time
    /// of the report.
    pub(crate) reported_slow: RefCell<HashMap<UpstreamName, (u64, f64, Timestamp)>>,
    /// Layers that engines have reported to this node as planner, in the order of the reports.
    pub(crate) reported_layers: RefCell<Vec<(UpstreamName, u64, LayerRange)>>,
    pub(crate) probes: RefCell<ProbeTimes>,
    /// What this node knows about its links to the upstreams.
    pub(crate) links: Links,
    /// Nodes that could not run a request of this one lately.
    pub(crate) unable_nodes: UnableNodes,
    /// When the upstreams that get no requests were last counted in the log.
    pub(crate) unusable_logged: Cell<Option<Timestamp>>,
    /// Whether some node holds the planner's lease, according to the latest read of the key-value
    /// service.
    pub(crate) planner_active: Cell<bool>,
}

/// The client of one incarnation of an upstream.
pub(crate) struct CachedClient {
    upstream: Rc<Upstream>,
    client: Rc<dyn upstreams::UpstreamClient>,
}

impl Gateway {
    /// Whether the balancer should send new connections to this node. The health checks ask for
    /// this through `Router::is_ready`.
    pub(crate) fn is_serving(&self) -> bool {
        let catalog = self.catalog.borrow();
        !self.stop.is_raised() && catalog.table().is_some() && catalog.has_list()
    }

    /// The client of the current incarnation of an upstream.
    pub(crate) fn client(&self, upstream: &Upstream) -> Rc<dyn upstreams::UpstreamClient> {
        let mut clients = self.clients.borrow_mut();
        if let Some(cached) = clients.get(&upstream.name)
            && cached.upstream.is_same_incarnation(upstream)
        {
            return cached.client.clone();
        }
        let observer = Rc::new(GatewayObserver::new(self.own.clone(), upstream));
        let client = self.connector.connect(upstream, observer);
        let cached = CachedClient { upstream: Rc::new(upstream.clone()), client: client.clone() };
        clients.insert(upstream.name.clone(), cached);
        client
    }

    /// Drops the clients of upstreams that no longer exist in the same incarnation.
    pub(crate) fn drop_stale_clients(&self) {
        let catalog = self.catalog.borrow();
        self.clients.borrow_mut().retain(|name, cached| {
            catalog
                .upstream(name)
                .is_some_and(|upstream| upstream.is_same_incarnation(&cached.upstream))
        });
    }

    /// Whether an upstream accepts new work, is not avoided now and has not asked for a pause.
    pub(crate) fn is_usable(&self, upstream: &Upstream) -> bool {
        let now = self.clock.now();
        upstream.phase == Phase::Serving
            && !self.health.borrow().is_avoided(&upstream.name, upstream.incarnation, now)
            && !self.is_paused(upstream)
    }

    /// Whether an engine is so slow that the planner no longer counts on it, and that a stream may
    /// leave it for a path without very slow engines. New requests may still be sent through it:
    /// its slowdown only raises the cost of their paths.
    pub(crate) fn is_very_slow(&self, name: &UpstreamName) -> bool {
        let now = self.clock.now();
        let catalog = self.catalog.borrow();
        let slowdown =
            |upstream: &Upstream| self.health.borrow().slowdown(name, upstream.incarnation, now);
        catalog.upstream(name).is_some_and(|upstream| slowdown(upstream) >= VERY_SLOW_FACTOR)
    }

    /// Records a failure of an upstream, which is then avoided for some time.
    pub(crate) fn mark_failed(&self, name: &UpstreamName, evidence: FailureEvidence, cause: &str) {
        let catalog = self.catalog.borrow();
        let Some(upstream) = catalog.upstream(name) else { return };
        let now = self.clock.now();
        let mut health = self.health.borrow_mut();
        let pause = health.record_failure(name, upstream.incarnation, now);
        drop(health);
        self.metrics.suspicions.inc();
        let evidence: &str = evidence.into();
        tracing::info!(upstream = %name, evidence, cause, pause_ms = pause.as_millis() as u64,
            "upstream is avoided");
    }

    /// The upstream with this address.
    pub(crate) fn upstream_at(&self, addr: SocketAddr) -> Option<UpstreamName> {
        let catalog = self.catalog.borrow();
        catalog
            .upstreams()
            .find(|upstream| upstream.addr == addr)
            .map(|upstream| upstream.name.clone())
    }
}
