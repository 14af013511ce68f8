//! The requests in flight and waiting in the whole fleet, by service, priority and organisation.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use clock::Timestamp;
use types::{NodeName, Organisation, ServiceName};

use crate::fair_share::fair_level;

/// Most organisations that a report names. The others are one sum.
pub const MAX_REPORTED_ORGANISATIONS: usize = 8;
/// Time for which a request that was refused for lack of capacity counts as waiting. Callers that
/// honour a short `Retry-After` come back within this time.
const REFUSED_LIFETIME: Duration = Duration::from_secs(1);
/// Most refused requests that are remembered.
const MAX_REFUSED: usize = 256;

/// What a request counts under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandKey {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Organisation of the caller, if it has one.
    pub organisation: Option<Organisation>,
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests that run on upstreams.
    pub running: u64,
    /// Requests that wait for capacity or were refused recently for lack of it.
    pub waiting: u64,
}

impl Demand {
    /// One request that runs.
    const RUNNING: Demand = Demand { running: 1, waiting: 0 };
    /// One request that waits.
    const WAITING: Demand = Demand { running: 0, waiting: 1 };

    /// Number of requests.
    pub fn total(self) -> u64 {
        self.running.saturating_add(self.waiting)
    }

    fn add(&mut self, other: Demand) {
        self.running = self.running.saturating_add(other.running);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }

    fn subtract(&mut self, other: Demand) {
        self.running = self.running.saturating_sub(other.running);
        self.waiting = self.waiting.saturating_sub(other.waiting);
    }
}

/// The requests of one node to one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceDemand {
    /// By priority.
    pub priorities: BTreeMap<u32, Demand>,
    /// By organisation, as far as reports name them.
    pub organisations: BTreeMap<Organisation, Demand>,
    /// Of callers without an organisation and of organisations that the report does not name.
    pub others: Demand,
}

impl ServiceDemand {
    fn add(&mut self, other: &ServiceDemand) {
        for (priority, demand) in &other.priorities {
            self.priorities.entry(*priority).or_default().add(*demand);
        }
        for (organisation, demand) in &other.organisations {
            self.organisations.entry(organisation.clone()).or_default().add(*demand);
        }
        self.others.add(other.others);
    }

    fn subtract(&mut self, other: &ServiceDemand) {
        for (priority, demand) in &other.priorities {
            subtract(&mut self.priorities, priority, *demand);
        }
        for (organisation, demand) in &other.organisations {
            subtract(&mut self.organisations, organisation, *demand);
        }
        self.others.subtract(other.others);
    }

    fn of_request(key: &DemandKey, demand: Demand) -> ServiceDemand {
        let organisations = key.organisation.iter().map(|name| (name.clone(), demand));
        ServiceDemand {
            priorities: BTreeMap::from([(key.priority, demand)]),
            organisations: organisations.collect(),
            others: if key.organisation.is_none() { demand } else { Demand::default() },
        }
    }

    /// The same with the largest organisations only; the rest is part of `others`.
    fn bounded(&self) -> ServiceDemand {
        let mut bounded = self.clone();
        let mut by_size: Vec<(&Organisation, &Demand)> = self.organisations.iter().collect();
        by_size.sort_by_key(|(_, demand)| Reverse(demand.total()));
        for (name, demand) in by_size.into_iter().skip(MAX_REPORTED_ORGANISATIONS) {
            bounded.organisations.remove(name);
            bounded.others.add(*demand);
        }
        bounded
    }

    fn is_empty(&self) -> bool {
        self.priorities.is_empty()
    }

    /// Whether an organisation uses more than its fair share.
    fn is_over_share(&self, organisation: &str) -> bool {
        let own = self.organisations.get(organisation);
        own.is_some_and(|own| own.running as f64 > self.fair_level())
    }

    /// Most requests that an organisation may run by max-min fairness, out of those that the
    /// organisations run together. A share that others do not demand is lent, so the level is
    /// infinite if no request waits. What has no organisation here is neither limited nor divided.
    fn fair_level(&self) -> f64 {
        let capacity = self.organisations.values().map(|demand| demand.running);
        let capacity = capacity.fold(0, u64::saturating_add);
        let mut demands: Vec<u64> =
            self.organisations.values().map(|demand| demand.total()).collect();
        fair_level(&mut demands, capacity)
    }
}

/// The demand of all nodes: that of this node, and that of the others according to their last
/// reports.
#[derive(Default)]
pub struct DemandTable {
    own: BTreeMap<ServiceName, ServiceDemand>,
    /// Sums over `own` and `peers`.
    all: BTreeMap<ServiceName, ServiceDemand>,
    peers: BTreeMap<NodeName, Report>,
    /// Requests of this node that were refused, oldest first. They count as waiting.
    refused: VecDeque<(Timestamp, DemandKey)>,
}

