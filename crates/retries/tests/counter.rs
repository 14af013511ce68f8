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

/// Guards against a retry that is forgotten when its age is the window, and not more.
#[test]
fn a_retry_as_old_as_the_window_counts() {
    let at = Timestamp::from_origin;
    for slice in [Duration::ZERO, Duration::from_secs(1)] {
        let mut counter = RetryCounter::new(WINDOW, slice);
        (0..5).for_each(|_| counter.count_request(at(Duration::ZERO)));
        assert!(counter.take(at(Duration::ZERO), &Fifth));
        (0..5).for_each(|_| counter.count_request(at(WINDOW)));
        assert!(!counter.take(at(WINDOW), &Fifth));
        assert!(counter.take(at(WINDOW + slice + Duration::from_millis(1)), &Fifth));
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
            // A retry whose age is the window still counts, but a request does not.
            let younger = |times: &[u64], age| times.iter().filter(|time| millis - **time < age).count();
            let allowed = younger(&requests, 10_000) as f64 / 5.0;
            let is_allowed = younger(&retries, 10_001) as f64 + 1.0 <= allowed;
            let was_taken = counter.take(now, &Fifth);
            prop_assert!(is_allowed || !was_taken, "a retry too many");
            prop_assert!(slice_ms > 0 || was_taken == is_allowed);
            if was_taken {
                retries.push(millis);
            }
        }
    }
}
