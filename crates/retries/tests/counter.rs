//! The counter behind the retry budgets.

use std::time::Duration;

use clock::Timestamp;
use proptest::prelude::*;
use retries::{RetryCounter, RetryRule};

const WINDOW: Duration = Duration::from_secs(10);

/// A retry for each five requests.
struct Fifth;

impl RetryRule for Fifth {
    fn allowed(&self, requests: u64) -> f64 {
        requests as f64 / 5.0
    }
}

proptest! {
    /// Guards against sums that differ from what is in the window, with and without slices: a retry too
    /// many, or an exact window that allows fewer than it should.
    #[test]
    fn retries_stay_within_the_rule(
        events in prop::collection::vec((0..400_u64, 0..4_u8), 1..1500),
        slice_ms in prop::sample::select(vec![0_u64, 1, 1000]),
    ) {
        let mut counter = RetryCounter::new(WINDOW, Duration::from_millis(slice_ms));
        let (mut requests, mut retries, mut millis) = (Vec::new(), Vec::new(), 0);
        for (gap, kind) in events {
            millis += gap;
            let now = Timestamp::from_origin(Duration::from_millis(millis));
            if kind > 0 {
                counter.count_request(now);
                requests.push(millis);
                continue;
            }
            let in_window = |times: &[u64]| times.iter().filter(|time| millis - **time < 10_000).count();
            let allowed = in_window(&requests) as f64 / 5.0;
            let is_allowed = in_window(&retries) as f64 + 1.0 <= allowed;
            let was_taken = counter.take(now, &Fifth);
            prop_assert!(is_allowed || !was_taken, "a retry too many");
            prop_assert!(slice_ms > 0 || was_taken == is_allowed);
            if was_taken {
                retries.push(millis);
            }
        }
    }
}
