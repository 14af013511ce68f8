use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use types::{Organisation, ServiceName};

use crate::ModelProfile;

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
    /// The answer is a stream of events. After a failure, a resumable stream continues after the
    /// last event that was received.
    Stream {
        /// Whether a new run can continue the stream after a given event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a request that may already have run can be sent again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream { .. })
    }
}

/// One of the services that a route's requests are split over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the weights of the other services.
    pub weight: u32,
}

/// A route: the requests to a host and a prefix of URL paths, and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that is used in logs and metrics.
    pub name: Arc<str>,
    /// Host that the route belongs to.
    pub host: Arc<str>,
    /// Prefix of the URL paths of its requests. It begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub retry: RetryPolicy,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Time within which the answer or, for a stream, its first event should arrive.
    pub latency_target: Duration,
    /// Longest time that should pass between two events of a stream.
    pub max_gap: Option<Duration>,
    /// Priority of the requests. 0 is the highest.
    pub priority: u32,
    /// Largest number of entry upstreams that may run one request; the later engines of a path are
    /// not counted. For a stream that can be resumed, the limit applies to distinct entry upstreams
    /// that no other process has replaced, whether they are still registered or not, and the stream
    /// may use each of them more than once. For other requests, it applies to the attempts that may
    /// have run, so refused ones are not counted. After a refused attempt, this second rule also
    /// holds for a stream that can be resumed.
    pub max_entries: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services that the requests are split over.
    pub weighted_services: Vec<WeightedService>,
}

impl Route {
    /// Chooses the service for a request by weight. `random` is at least 0 and less than 1.
    pub fn service(&self, random: f64) -> Option<&ServiceName> {
        let weights = self.weighted_services.iter().map(|weighted| f64::from(weighted.weight));
        let mut remaining = random * weights.sum::<f64>();
        for weighted in &self.weighted_services {
            remaining -= f64::from(weighted.weight);
            if remaining < 0.0 {
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

/// Configuration of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Profile of its model, if the service consists of model engines.
    pub model_profile: Option<Arc<ModelProfile>>,
}

/// Organisation and priority of the requests that are made with an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Access {
    /// Organisation that the key belongs to.
    pub organisation: Organisation,
    /// Priority of the organisation's requests, if it overrides the priority of the route.
    pub priority: Option<u32>,
}

/// One version of the operators' configuration.
#[derive(Debug, Default)]
pub struct RoutingTable {
    version: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, Service>,
    keys: HashMap<Arc<str>, Access>,
    /// Different priorities of the routes to each service, in ascending order.
    priorities: BTreeMap<ServiceName, Vec<u32>>,
    pub(crate) requires_key: bool,
    /// Largest allowed head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest allowed body of a request, in bytes.
    pub max_body_bytes: usize,
}

impl RoutingTable {
    /// Version of the configuration. It increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route of `host` with the longest path prefix that matches `url_path`.
    pub fn route(&self, host: &str, url_path: &str) -> Option<&Arc<Route>> {
        // The routes of a host are sorted by the length of their prefix, longest first.
        self.hosts.get(host)?.iter().find(|route| url_path.starts_with(&*route.path_prefix))
    }

    /// Organisation and priority of requests with the API key `key`, or `None` if it is unknown.
    pub fn access(&self, key: &str) -> Option<&Access> {
        self.keys.get(key)
    }

    /// Whether requests need an API key, except on public routes.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Configuration of `service`.
    pub fn service(&self, service: &str) -> Option<&Service> {
        self.services.get(service)
    }

    /// Position of `priority` among the different priorities of the routes to `service`, and the
    /// number of these. Position 0 is the most urgent one.
    pub fn priority_rank(&self, service: &str, priority: u32) -> (u32, u32) {
        let known = self.priorities.get(service).map_or(&[][..], Vec::as_slice);
        let ranks = known.len().max(1);
        let rank = known.partition_point(|other| *other < priority).min(ranks - 1);
        (rank as u32, ranks as u32)
    }

    /// All configured services.
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
    /// Creates a builder for a table with this version.
    pub fn new(version: u64) -> RoutingTableBuilder {
        RoutingTableBuilder { table: RoutingTable { version, ..RoutingTable::default() } }
    }

    /// Adds a route.
    pub fn route(mut self, route: Route) -> RoutingTableBuilder {
        let routes = self.table.hosts.entry(route.host.clone()).or_default();
        let position =
            routes.partition_point(|known| known.path_prefix.len() > route.path_prefix.len());
        routes.insert(position, Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn service(mut self, name: ServiceName, service: Service) -> RoutingTableBuilder {
        self.table.services.insert(name, service);
        self
    }

    /// Adds an organisation and its API keys. Once one was added, requests need a key.
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

    /// Requires an API key for requests, even if no organisation has one.
    pub fn require_keys(mut self) -> RoutingTableBuilder {
        self.table.requires_key = true;
        self
    }

    /// Sets the largest allowed head and body of a request, in bytes.
    pub fn size_limits(
        mut self,
        max_head_bytes: usize,
        max_body_bytes: usize,
    ) -> RoutingTableBuilder {
        self.table.max_head_bytes = max_head_bytes;
        self.table.max_body_bytes = max_body_bytes;
        self
    }

    /// Returns the finished table.
    pub fn build(mut self) -> RoutingTable {
        self.table.priorities = self.priorities();
        self.table
    }

    /// The different priorities of the routes to each service, in ascending order.
    fn priorities(&self) -> BTreeMap<ServiceName, Vec<u32>> {
        let mut priorities: BTreeMap<ServiceName, Vec<u32>> = BTreeMap::new();
        for route in self.table.hosts.values().flatten() {
            for weighted in route.weighted_services.iter().filter(|weighted| weighted.weight > 0) {
                priorities.entry(weighted.service.clone()).or_default().push(route.priority);
            }
        }
        for known in priorities.values_mut() {
            known.sort_unstable();
            known.dedup();
        }
        priorities
    }
}
