//! The retry budget of one node.

use std::time::Duration;

use clock::{Clock, ManualClock};
use proptest::prelude::*;
use routing::RetryBudget;

/// Guards against an idle node that is never allowed to retry.
#[test]
fn allows_one_retry_per_second_without_requests() {
    let clock = ManualClock::new();
    let mut budget = RetryBudget::default();
    for _ in 0..20 {
        let taken = (0..100).filter(|_| budget.take(clock.now(), 10)).count();
        assert_eq!(taken, 1);
        let pause = budget.time_until_retry(clock.now());
        assert_eq!(pause, Duration::from_secs(1), "a waiting retry is told when it is allowed");
        clock.advance(pause);
    }
}

proptest! {
    /// Guards against retries that multiply the load of a failing upstream.
    #[test]
    fn retries_stay_within_the_budget(gaps in prop::collection::vec((0u64..40, 0u8..4), 1..2000)) {
        let clock = ManualClock::new();
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (gap, kind) in gaps {
            clock.advance(Duration::from_millis(gap));
            let now = clock.now();
            if kind == 0 {
                budget.count_request(now);
                requests.push(now);
            } else if budget.take(now, 10) {
                retries.push(now);
                let window = Duration::from_secs(10);
                let recent = requests.iter().filter(|time| now.since(**time) < window).count();
                let used = retries.iter().filter(|time| now.since(**time) < window).count();
                let previous = retries.iter().rev().nth(1);
                let idle = previous.is_none_or(|time| now.since(*time).as_secs() >= 1);
                prop_assert!(used <= recent / 10 || idle);
            }
        }
    }
}
