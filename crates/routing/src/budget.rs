use std::{collections::VecDeque, time::Duration};

use clock::Timestamp;

/// Period over which requests and retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Part of the window that one pair of counters covers.
const SLICE: Duration = Duration::from_secs(1);
/// Time since the last retry after which one is allowed regardless of the number of requests.
const FREE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest pause between two attempts to take a retry from the budget.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Limits retries to a share of the requests, so that a failing upstream causes little extra load.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
    /// Time of the last retry.
    last_retry: Option<Timestamp>,
}

/// Counters of one part of the window.
#[derive(Debug)]
struct Slice {
    start: Timestamp,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.current_slice(now).requests += 1;
    }

    /// Takes one retry from the budget and returns whether it is allowed: if, including it, retries
    /// are at most `percent` of the requests, or if there was no retry for a second.
    pub fn take(&mut self, now: Timestamp, percent: u64) -> bool {
        self.current_slice(now);
        let in_window = self.slices.iter().filter(|slice| now.since(slice.start) < WINDOW);
        let requests: u64 = in_window.map(|slice| slice.requests).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        let is_retry_due =
            self.last_retry.is_none_or(|last| now.since(last) >= FREE_RETRY_INTERVAL);
        if retries >= requests * percent / 100 && !is_retry_due {
            return false;
        }
        self.last_retry = Some(now);
        self.current_slice(now).retries += 1;
        true
    }

    /// Time to wait before [`take`](Self::take) may allow a retry again.
    pub fn time_until_retry(&self, now: Timestamp) -> Duration {
        let oldest = self.slices.front().map_or(now, |slice| slice.start);
        let expiry = (oldest + WINDOW + SLICE).since(now);
        let gap =
            self.last_retry.map_or(Duration::ZERO, |last| (last + FREE_RETRY_INTERVAL).since(now));
        expiry.min(gap).clamp(MIN_PAUSE, SLICE)
    }

    /// The slice that `now` belongs to. Removes slices that have left the window.
    fn current_slice(&mut self, now: Timestamp) -> &mut Slice {
        // A slice is kept until its end has left the window, since its last retry may be that late.
        self.slices.retain(|slice| now.since(slice.start) < WINDOW + SLICE);
        let is_current = self.slices.back().is_some_and(|slice| now.since(slice.start) < SLICE);
        if !is_current {
            self.slices.push_back(Slice { start: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