/// The last report of another node.
struct Report {
    received: Timestamp,
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl DemandTable {
    /// Counts a request of this node as running.
    pub fn start(&mut self, key: &DemandKey) {
        self.add_own(key, Demand::RUNNING);
    }

    /// No longer counts a request of this node as running.
    pub fn finish(&mut self, key: &DemandKey) {
        self.subtract_own(key, Demand::RUNNING);
    }

    /// Counts a request of this node as waiting.
    pub fn enqueue(&mut self, key: &DemandKey) {
        self.add_own(key, Demand::WAITING);
    }

    /// No longer counts a request of this node as waiting.
    pub fn dequeue(&mut self, key: &DemandKey) {
        self.subtract_own(key, Demand::WAITING);
    }

    /// Counts a request of this node that is refused for lack of capacity as waiting for some time.
    pub fn refuse(&mut self, key: DemandKey, now: Timestamp) {
        if self.refused.len() >= MAX_REFUSED
            && let Some((_, oldest)) = self.refused.pop_front()
        {
            self.dequeue(&oldest);
        }
        self.enqueue(&key);
        self.refused.push_back((now, key));
    }

    /// What this node reports to the others.
    pub fn report(&self) -> BTreeMap<ServiceName, ServiceDemand> {
        self.own.iter().map(|(service, demand)| (service.clone(), demand.bounded())).collect()
    }

    /// Replaces the demand of another node.
    pub fn set_peer(
        &mut self,
        node: NodeName,
        services: BTreeMap<ServiceName, ServiceDemand>,
        now: Timestamp,
    ) {
        for (service, demand) in &services {
            self.all.entry(service.clone()).or_default().add(demand);
        }
        if let Some(previous) = self.peers.insert(node, Report { received: now, services }) {
            subtract_report(&mut self.all, &previous);
        }
    }

    /// Removes reports that are older than `max_age`, and refused requests.
    pub fn expire(&mut self, now: Timestamp, max_age: Duration) {
        let DemandTable { peers, all, .. } = self;
        peers.retain(|_, report| {
            let is_recent = now.since(report.received) < max_age;
            if !is_recent {
                subtract_report(all, report);
            }
            is_recent
        });
        while let Some((refused, _)) = self.refused.front()
            && now.since(*refused) >= REFUSED_LIFETIME
            && let Some((_, key)) = self.refused.pop_front()
        {
            self.dequeue(&key);
        }
    }

    /// Services with demand.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.all.keys()
    }

    /// Requests of all nodes to a service by priority, the most urgent first. The rank of a priority
    /// among those with demand is its place.
    pub fn by_priority(&self, service: &str) -> impl Iterator<Item = (u32, Demand)> {
        let priorities = self.all.get(service).into_iter().flat_map(|demand| &demand.priorities);
        priorities.map(|(priority, demand)| (*priority, *demand))
    }

    /// Requests of the other nodes to a service that wait for capacity.
    pub fn waiting_elsewhere(&self, service: &str) -> u64 {
        let waiting = |table: &BTreeMap<ServiceName, ServiceDemand>| {
            let priorities = table.get(service).into_iter().flat_map(|demand| &demand.priorities);
            priorities.map(|(_, demand)| demand.waiting).sum::<u64>()
        };
        waiting(&self.all).saturating_sub(waiting(&self.own))
    }

    /// Requests of all nodes to a service by organisation, except those that no report names.
    pub fn by_organisation(&self, service: &str) -> impl Iterator<Item = (&Organisation, Demand)> {
        let demand = self.all.get(service).into_iter();
        demand
            .flat_map(|demand| &demand.organisations)
            .map(|(organisation, demand)| (organisation, *demand))
    }

    /// The organisations that use more than their fair share of a service.
    pub fn organisations_over_share(&self, service: &str) -> impl Iterator<Item = &Organisation> {
        let demand = self.all.get(service).into_iter();
        demand.flat_map(|demand| {
            let level = demand.fair_level();
            let over =
                demand.organisations.iter().filter(move |(_, own)| own.running as f64 > level);
            over.map(|(organisation, _)| organisation)
        })
    }

    /// Whether an organisation uses more than its fair share of a service.
    pub fn is_over_share(&self, service: &str, organisation: &str) -> bool {
        self.all.get(service).is_some_and(|demand| demand.is_over_share(organisation))
    }

    fn add_own(&mut self, key: &DemandKey, demand: Demand) {
        let demand = ServiceDemand::of_request(key, demand);
        for table in [&mut self.own, &mut self.all] {
            table.entry(key.service.clone()).or_default().add(&demand);
        }
    }

    fn subtract_own(&mut self, key: &DemandKey, demand: Demand) {
        let demand = ServiceDemand::of_request(key, demand);
        for table in [&mut self.own, &mut self.all] {
            subtract_service(table, &key.service, &demand);
        }
    }
}

fn subtract_report(all: &mut BTreeMap<ServiceName, ServiceDemand>, report: &Report) {
    for (service, demand) in &report.services {
        subtract_service(all, service, demand);
    }
}

/// Subtracts demand from that of a service. A service without requests has no entry.
fn subtract_service(
    table: &mut BTreeMap<ServiceName, ServiceDemand>,
    service: &ServiceName,
    demand: &ServiceDemand,
) {
    let Some(sum) = table.get_mut(service) else { return };
    sum.subtract(demand);
    if sum.is_empty() {
        table.remove(service);
    }
}

/// Subtracts `ended` from the demand under a key. A key without requests has no entry.
fn subtract<K: Ord>(table: &mut BTreeMap<K, Demand>, key: &K, ended: Demand) {
    let Some(sum) = table.get_mut(key) else { return };
    sum.subtract(ended);
    if sum.total() == 0 {
        table.remove(key);
    }
}
