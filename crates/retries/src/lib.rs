//! Counts requests and their retries in a sliding window, and limits the retries.
//!
//! Purpose: the one counter behind the retry budgets of `routing` and `pipelines`, which differ only
//! in their [`RetryRule`] and in the length of a slice.
//!
//! Invariants: a retry counts for at least the window, and a request for at most the window. This
//! crate must not know what is retried.

use std::{collections::VecDeque, time::Duration};

use clock::Timestamp;

/// Requests and retries of one node in a sliding window.
#[derive(Debug)]
pub struct RetryCounter {
    window: Duration,
    slice: Duration,
    slices: VecDeque<Slice>,
    /// Sum over the slices.
    requests: u64,
    /// Sum over the slices.
    retries: u64,
    /// Time of the last retry.
    last_retry: Option<Timestamp>,
}

/// How many retries are allowed.
pub trait RetryRule {
    /// Largest number of retries in a window with `requests`.
    fn allowed(&self, requests: u64) -> f64;

    /// Time since the last retry after which one is allowed regardless of the number of requests;
    /// `None` if there is no such time.
    fn free_interval(&self) -> Option<Duration> {
        None
    }
}

/// Requests and retries in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryCounts {
    /// Number of requests.
    pub requests: u64,
    /// Number of retries.
    pub retries: u64,
}

/// Counters of one part of the window.
#[derive(Debug)]
struct Slice {
    start: Timestamp,
    requests: u64,
    retries: u64,
}

impl RetryCounter {
    /// Creates a counter for a window in which what happens within `slice` is counted together. With
    /// a slice of zero, the window is exact, and memory grows with the number of requests in it.
    pub fn new(window: Duration, slice: Duration) -> RetryCounter {
        RetryCounter {
            window,
            slice,
            slices: VecDeque::new(),
            requests: 0,
            retries: 0,
            last_retry: None,
        }
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.current_slice(now).requests += 1;
        self.requests += 1;
    }

    /// Counts a retry if the rule allows one more. Returns whether it does.
    pub fn take(&mut self, now: Timestamp, rule: &dyn RetryRule) -> bool {
        if !self.has_left(now, rule) {
            return false;
        }
        self.last_retry = Some(now);
        self.current_slice(now).retries += 1;
        self.retries += 1;
        true
    }

    /// Whether the rule allows one more retry.
    pub fn has_left(&mut self, now: Timestamp, rule: &dyn RetryRule) -> bool {
        self.expire(now);
        let is_due = rule
            .free_interval()
            .is_some_and(|interval| self.last_retry.is_none_or(|last| now.since(last) >= interval));
        is_due || self.retries as f64 + 1.0 <= rule.allowed(self.current_requests(now))
    }

    /// Requests and retries that count now.
    pub fn counts(&mut self, now: Timestamp) -> RetryCounts {
        self.expire(now);
        RetryCounts { requests: self.current_requests(now), retries: self.retries }
    }

    /// Requests in the window. A slice that began before it counts with its retries only.
    fn current_requests(&self, now: Timestamp) -> u64 {
        let old = self.slices.iter().take_while(|slice| now.since(slice.start) >= self.window);
        self.requests - old.map(|slice| slice.requests).sum::<u64>()
    }

    /// Time until the counts of the oldest slice have left the window.
    pub fn time_until_expiry(&self, now: Timestamp) -> Duration {
        let oldest = self.slices.front().map_or(now, |slice| slice.start);
        (oldest + self.window + self.slice).since(now)
    }

    /// Time since the last retry, if there was one.
    pub fn since_retry(&self, now: Timestamp) -> Option<Duration> {
        self.last_retry.map(|last| now.since(last))
    }

    /// The slice that `now` belongs to.
    fn current_slice(&mut self, now: Timestamp) -> &mut Slice {
        self.expire(now);
        let is_current =
            self.slices.back().is_some_and(|slice| now.since(slice.start) < self.slice);
        if !is_current {
            self.slices.push_back(Slice { start: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Discards the slices whose end has left the window: their last retry may be that late. A retry
    /// whose age is the window still counts, which only matters without slices.
    fn expire(&mut self, now: Timestamp) {
        let (window, kept) = (self.window, self.window + self.slice);
        let is_past = |slice: &&Slice| {
            let age = now.since(slice.start);
            age >= kept && age > window
        };
        while let Some(slice) = self.slices.front().filter(is_past) {
            self.requests -= slice.requests;
            self.retries -= slice.retries;
            self.slices.pop_front();
        }
    }
}
