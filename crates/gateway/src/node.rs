use std::{
    cell::{Cell, RefCell, RefMut},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use catalog::{CatalogState, Phase, Publications, Upstream};
use clock::{Clock, Timestamp};
use keyvalue::RevisionStore;
use pipelines::{HealthTable, LoadTable, SendBudget};
use settings::EdgeSettings;
use transport::Stop;
use types::{LayerRange, NodeName, ServiceName, UpstreamName};
use upstreams::Connector;

use crate::{
    admission::Waiters, blocked::Looks, crashes::CrashTable, metrics::Metrics, news::Outbox,
    peering::Member, wakeup::Wakeup,
};

/// Factor on the time of an engine's work from which it is very slow. A spare engine loads its layers
/// in less time than requests through it lose.
const VERY_SLOW_PACE: f64 = 4.0;

/// A node: its peers and the catalog as it knows it. State is borrowed only between awaits.
pub struct Gateway {
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) settings: EdgeSettings,
    pub(crate) store: Rc<dyn RevisionStore>,
    pub(crate) connector: Rc<dyn Connector>,
    pub(crate) publications: Rc<dyn Publications>,
    pub(crate) stop: Stop,
    /// When the signal to stop was seen.
    pub(crate) stopped: Cell<Option<Timestamp>>,
    pub(crate) catalog: RefCell<CatalogState>,
    pub(crate) clients: RefCell<HashMap<UpstreamName, Connected>>,
    pub(crate) load: RefCell<LoadTable>,
    pub(crate) health: RefCell<HealthTable>,
    /// Limits of repeated sends by service.
    pub(crate) budgets: RefCell<HashMap<ServiceName, SendBudget>>,
    pub(crate) waiters: Waiters,
    pub(crate) crashes: RefCell<CrashTable>,
    /// The other nodes that are registered in the store.
    pub(crate) members: RefCell<BTreeMap<NodeName, Member>>,
    pub(crate) metrics: Metrics,
    /// Raised when a call to the store got no answer, so that the waiting watch is given up.
    pub(crate) store_lost: Wakeup,
    /// Raised when the changes are to be read at once.
    pub(crate) read_now: Wakeup,
    /// Newest version of the configuration that another node has told of.
    pub(crate) newest_table: Cell<u64>,
    pub(crate) outbox: Outbox,
    /// Engines that have reported to this node that they are slow: their start, pace, and when.
    pub(crate) slow: RefCell<HashMap<UpstreamName, (u64, f64, Timestamp)>>,
    /// Layers that engines have reported to this node as planner, in order.
    pub(crate) loaded: RefCell<Vec<(UpstreamName, u64, LayerRange)>>,
    pub(crate) looks: RefCell<Looks>,
    /// Whether some node holds the planner's lease, by the last statement of the store.
    pub(crate) planner_key: Cell<bool>,
}

/// A client of one start of an upstream.
pub(crate) struct Connected {
    upstream: Rc<Upstream>,
    client: Rc<dyn upstreams::Upstream>,
}

impl Gateway {
    /// Whether the balancer should send new connections.
    pub(crate) fn is_serving(&self) -> bool {
        let catalog = self.catalog.borrow();
        !self.stop.is_raised() && catalog.table().is_some() && catalog.is_loaded()
    }

    /// The client of the present start of an upstream.
    pub(crate) fn client(&self, upstream: &Upstream) -> Rc<dyn upstreams::Upstream> {
        let mut clients = self.clients.borrow_mut();
        if let Some(known) = clients.get(&upstream.name)
            && known.upstream.is_same_incarnation(upstream)
        {
            return known.client.clone();
        }
        let client = self.connector.connect(upstream);
        let connected = Connected { upstream: Rc::new(upstream.clone()), client: client.clone() };
        clients.insert(upstream.name.clone(), connected);
        client
    }

    /// Forgets clients of upstreams that are gone.
    pub(crate) fn drop_clients(&self) {
        let catalog = self.catalog.borrow();
        self.clients.borrow_mut().retain(|name, known| {
            catalog
                .upstream(name)
                .is_some_and(|upstream| upstream.is_same_incarnation(&known.upstream))
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
        let pace = |known: &Upstream| self.health.borrow().pace(name, known.incarnation, now);
        catalog.upstream(name).is_some_and(|known| pace(known) >= VERY_SLOW_PACE)
    }

    /// Notes a failure of an upstream.
    pub(crate) fn suspect(&self, name: &UpstreamName, cause: &str) {
        let catalog = self.catalog.borrow();
        let Some(upstream) = catalog.upstream(name) else { return };
        let now = self.clock.now();
        let pause = self.health.borrow_mut().fail(name, upstream.incarnation, now);
        self.metrics.suspicions.inc();
        tracing::info!(upstream = %name, cause, pause_ms = pause.as_millis() as u64,
            "upstream is avoided");
    }

    /// The upstream at an address.
    pub(crate) fn upstream_at(&self, addr: SocketAddr) -> Option<UpstreamName> {
        let catalog = self.catalog.borrow();
        catalog.upstreams().find(|known| known.addr == addr).map(|known| known.name.clone())
    }

    /// What limits repeated sends to a service.
    pub(crate) fn budget(&self, service: &ServiceName) -> RefMut<'_, SendBudget> {
        RefMut::map(self.budgets.borrow_mut(), |budgets| {
            budgets.entry(service.clone()).or_insert_with(|| {
                let settings = &self.settings;
                let window = Duration::from_secs_f64(settings.retry_window_s);
                SendBudget::new(window, settings.retry_ratio, settings.retry_extra)
            })
        })
    }

    /// Number of nodes, this one included.
    pub(crate) fn node_count(&self) -> usize {
        self.members.borrow().len() + 1
    }
}
