use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::Timestamp;
use types::{NodeName, UpstreamName};

use crate::growth::{Growth, GrowthTable};

/// Load of requests in flight on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of requests that run on it.
    pub requests: u32,
    /// Number of requests that enter the pipeline through it.
    pub entered: u32,
    /// KV cache that is reserved for the requests, in tokens times layers. `gateway` also counts the
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
    peers: BTreeMap<NodeName, BTreeMap<u8, PeerLoad>>,
    /// Sums over `peers`, so that the time to choose an upstream does not grow with the number of
    /// nodes.
    peer_totals: HashMap<UpstreamName, Load>,
    /// The growth of the load of the other nodes, if it is estimated.
    growth: Option<GrowthTable>,
}

/// One part of the load of another node's requests, according to its last message.
struct PeerLoad {
    /// Time at which the message arrived.
    received: Timestamp,
    /// First parts that have arrived from the node since.
    missed: u32,
    /// Load on each upstream.
    load: Vec<(UpstreamName, Load)>,
    /// Change since the message before, if growth is estimated and there was such a message.
    growth: Option<Growth>,
}

/// Number of a node's part that is sent in each of its rounds.
const FIRST_PART: u8 = 0;
/// First parts after which a further part that did not arrive with them is dropped. A further part
/// arrives after the first one of its round, so at 1 it would be dropped in each round.
const MAX_MISSED: u32 = 2;

impl LoadTable {
    /// Creates a table that estimates the growth of the load of the other nodes.
    pub fn with_growth() -> LoadTable {
        LoadTable { growth: Some(GrowthTable::default()), ..LoadTable::default() }
    }

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

    /// Replaces the load of another node's requests that its beacons hold. Other parts of the node
    /// are dropped if it reports no load, or if it no longer sends them.
    pub fn set_peer(&mut self, node: NodeName, load: Vec<(UpstreamName, Load)>, now: Timestamp) {
        let is_idle = load.is_empty();
        let LoadTable { peers, peer_totals, growth, .. } = self;
        if let Some(parts) = peers.get_mut(&node) {
            parts.retain(|number, part| {
                part.missed += 1;
                let is_sent = *number == FIRST_PART || (!is_idle && part.missed < MAX_MISSED);
                if !is_sent {
                    part.remove_from(peer_totals, growth);
                }
                is_sent
            });
        }
        self.set_part(node, FIRST_PART, load, now);
    }

    /// Replaces one part of the load of another node's requests. The part that its beacons hold has
    /// the number 0.
    pub fn set_part(
        &mut self,
        node: NodeName,
        number: u8,
        load: Vec<(UpstreamName, Load)>,
        now: Timestamp,
    ) {
        let LoadTable { peers, peer_totals, growth: sums, .. } = self;
        for (upstream, load) in &load {
            peer_totals.entry(upstream.clone()).or_default().add(*load);
        }
        let parts = peers.entry(node).or_default();
        let previous = parts.remove(&number);
        if let Some(previous) = &previous {
            previous.remove_from(peer_totals, sums);
        }
        let mut growth = None;
        if let (Some(previous), Some(sums)) = (previous, sums) {
            let change = Growth::new(previous.load, previous.received, now);
            sums.add(&change, &load);
            growth = Some(change);
        }
        parts.insert(number, PeerLoad { received: now, missed: 0, load, growth });
    }

    /// Removes the load of nodes whose last message is older than `max_age`.
    pub fn expire(&mut self, now: Timestamp, max_age: Duration) {
        let LoadTable { peers, peer_totals, growth, .. } = self;
        for parts in peers.values_mut() {
            parts.retain(|_, part| {
                let is_recent = now.since(part.received) < max_age;
                if !is_recent {
                    part.remove_from(peer_totals, growth);
                }
                is_recent
            });
        }
        peers.retain(|_, parts| !parts.is_empty());
    }

    /// Whether a message of this node has arrived and still counts.
    pub fn knows_peer(&self, node: &str) -> bool {
        self.peers.contains_key(node)
    }

    /// Age of the oldest message that counts.
    pub fn oldest_age(&self, now: Timestamp) -> Option<Duration> {
        self.peer_ages(now).max()
    }

    /// Age of the oldest message that counts of each of the other nodes.
    pub fn peer_ages(&self, now: Timestamp) -> impl Iterator<Item = Duration> {
        self.peers
            .values()
            .filter_map(move |parts| parts.values().map(|part| now.since(part.received)).max())
    }

    /// Load of the requests of all nodes on an upstream.
    pub fn total(&self, upstream: &str) -> Load {
        let mut total = self.own.get(upstream).copied().unwrap_or_default();
        total.add(self.peer_totals.get(upstream).copied().unwrap_or_default());
        total
    }

    /// Like [`total`](LoadTable::total), with the load that the other nodes are estimated to have
    /// added since their last messages. Equal to it if the table does not estimate growth.
    pub fn total_estimate(&self, upstream: &str, now: Timestamp) -> Load {
        let mut total = self.total(upstream);
        if let Some(growth) = &self.growth {
            let known = self.peer_totals.get(upstream).copied().unwrap_or_default();
            total.add(growth.estimate(upstream, known, now));
        }
        total
    }

    /// Load of the requests of this node on each upstream.
    pub fn own(&self) -> impl Iterator<Item = (&UpstreamName, &Load)> {
        self.own.iter()
    }
}

impl PeerLoad {
    fn remove_from(
        &self,
        totals: &mut HashMap<UpstreamName, Load>,
        growth: &mut Option<GrowthTable>,
    ) {
        subtract_all(totals, &self.load);
        if let (Some(sums), Some(change)) = (growth, &self.growth) {
            sums.remove(change, &self.load);
        }
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
