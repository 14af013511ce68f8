use std::{collections::VecDeque, time::Duration};

use clock::Timestamp;

/// Limits retries to a share of the requests, for one of several nodes that draw on the same
/// budget.
#[derive(Debug)]
pub struct SharedRetryBudget {
    window: Duration,
    ratio: f64,
    extra: f64,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// Part of the budget that nodes use, so that sends that nodes count at different times still stay
/// within it.
const MARGIN: f64 = 0.8;

impl SharedRetryBudget {
    /// Creates a budget: in any `window`, all nodes together may repeat `ratio` of the requests and
    /// `extra` ones more.
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

    /// Takes one retry, if this node's share of the budget has one left. `nodes` is the
    /// number of nodes that share it.
    pub fn take(&mut self, now: Timestamp, nodes: usize) -> bool {
        self.expire(now);
        let requests = self.requests.len() as f64;
        let allowed = self.ratio * requests + self.extra / nodes.max(1) as f64;
        if self.retries.len() as f64 + 1.0 > allowed * MARGIN {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) > self.window) {
                times.pop_front();
            }
        }
    }
}
