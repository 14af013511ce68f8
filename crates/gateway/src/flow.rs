//! How fast the upstreams of a service are freed, and when a refused caller should come back.

use std::{cell::RefMut, time::Duration};

use admission::{FleetLoad, Flow, retry_after};
use pipelines::demand_interval;
use rand::Rng;
use types::ServiceName;

use crate::{
    Gateway, admission::CAPACITY_RETRY_AFTER, lifecycle::ActiveRequest, selection::Selection,
};

/// Share of the other nodes from whose load this node decides for the whole fleet. A node that has
/// heard fewer, after its start or because it is cut off, uses its own part of the capacity.
const MIN_COVERAGE: f64 = 0.5;

impl Gateway {
    /// This node's observations of a service.
    pub(crate) fn flow(&self, service: &ServiceName) -> RefMut<'_, Flow> {
        RefMut::map(self.flows.borrow_mut(), |flows| flows.entry(service.clone()).or_default())
    }

    /// Whether this node has heard the load of enough other nodes recently.
    pub(crate) fn knows_fleet_load(&self) -> bool {
        self.coverage() >= MIN_COVERAGE
    }

    /// The load of all nodes on a service.
    pub(crate) fn fleet_load(&self, service: &ServiceName) -> FleetLoad {
        let catalog = self.catalog.borrow();
        let load = self.load.borrow();
        let in_flight = catalog
            .upstreams()
            .filter(|upstream| upstream.service == *service)
            .fold(0_u32, |sum, upstream| sum.saturating_add(load.total(&upstream.name).entered));
        FleetLoad {
            in_flight,
            hold: self.flow(service).hold(),
            nodes: self.node_count(),
            waiting_elsewhere: self.waiting_elsewhere(service),
            age: demand_interval(self.node_count()),
        }
    }
}

impl ActiveRequest {
    /// Records for how long an attempt that was answered has held its upstreams.
    pub(crate) fn observe_hold(&self, selection: &Selection) {
        let held = self.gateway.clock.now().since(selection.selected);
        self.gateway.flow(&self.service).observe_hold(held);
    }

    /// Time after which the caller may retry a request that is refused for lack of capacity.
    pub(crate) fn capacity_retry_after(&self) -> Duration {
        let gateway = &self.gateway;
        if gateway.settings.overload.is_none() {
            return CAPACITY_RETRY_AFTER;
        }
        let (fleet, waiting) = self.load_ahead();
        let now = gateway.clock.now();
        let wait = gateway.flow(&self.service).record_refusal(&fleet, waiting, now);
        let after = retry_after(wait, self.time_left(), rand::rng().random());
        gateway.metrics.retry_after.observe(after.as_secs_f64());
        after
    }

    /// What [`capacity_retry_after`](Self::capacity_retry_after) would return with this random
    /// number. No refusal is counted.
    pub(crate) fn preview_retry_after(&self, draw: f64) -> Duration {
        let gateway = &self.gateway;
        if gateway.settings.overload.is_none() {
            return CAPACITY_RETRY_AFTER;
        }
        let (fleet, waiting) = self.load_ahead();
        let now = gateway.clock.now();
        let wait = gateway.flow(&self.service).wait_if_refused(&fleet, waiting, now);
        retry_after(wait, self.time_left(), draw)
    }

    /// The load of all nodes on the service, and the number of requests that wait at this node.
    fn load_ahead(&self) -> (FleetLoad, usize) {
        let gateway = &self.gateway;
        let waiting = gateway.wait_queue(&self.service).order().len();
        (gateway.fleet_load(&self.service), waiting)
    }
}
