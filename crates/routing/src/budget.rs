use std::{collections::VecDeque, time::Duration};

use clock::Timestamp;

/// Time over which requests and retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Time that one counter of the window covers.
const SLICE: Duration = Duration::from_secs(1);
/// Time after which a retry is allowed however few requests there were.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Shortest pause between two tries to take a retry.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Limits retries to a share of the requests, so that a failing upstream adds little load.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
    last: Option<Timestamp>,
}

#[derive(Debug)]
struct Slice {
    start: Timestamp,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.current(now).requests += 1;
    }

    /// Takes one retry if at most `percent` of the requests are retries with it, or if there was
    /// none for a second.
    pub fn take(&mut self, now: Timestamp, percent: u64) -> bool {
        self.current(now);
        let counted = self.slices.iter().filter(|slice| now.since(slice.start) < WINDOW);
        let requests: u64 = counted.map(|slice| slice.requests).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        let idle = self.last.is_none_or(|last| now.since(last) >= MAX_GAP);
        if retries >= requests * percent / 100 && !idle {
            return false;
        }
        self.last = Some(now);
        self.current(now).retries += 1;
        true
    }

    /// Time until a retry may become free.
    pub fn time_until_retry(&self, now: Timestamp) -> Duration {
        let oldest = self.slices.front().map_or(now, |slice| slice.start);
        let expiry = (oldest + WINDOW + SLICE).since(now);
        let gap = self.last.map_or(Duration::ZERO, |last| (last + MAX_GAP).since(now));
        expiry.min(gap).clamp(MIN_PAUSE, SLICE)
    }

    fn current(&mut self, now: Timestamp) -> &mut Slice {
        // A slice with retries stays until its last moment has left the window.
        self.slices.retain(|slice| now.since(slice.start) < WINDOW + SLICE);
        let fresh = self.slices.back().is_some_and(|slice| now.since(slice.start) < SLICE);
        if !fresh {
            self.slices.push_back(Slice { start: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
