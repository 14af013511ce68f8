use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use types::{Organisation, ServiceName};

use crate::EngineProfile;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// A stream of events. One that can be resumed goes on after the last event that was received.
    Stream {
        /// Whether a new run can go on after a given event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a request that may have run can be sent again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream { .. })
    }
}

/// One service among which a route's requests are split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight in the split.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Host that the route belongs to.
    pub host: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// How often a request may run.
    pub retry: RetryPolicy,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time; in a stream, its first event.
    pub latency_target: Duration,
    /// Longest pause between events of a stream that is on time.
    pub max_gap: Option<Duration>,
    /// Rank of the requests; 0 goes first.
    pub priority: u32,
    /// Upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Services that the requests are split over.
    pub weighted_services: Vec<WeightedService>,
}

impl Route {
    /// The service for a request, where `roll` is from 0 up to 1.
    pub fn service(&self, roll: f64) -> Option<&ServiceName> {
        let total: u32 = self.weighted_services.iter().map(|weighted| weighted.weight).sum();
        let mut left = roll * f64::from(total);
        for weighted in &self.weighted_services {
            left -= f64::from(weighted.weight);
            if left < 0.0 {
                return Some(&weighted.service);
            }
        }
        self.weighted_services
            .iter()
            .rev()
            .find(|weighted| weighted.weight > 0)
            .map(|weighted| &weighted.service)
    }
}

/// What operators say of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// How its engines run their model, if it is a service of model engines.
    pub engine: Option<Arc<EngineProfile>>,
}

/// What a key gives access as.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Access {
    /// Organisation that holds the key.
    pub organisation: Organisation,
    /// Rank of the organisation's requests, before that of the route.
    pub priority: Option<u32>,
}

/// One version of the operators' configuration.
#[derive(Debug, Default)]
pub struct RoutingTable {
    version: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, Service>,
    keys: HashMap<Arc<str>, Access>,
    pub(crate) requires_key: bool,
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

impl RoutingTable {
    /// Version of the configuration. It grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // The routes of a host are sorted by the length of their prefix, longest first.
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// What `key` gives access as.
    pub fn access(&self, key: &str) -> Option<&Access> {
        self.keys.get(key)
    }

    /// Whether requests need a key at all.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// What operators say of `service`.
    pub fn service(&self, service: &str) -> Option<&Service> {
        self.services.get(service)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Service)> {
        self.services.iter()
    }
}

/// Builds a [`RoutingTable`].
#[derive(Debug)]
pub struct RoutingTableBuilder {
    table: RoutingTable,
}

impl RoutingTableBuilder {
    /// Starts a table of `version`.
    pub fn new(version: u64) -> RoutingTableBuilder {
        RoutingTableBuilder { table: RoutingTable { version, ..RoutingTable::default() } }
    }

    /// Adds a route.
    pub fn route(mut self, route: Route) -> RoutingTableBuilder {
        let routes = self.table.hosts.entry(route.host.clone()).or_default();
        let place =
            routes.partition_point(|known| known.path_prefix.len() > route.path_prefix.len());
        routes.insert(place, Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn service(mut self, name: ServiceName, service: Service) -> RoutingTableBuilder {
        self.table.services.insert(name, service);
        self
    }

    /// Adds an organisation and its keys. From the first one on, requests need a key.
    pub fn organisation(
        mut self,
        organisation: &Organisation,
        priority: Option<u32>,
        keys: impl IntoIterator<Item = Arc<str>>,
    ) -> RoutingTableBuilder {
        self.table.requires_key = true;
        for key in keys {
            let access = Access { organisation: organisation.clone(), priority };
            self.table.keys.insert(key, access);
        }
        self
    }

    /// Makes requests need a key, even if no organisation holds one.
    pub fn require_keys(mut self) -> RoutingTableBuilder {
        self.table.requires_key = true;
        self
    }

    /// Sets the largest head and body of a request, in bytes.
    pub fn size_limits(
        mut self,
        max_head_bytes: usize,
        max_body_bytes: usize,
    ) -> RoutingTableBuilder {
        self.table.max_head_bytes = max_head_bytes;
        self.table.max_body_bytes = max_body_bytes;
        self
    }

    /// The finished table.
    pub fn build(self) -> RoutingTable {
        self.table
    }
}
