use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::Timestamp;
use types::{NodeName, UpstreamName};

/// Load of requests in flight on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of requests that run on it.
    pub requests: u32,
    /// Number of requests that enter the pipeline through it.
    pub entered: u32,
    /// KV cache that the requests may grow to, in tokens times layers. `gateway` also counts the
    /// requests that cross from one failure domain to another, under a name that is not an
    /// upstream's; there this is tokens times crossings.
    pub token_layers: f64,
}

impl Load {
    fn add(&mut self, other: Load) {
        self.requests = self.requests.saturating_add(other.requests);
        self.entered = self.entered.saturating_add(other.entered);
        self.token_layers += other.token_layers;
    }

    fn subtract(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.entered = self.entered.saturating_sub(other.entered);
        self.token_layers = (self.token_layers - other.token_layers).max(0.0);
    }
}

/// Load of one request on one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Load of the request on it.
    pub load: Load,
}

/// Load of the requests in flight on each upstream: those of this node, and those of the other
/// nodes according to their last messages.
#[derive(Default)]
pub struct LoadTable {
    own: HashMap<UpstreamName, Load>,
    peers: BTreeMap<NodeName, PeerLoad>,
    /// Sums over `peers`, so that the time to choose an upstream does not grow with the number of
    /// nodes.
    peer_totals: HashMap<UpstreamName, Load>,
}

/// Load of another node's requests, according to its last message.
struct PeerLoad {
    /// Time at which the message arrived.
    received: Timestamp,
    /// Load on each upstream.
    load: Vec<(UpstreamName, Load)>,
}

impl LoadTable {
    /// Adds the load of a request of this node.
    pub fn add(&mut self, loads: &[UpstreamLoad]) {
        for item in loads {
            self.own.entry(item.upstream.clone()).or_default().add(item.load);
        }
    }

    /// Removes the load of a request of this node.
    pub fn remove(&mut self, loads: &[UpstreamLoad]) {
        for item in loads {
            subtract(&mut self.own, &item.upstream, item.load);
        }
    }

    /// Replaces the load of another node's requests.
    pub fn set_peer(&mut self, node: NodeName, load: Vec<(UpstreamName, Load)>, now: Timestamp) {
        for (upstream, load) in &load {
            self.peer_totals.entry(upstream.clone()).or_default().add(*load);
        }
        if let Some(previous) = self.peers.insert(node, PeerLoad { received: now, load }) {
            subtract_all(&mut self.peer_totals, &previous.load);
        }
    }

    /// Removes the load of nodes whose last message is older than `max_age`.
    pub fn expire(&mut self, now: Timestamp, max_age: Duration) {
        let LoadTable { peers, peer_totals, .. } = self;
        peers.retain(|_, peer| {
            let is_recent = now.since(peer.received) < max_age;
            if !is_recent {
                subtract_all(peer_totals, &peer.load);
            }
            is_recent
        });
    }

    /// Load of the requests of all nodes on an upstream.
    pub fn total(&self, upstream: &str) -> Load {
        let mut total = self.own.get(upstream).copied().unwrap_or_default();
        total.add(self.peer_totals.get(upstream).copied().unwrap_or_default());
        total
    }

    /// Ages of the last messages of the other nodes.
    pub fn peer_ages(&self, now: Timestamp) -> impl Iterator<Item = Duration> {
        self.peers.values().map(move |peer| now.since(peer.received))
    }

    /// Load of the requests of this node on each upstream.
    pub fn own(&self) -> impl Iterator<Item = (&UpstreamName, &Load)> {
        self.own.iter()
    }
}

/// Subtracts the loads of `ended` from those of their upstreams.
fn subtract_all(loads: &mut HashMap<UpstreamName, Load>, ended: &[(UpstreamName, Load)]) {
    for (upstream, load) in ended {
        subtract(loads, upstream, *load);
    }
}

/// Subtracts `ended` from the load of an upstream. An upstream without requests has no entry.
fn subtract(loads: &mut HashMap<UpstreamName, Load>, upstream: &UpstreamName, ended: Load) {
    let Some(load) = loads.get_mut(upstream) else { return };
    load.subtract(ended);
    if load.requests == 0 {
        loads.remove(upstream);
    }
}
