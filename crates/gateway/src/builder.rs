use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use catalog::{CatalogCodec, CatalogState};
use clock::Clock;
use crashes::CrashTable;
use keyvalue::RevisionStore;
use pipelines::{HealthTable, LoadTable, PauseTable};
use settings::EdgeSettings;
use transport::StopSignal;
use upstreams::Connector;

use crate::{
    Gateway, links::Links, metrics::Metrics, observed_store::ObservedStore, pressure::Pressure,
    runs::RunTable, updates::Outbox, wakeup::Wakeup,
};

/// Builds a [`Gateway`].
pub struct GatewayBuilder {
    clock: Rc<dyn Clock>,
    settings: EdgeSettings,
    store: Rc<dyn RevisionStore>,
    connector: Rc<dyn Connector>,
    codec: Rc<dyn CatalogCodec>,
    stop: StopSignal,
}

impl GatewayBuilder {
    /// Creates a builder of a gateway that reaches its peers through the given trait objects.
    pub fn new(
        clock: Rc<dyn Clock>,
        settings: EdgeSettings,
        store: Rc<dyn RevisionStore>,
        connector: Rc<dyn Connector>,
        codec: Rc<dyn CatalogCodec>,
    ) -> GatewayBuilder {
        GatewayBuilder { clock, settings, store, connector, codec, stop: StopSignal::new() }
    }

    /// Sets the signal that starts the shutdown.
    pub fn stop(mut self, stop: StopSignal) -> GatewayBuilder {
        self.stop = stop;
        self
    }

    /// Creates the gateway.
    pub fn build(self) -> Rc<Gateway> {
        let store_silent = Rc::<Wakeup>::default();
        let store = Rc::new(ObservedStore::new(self.store, store_silent.clone()));
        let estimates_growth = self.settings.overload.is_some();
        let load = if estimates_growth { LoadTable::with_growth() } else { LoadTable::default() };
        Rc::new_cyclic(|own| Gateway {
            own: own.clone(),
            started: self.clock.now(),
            clock: self.clock,
            settings: self.settings,
            store,
            connector: self.connector,
            codec: self.codec,
            stop: self.stop,
            stopped_at: Cell::new(None),
            table_since: Cell::new(None),
            catalog: RefCell::new(CatalogState::default()),
            clients: RefCell::default(),
            load: RefCell::new(load),
            demand: RefCell::default(),
            pressure: Pressure::default(),
            unread: RefCell::default(),
            crossing_gaps: RefCell::default(),
            health: RefCell::new(HealthTable::default()),
            pauses: RefCell::new(PauseTable::default()),
            rate_limits: RefCell::default(),
            retry_budgets: RefCell::default(),
            wait_queues: RefCell::default(),
            flows: RefCell::default(),
            replica_limits: RefCell::default(),
            crashes: RefCell::new(CrashTable::default()),
            runs: RunTable::default(),
            members: RefCell::default(),
            metrics: Metrics::new(),
            store_lost_at: Cell::new(None),
            store_lost: Wakeup::default(),
            store_silent,
            reread: Wakeup::default(),
            announced_version: Cell::new(0),
            outbox: Outbox::default(),
            reported_slow: RefCell::default(),
            reported_layers: RefCell::default(),
            probes: RefCell::default(),
            links: Links::default(),
            unable_nodes: RefCell::default(),
            unusable_logged: Cell::new(None),
            planner_active: Cell::new(false),
        })
    }
}
