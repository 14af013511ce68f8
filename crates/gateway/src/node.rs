use std::{
    cell::{Cell, RefCell, RefMut},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use catalog::{CatalogCodec, CatalogState, Phase, Upstream};
use clock::{Clock, Timestamp};
use keyvalue::RevisionStore;
use pipelines::{HealthTable, LoadTable, SharedRetryBudget};
use settings::EdgeSettings;
use transport::StopSignal;
use types::{LayerRange, NodeName, ServiceName, UpstreamName};
use upstreams::Connector;

use crate::{
    admission::WaitQueue, crashes::CrashTable, metrics::Metrics, peering::Member,
    stream_probe::ProbeTimes, updates::Outbox, wakeup::Wakeup,
};

/// Factor on the time of an engine's work from which it is very slow. A spare engine loads its layers
/// in less time than requests through it lose.
const VERY_SLOW_FACTOR: f64 = 4.0;

/// A node: its peers and the catalog as it knows it. State is borrowed only between awaits.
pub struct Gateway {
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) settings: EdgeSettings,
    pub(crate) store: Rc<dyn RevisionStore>,
    pub(crate) connector: Rc<dyn Connector>,
    pub(crate) codec: Rc<dyn CatalogCodec>,
    pub(crate) stop: StopSignal,
    /// When the signal to stop was seen.
    pub(crate) stopped_at: Cell<Option<Timestamp>>,
    pub(crate) catalog: RefCell<CatalogState>,
    pub(crate) clients: RefCell<HashMap<UpstreamName, CachedClient>>,
    pub(crate) load: RefCell<LoadTable>,
    pub(crate) health: RefCell<HealthTable>,
    /// Limits of retries by service.
    pub(crate) retry_budgets: RefCell<HashMap<ServiceName, SharedRetryBudget>>,
    pub(crate) wait_queue: WaitQueue,
    pub(crate) crashes: RefCell<CrashTable>,
    /// The other nodes that are registered in the store.
    pub(crate) members: RefCell<BTreeMap<NodeName, Member>>,
    pub(crate) metrics: Metrics,
    /// Raised when a call to the store got no answer, so that the waiting watch is given up.
    pub(crate) store_lost: Wakeup,
    /// Raised when the changes are to be read at once.
    pub(crate) reread: Wakeup,
    /// Newest version of the configuration that another node has told of.
    pub(crate) announced_version: Cell<u64>,
    pub(crate) outbox: Outbox,
    /// Engines that have reported to this node that they are slow: their incarnation, slowdown, and when.
    pub(crate) reported_slow: RefCell<HashMap<UpstreamName, (u64, f64, Timestamp)>>,
    /// Layers that engines have reported to this node as planner, in order.
    pub(crate) reported_layers: RefCell<Vec<(UpstreamName, u64, LayerRange)>>,
    pub(crate) probes: RefCell<ProbeTimes>,
    /// Whether some node holds the planner's lease, by the last statement of the store.
    pub(crate) planner_active: Cell<bool>,
}

/// A client of one incarnation of an upstream.
pub(crate) struct CachedClient {
    upstream: Rc<Upstream>,
    client: Rc<dyn upstreams::UpstreamClient>,
}

impl Gateway {
    /// Whether the balancer should send new connections.
    pub(crate) fn is_serving(&self) -> bool {
        let catalog = self.catalog.borrow();
        !self.stop.is_raised() && catalog.table().is_some() && catalog.is_loaded()
    }

    /// The client of the present incarnation of an upstream.
    pub(crate) fn client(&self, upstream: &Upstream) -> Rc<dyn upstreams::UpstreamClient> {
        let mut clients = self.clients.borrow_mut();
        if let Some(cached) = clients.get(&upstream.name)
            && cached.upstream.is_same_incarnation(upstream)
        {
            return cached.client.clone();
        }
        let client = self.connector.connect(upstream);
        let cached = CachedClient { upstream: Rc::new(upstream.clone()), client: client.clone() };
        clients.insert(upstream.name.clone(), cached);
        client
    }

    /// Forgets clients of upstreams that are gone.
    pub(crate) fn drop_stale_clients(&self) {
        let catalog = self.catalog.borrow();
        self.clients.borrow_mut().retain(|name, cached| {
            catalog
                .upstream(name)
                .is_some_and(|upstream| upstream.is_same_incarnation(&cached.upstream))
        });
    }

    /// Whether an upstream takes new work and is not suspected.
    pub(crate) fn is_usable(&self, upstream: &Upstream) -> bool {
        let now = self.clock.now();
        upstream.phase == Phase::Serving
            && !self.health.borrow().is_suspect(&upstream.name, upstream.incarnation, now)
    }

    /// Whether an engine is so slow that work is better done without it.
    pub(crate) fn is_very_slow(&self, name: &UpstreamName) -> bool {
        let now = self.clock.now();
        let catalog = self.catalog.borrow();
        let slowdown =
            |upstream: &Upstream| self.health.borrow().slowdown(name, upstream.incarnation, now);
        catalog.upstream(name).is_some_and(|upstream| slowdown(upstream) >= VERY_SLOW_FACTOR)
    }

    /// Notes a failure of an upstream.
    pub(crate) fn suspect(&self, name: &UpstreamName, cause: &str) {
        let catalog = self.catalog.borrow();
        let Some(upstream) = catalog.upstream(name) else { return };
        let now = self.clock.now();
        let pause = self.health.borrow_mut().record_failure(name, upstream.incarnation, now);
        self.metrics.suspicions.inc();
        tracing::info!(upstream = %name, cause, pause_ms = pause.as_millis() as u64,
            "upstream is avoided");
    }

    /// The upstream at an address.
    pub(crate) fn upstream_at(&self, addr: SocketAddr) -> Option<UpstreamName> {
        let catalog = self.catalog.borrow();
        catalog
            .upstreams()
            .find(|upstream| upstream.addr == addr)
            .map(|upstream| upstream.name.clone())
    }

    /// What limits retries to a service.
    pub(crate) fn retry_budget(&self, service: &ServiceName) -> RefMut<'_, SharedRetryBudget> {
        RefMut::map(self.retry_budgets.borrow_mut(), |retry_budgets| {
            retry_budgets.entry(service.clone()).or_insert_with(|| {
                let settings = &self.settings;
                let window = Duration::from_secs_f64(settings.retry_window_s);
                SharedRetryBudget::new(window, settings.retry_ratio, settings.retry_extra)
            })
        })
    }

    /// Number of nodes, this one included.
    pub(crate) fn node_count(&self) -> usize {
        self.members.borrow().len() + 1
    }
}
