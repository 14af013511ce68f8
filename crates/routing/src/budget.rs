use std::time::Duration;

use clock::Timestamp;
use retries::{RetryCounter, RetryRule};

/// Period over which requests and retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Part of the window that one pair of counters covers.
const SLICE: Duration = Duration::from_secs(1);
/// Time since the last retry after which one is allowed regardless of the number of requests.
const FREE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest pause between two attempts to take a retry from the budget.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Limits retries to a share of the requests, so that a failing upstream causes little extra load.
#[derive(Debug)]
pub struct RetryBudget {
    counter: RetryCounter,
}

/// At most this percentage of the requests, rounded down.
struct Percentage(u64);

impl RetryRule for Percentage {
    fn allowed(&self, requests: u64) -> f64 {
        (requests * self.0 / 100) as f64
    }

    fn free_interval(&self) -> Option<Duration> {
        Some(FREE_RETRY_INTERVAL)
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { counter: RetryCounter::new(WINDOW, SLICE) }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.counter.count_request(now);
    }

    /// Takes one retry from the budget and returns whether it is allowed: if, including it, retries
    /// are at most `percent` of the requests, or if there was no retry for a second.
    pub fn take(&mut self, now: Timestamp, percent: u64) -> bool {
        self.counter.take(now, &Percentage(percent))
    }

    /// Time to wait before [`take`](Self::take) may allow a retry again.
    pub fn time_until_retry(&self, now: Timestamp) -> Duration {
        let since = self.counter.since_retry(now).unwrap_or(FREE_RETRY_INTERVAL);
        let gap = FREE_RETRY_INTERVAL.saturating_sub(since);
        self.counter.time_until_expiry(now).min(gap).clamp(MIN_PAUSE, SLICE)
    }
}
