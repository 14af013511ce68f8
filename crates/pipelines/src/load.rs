use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::Timestamp;
use types::{NodeName, UpstreamName};

/// What requests in flight take up on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that pass through it.
    pub requests: u32,
    /// Requests that enter through it.
    pub entered: u32,
    /// Tokens times layers that they may come to hold.
    pub token_layers: f64,
}

impl Load {
    fn add(&mut self, other: Load) {
        self.requests += other.requests;
        self.entered += other.entered;
        self.token_layers += other.token_layers;
    }

    fn subtract(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.entered = self.entered.saturating_sub(other.entered);
        self.token_layers = (self.token_layers - other.token_layers).max(0.0);
    }
}

/// What one request takes up on one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamName,
    /// What the request takes up there.
    pub load: Load,
}

/// The requests in flight on each upstream: those of this node, and those of the other nodes by
/// their last message.
#[derive(Default)]
pub struct LoadTable {
    own: HashMap<UpstreamName, Load>,
    peers: BTreeMap<NodeName, PeerCounts>,
    /// Sums over `peers`, so that a request's choice does not grow with the number of nodes.
    others: HashMap<UpstreamName, Load>,
}

/// The counts of another node by its last message.
struct PeerCounts {
    heard: Timestamp,
    load: Vec<(UpstreamName, Load)>,
}

impl LoadTable {
    /// Counts a request of this node.
    pub fn add(&mut self, loads: &[UpstreamLoad]) {
        for item in loads {
            self.own.entry(item.upstream.clone()).or_default().add(item.load);
        }
    }

    /// Removes a request of this node.
    pub fn remove(&mut self, loads: &[UpstreamLoad]) {
        for item in loads {
            subtract(&mut self.own, &item.upstream, item.load);
        }
    }

    /// Replaces the counts of another node.
    pub fn set_peer(&mut self, node: NodeName, load: Vec<(UpstreamName, Load)>, now: Timestamp) {
        for (upstream, load) in &load {
            self.others.entry(upstream.clone()).or_default().add(*load);
        }
        if let Some(before) = self.peers.insert(node, PeerCounts { heard: now, load }) {
            subtract_all(&mut self.others, &before.load);
        }
    }

    /// Forgets nodes that have not been heard of for `life`.
    pub fn expire(&mut self, now: Timestamp, life: Duration) {
        let LoadTable { peers, others, .. } = self;
        peers.retain(|_, counts| {
            let is_recent = now.since(counts.heard) < life;
            if !is_recent {
                subtract_all(others, &counts.load);
            }
            is_recent
        });
    }

    /// What all nodes together have on an upstream.
    pub fn total(&self, upstream: &str) -> Load {
        let mut total = self.own.get(upstream).copied().unwrap_or_default();
        total.add(self.others.get(upstream).copied().unwrap_or_default());
        total
    }

    /// What this node has on each upstream.
    pub fn own(&self) -> impl Iterator<Item = (&UpstreamName, &Load)> {
        self.own.iter()
    }
}

fn subtract_all(counts: &mut HashMap<UpstreamName, Load>, gone: &[(UpstreamName, Load)]) {
    for (upstream, load) in gone {
        subtract(counts, upstream, *load);
    }
}

/// Takes `gone` off an upstream's count; one without a request has no count.
fn subtract(counts: &mut HashMap<UpstreamName, Load>, upstream: &UpstreamName, gone: Load) {
    let Some(load) = counts.get_mut(upstream) else { return };
    load.subtract(gone);
    if load.requests == 0 {
        counts.remove(upstream);
    }
}
