use std::{collections::VecDeque, time::Duration};

use clock::Timestamp;

/// One node's part of a retry budget that several nodes share. It limits retries to a share of the
/// requests.
#[derive(Debug)]
pub struct SharedRetryBudget {
    window: Duration,
    ratio: f64,
    extra: f64,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// Share of the budget that the nodes use. The rest keeps them within the budget although they
/// count the same request or retry at different times.
const USABLE_SHARE: f64 = 0.8;

impl SharedRetryBudget {
    /// Creates a budget. Within any `window`, all nodes together may retry the share `ratio` of
    /// their requests, and `extra` requests more.
    pub fn new(window: Duration, ratio: f64, extra: f64) -> SharedRetryBudget {
        SharedRetryBudget {
            window,
            ratio,
            extra,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from this node's part of the budget and returns whether there was one left.
    /// `nodes` is the number of nodes that share the budget.
    pub fn take(&mut self, now: Timestamp, nodes: usize) -> bool {
        let has_left = self.has_left(now, nodes);
        if has_left {
            self.retries.push_back(now);
        }
        has_left
    }

    /// Whether this node's part of the budget has a retry left. `nodes` is the number of nodes that
    /// share the budget.
    pub fn has_left(&mut self, now: Timestamp, nodes: usize) -> bool {
        self.expire(now);
        let requests = self.requests.len() as f64;
        let allowed = self.ratio * requests + self.extra / nodes.max(1) as f64;
        self.retries.len() as f64 + 1.0 <= allowed * USABLE_SHARE
    }

    /// Discards requests and retries that are older than the window.
    fn expire(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) > self.window) {
                times.pop_front();
            }
        }
    }
}
