use std::time::Duration;

use clock::Timestamp;
use retries::{RetryCounter, RetryRule};

/// One node's part of a retry budget that several nodes share. It limits retries to a share of the
/// requests.
#[derive(Debug)]
pub struct SharedRetryBudget {
    counter: RetryCounter,
    ratio: f64,
    extra: f64,
}

/// Share of the budget that the nodes use. The rest keeps them within the budget although they
/// count the same request or retry at different times.
const USABLE_SHARE: f64 = 0.8;

/// The part of one node among several.
struct NodePart {
    ratio: f64,
    /// Retries beyond the share of the requests.
    extra: f64,
}

impl RetryRule for NodePart {
    fn allowed(&self, requests: u64) -> f64 {
        (self.ratio * requests as f64 + self.extra) * USABLE_SHARE
    }
}

impl SharedRetryBudget {
    /// Creates a budget. Within any `window`, all nodes together may retry the share `ratio` of
    /// their requests, and `extra` requests more.
    pub fn new(window: Duration, ratio: f64, extra: f64) -> SharedRetryBudget {
        // Each node makes few requests in a window, so that they can be counted one by one.
        SharedRetryBudget { counter: RetryCounter::new(window, Duration::ZERO), ratio, extra }
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.counter.count_request(now);
    }

    /// Takes one retry from this node's part of the budget and returns whether there was one left.
    /// `nodes` is the number of nodes that share the budget.
    pub fn take(&mut self, now: Timestamp, nodes: usize) -> bool {
        let part = self.node_part(nodes);
        self.counter.take(now, &part)
    }

    /// Whether this node's part of the budget has a retry left. `nodes` is the number of nodes that
    /// share the budget.
    pub fn has_left(&mut self, now: Timestamp, nodes: usize) -> bool {
        let part = self.node_part(nodes);
        self.counter.has_left(now, &part)
    }

    fn node_part(&self, nodes: usize) -> NodePart {
        NodePart { ratio: self.ratio, extra: self.extra / nodes.max(1) as f64 }
    }
}
