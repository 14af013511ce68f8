use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use types::{Organisation, ServiceName};

use crate::EngineProfile;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// A stream of events. One that can be resumed goes on after the last event that was received.
    Stream {
        /// Whether a new run can go on after a given event.
        resumable: bool,
    },
}

impl Repeat {
    /// Whether a request that may have run can be sent again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream { .. })
    }
}

/// One service among which a route's requests are split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
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
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time; in a stream, its first event.
    pub goal: Duration,
    /// Longest pause between events of a stream that is on time.
    pub pause: Option<Duration>,
    /// Rank of the requests; 0 goes first.
    pub priority: u32,
    /// Upstreams that one request may run on.
    pub attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Services that the requests are split over.
    pub shares: Vec<Share>,
}

impl Route {
    /// The service for a request, where `roll` is from 0 up to 1.
    pub fn service(&self, roll: f64) -> Option<&ServiceName> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = roll * f64::from(total);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.iter().rev().find(|share| share.weight > 0).map(|share| &share.service)
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
pub struct Table {
    version: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, Service>,
    keys: HashMap<Arc<str>, Access>,
    pub(crate) keyed: bool,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
}

impl Table {
    /// Version of the configuration. It grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // The routes of a host are sorted by the length of their prefix, longest first.
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// What `key` gives access as.
    pub fn access(&self, key: &str) -> Option<&Access> {
        self.keys.get(key)
    }

    /// Whether requests need a key at all.
    pub fn needs_key(&self) -> bool {
        self.keyed
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

/// Builds a [`Table`].
#[derive(Debug)]
pub struct TableBuilder {
    table: Table,
}

impl TableBuilder {
    /// Starts a table of `version`.
    pub fn new(version: u64) -> TableBuilder {
        TableBuilder { table: Table { version, ..Table::default() } }
    }

    /// Adds a route.
    pub fn route(mut self, route: Route) -> TableBuilder {
        let routes = self.table.hosts.entry(route.host.clone()).or_default();
        let place = routes.partition_point(|known| known.prefix.len() > route.prefix.len());
        routes.insert(place, Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn service(mut self, name: ServiceName, service: Service) -> TableBuilder {
        self.table.services.insert(name, service);
        self
    }

    /// Adds an organisation and its keys. From the first one on, requests need a key.
    pub fn organisation(
        mut self,
        organisation: &Organisation,
        priority: Option<u32>,
        keys: impl IntoIterator<Item = Arc<str>>,
    ) -> TableBuilder {
        self.table.keyed = true;
        for key in keys {
            let access = Access { organisation: organisation.clone(), priority };
            self.table.keys.insert(key, access);
        }
        self
    }

    /// Makes requests need a key, even if no organisation holds one.
    pub fn require_keys(mut self) -> TableBuilder {
        self.table.keyed = true;
        self
    }

    /// Sets the largest head and body of a request, in bytes.
    pub fn sizes(mut self, head_bytes: usize, body_bytes: usize) -> TableBuilder {
        self.table.head_bytes = head_bytes;
        self.table.body_bytes = body_bytes;
        self
    }

    /// The finished table.
    pub fn build(self) -> Table {
        self.table
    }
}
