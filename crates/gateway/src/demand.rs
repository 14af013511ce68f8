//! Counts this node's requests for the demand of the fleet, and exchanges reports of it with the
//! other nodes.

use std::{collections::BTreeMap, rc::Rc};

use peers::{Datagram, DatagramSocket, DemandReport, RequestCount, ServiceReport};
use pipelines::{
    Demand, DemandKey, MAX_REPORTED_ORGANISATIONS, ServiceDemand, demand_interval, demand_lifetime,
};
use types::{Organisation, ServiceName};

use crate::{
    Gateway,
    audience::BEACON_RELAYS,
    lifecycle::{ActiveRequest, LOWEST_PRIORITY},
};

/// Most services in a report that is received.
const MAX_REPORTED_SERVICES: usize = 16;
/// Most organisations in a log line.
const MAX_LOGGED_ORGANISATIONS: usize = 8;

/// Counts a request as running or as waiting until it is dropped.
pub(crate) struct DemandGuard {
    gateway: Rc<Gateway>,
    key: DemandKey,
    is_running: bool,
}

impl DemandGuard {
    fn new(gateway: Rc<Gateway>, key: DemandKey, is_running: bool) -> DemandGuard {
        let mut demand = gateway.demand.borrow_mut();
        if is_running {
            demand.start(&key)
        } else {
            demand.enqueue(&key)
        }
        drop(demand);
        DemandGuard { gateway, key, is_running }
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        let mut demand = self.gateway.demand.borrow_mut();
        if self.is_running { demand.finish(&self.key) } else { demand.dequeue(&self.key) }
    }
}

impl ActiveRequest {
    /// Counts the request as running on upstreams, with the settings for decisions under overload.
    pub(crate) fn count_running(&self) -> Option<DemandGuard> {
        self.count_demand(true)
    }

    /// Counts the request as waiting for capacity, with the settings for decisions under overload.
    pub(crate) fn count_waiting(&self) -> Option<DemandGuard> {
        self.count_demand(false)
    }

    /// Counts the request as refused for lack of capacity.
    pub(crate) fn count_refused(&self) {
        if self.gateway.settings.overload.is_some() {
            let now = self.gateway.clock.now();
            self.gateway.record_pressure();
            self.gateway.demand.borrow_mut().refuse(self.demand_key(), now);
        }
    }

    fn count_demand(&self, is_running: bool) -> Option<DemandGuard> {
        self.gateway.settings.overload.as_ref()?;
        if !is_running {
            self.gateway.record_pressure();
        }
        Some(DemandGuard::new(self.gateway.clone(), self.demand_key(), is_running))
    }

    fn demand_key(&self) -> DemandKey {
        DemandKey {
            service: self.service.clone(),
            priority: self.priority.min(LOWEST_PRIORITY),
            organisation: self.organisation.clone(),
        }
    }
}

impl Gateway {
    /// Whether an organisation uses more than its fair share of a service while this node is under
    /// pressure. Without pressure, shares are lent.
    pub fn over_share(&self, service: &ServiceName, organisation: &Organisation) -> bool {
        self.is_under_pressure() && self.demand.borrow().is_over_share(service, organisation)
    }

    /// Requests of the other nodes to a service that wait for capacity or were refused recently,
    /// according to their reports; `None` without pressure, when nodes send none.
    pub(crate) fn waiting_elsewhere(&self, service: &ServiceName) -> Option<u32> {
        if !self.is_under_pressure() {
            return None;
        }
        let demand = self.demand.borrow();
        u32::try_from(demand.waiting_elsewhere(service)).ok()
    }

    /// Share of the other registered nodes that this node has heard from recently. It is low after a
    /// start and while the node is cut off; 1 if there are no other nodes.
    pub fn coverage(&self) -> f64 {
        let (members, load) = (self.members.borrow(), self.load.borrow());
        if members.len() == 0 {
            return 1.0;
        }
        let heard = members.names().filter(|name| load.knows_peer(name)).count();
        heard as f64 / members.len() as f64
    }

