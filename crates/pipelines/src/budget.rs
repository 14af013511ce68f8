use std::time::Duration;

use clock::Timestamp;
use retries::{RetryCounter, RetryCounts, RetryRule};

/// One node's part of a retry budget that several nodes share. It limits retries to a share of the
/// requests.
#[derive(Debug)]
pub struct SharedRetryBudget {
    counter: RetryCounter,
    window: Duration,
    ratio: f64,
    extra: f64,
    /// Until when nothing of `extra` may be used.
    extra_from: Timestamp,
    /// When it was last reported that no retry is left.
    reported_at: Option<Timestamp>,
}

/// What one node has used of its part of a budget within the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUse {
    /// Its requests.
    pub requests: u64,
    /// Its retries.
    pub retries: u64,
    /// Largest number of retries for these requests.
    pub allowed: f64,
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
        let counter = RetryCounter::new(window, Duration::ZERO);
        let extra_from = Timestamp::default();
        SharedRetryBudget { counter, window, ratio, extra, extra_from, reported_at: None }
    }

    /// Allows only the share of the requests until `end`. A process that replaces another one does
    /// not know what that one has used in the same window.
    pub fn withhold_extra_until(mut self, end: Timestamp) -> SharedRetryBudget {
        self.extra_from = end;
        self
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.counter.count_request(now);
    }

    /// Takes one retry from this node's part of the budget and returns whether there was one left.
    /// `nodes` is the number of nodes that share the budget.
    pub fn take(&mut self, now: Timestamp, nodes: usize) -> bool {
        let part = self.node_part(now, nodes);
        self.counter.take(now, &part)
    }

    /// Whether this node's part of the budget has a retry left. `nodes` is the number of nodes that
    /// share the budget.
    pub fn has_left(&mut self, now: Timestamp, nodes: usize) -> bool {
        let part = self.node_part(now, nodes);
        self.counter.has_left(now, &part)
    }

    /// What this node has used, to report that no retry is left. `None` if that was reported within
    /// the window.
    pub fn report_shortage(&mut self, now: Timestamp, nodes: usize) -> Option<BudgetUse> {
        if self.reported_at.is_some_and(|at| now.since(at) < self.window) {
            return None;
        }
        self.reported_at = Some(now);
        let RetryCounts { requests, retries } = self.counter.counts(now);
        let allowed = self.node_part(now, nodes).allowed(requests);
        Some(BudgetUse { requests, retries, allowed })
    }

    fn node_part(&self, now: Timestamp, nodes: usize) -> NodePart {
        let extra = if now < self.extra_from { 0.0 } else { self.extra };
        NodePart { ratio: self.ratio, extra: extra / nodes.max(1) as f64 }
    }
}