    /// Applies the report of another node.
    pub(crate) fn apply_demand(&self, report: DemandReport) {
        self.metrics.fleet.reports_received.inc();
        let services = report.services.into_iter().take(MAX_REPORTED_SERVICES);
        let services = services.map(|report| (report.service.clone(), decoded(report))).collect();
        self.demand.borrow_mut().set_peer(report.node, services, self.clock.now());
    }

    fn demand_report(&self) -> DemandReport {
        let services = self.demand.borrow().report();
        let services = services.into_iter().map(|(service, demand)| encoded(service, demand));
        DemandReport { node: self.settings.name.clone(), services: services.collect() }
    }

    /// The organisations that use more than their fair share of a service now.
    fn organisations_over_share(&self) -> Vec<Organisation> {
        let demand = self.demand.borrow();
        let mut over: Vec<Organisation> = demand
            .services()
            .flat_map(|service| demand.organisations_over_share(service))
            .cloned()
            .collect();
        over.sort();
        over.dedup();
        over
    }
}

/// Reports this node's demand to all other nodes while it is under pressure.
pub(crate) async fn send_demand(gateway: Rc<Gateway>, socket: Rc<DatagramSocket>) {
    if gateway.settings.overload.is_none() {
        return;
    }
    let mut known_over = Vec::new();
    loop {
        let interval = demand_interval(gateway.node_count());
        gateway.clock.sleep(interval).await;
        let now = gateway.clock.now();
        gateway.demand.borrow_mut().expire(now, demand_lifetime(interval));
        gateway.update_fleet_metrics();
        if !gateway.is_under_pressure() {
            known_over.clear();
            continue;
        }
        let over = gateway.organisations_over_share();
        if over != known_over {
            let logged: Vec<&str> =
                over.iter().take(MAX_LOGGED_ORGANISATIONS).map(|name| name.as_str()).collect();
            tracing::info!(
                count = over.len(),
                organisations = logged.join(","),
                "organisations are above their fair share of a service"
            );
            known_over = over;
        }
        let report = gateway.demand_report();
        if report.services.is_empty() {
            continue;
        }
        let audience = gateway.all_nodes(BEACON_RELAYS);
        let failed = audience.send(&socket, Datagram::of_demand(report)).await;
        gateway.metrics.fleet.reports_sent.inc();
        if failed > 0 {
            tracing::debug!(failed, "demand could not be reported");
        }
    }
}

fn decoded(report: ServiceReport) -> ServiceDemand {
    let priorities = report.priorities.into_iter().take(LOWEST_PRIORITY as usize + 1);
    let organisations = report.organisations.into_iter().take(MAX_REPORTED_ORGANISATIONS);
    ServiceDemand {
        priorities: priorities.map(|(priority, count)| (priority, decoded_count(count))).collect(),
        organisations: organisations.map(|(name, count)| (name, decoded_count(count))).collect(),
        others: decoded_count(report.others),
    }
}

fn encoded(service: ServiceName, demand: ServiceDemand) -> ServiceReport {
    fn counts<K>(demands: BTreeMap<K, Demand>) -> Vec<(K, RequestCount)> {
        demands.into_iter().map(|(key, demand)| (key, encoded_count(demand))).collect()
    }
    ServiceReport {
        service,
        priorities: counts(demand.priorities),
        organisations: counts(demand.organisations),
        others: encoded_count(demand.others),
    }
}

fn decoded_count(count: RequestCount) -> Demand {
    Demand { running: count.running.into(), waiting: count.waiting.into() }
}

fn encoded_count(demand: Demand) -> RequestCount {
    let count = |requests| u32::try_from(requests).unwrap_or(u32::MAX);
    RequestCount { running: count(demand.running), waiting: count(demand.waiting) }
}
