//! The retry budget that several nodes share.

use std::time::Duration;

use clock::Timestamp;
use pipelines::SharedRetryBudget;
use proptest::prelude::*;

/// Guards against a part of the shared retry budget that is used twice in one window, because all nodes
/// restart in it.
#[test]
fn nodes_that_restart_within_a_window_stay_within_the_shared_retry_budget() {
    const NODES: usize = 10;
    const REQUESTS: usize = 20;
    let window = Duration::from_secs(10);
    let (mut taken, mut now) = (0, Timestamp::from_origin(Duration::from_secs(1)));
    for restarts in 0..4 {
        for _ in 0..NODES {
            let mut budget = SharedRetryBudget::new(window, 0.2, 100.0);
            if restarts > 0 {
                budget = budget.withhold_extra_until(now + window);
            }
            (0..REQUESTS).for_each(|_| budget.count_request(now));
            taken += (0..1000).filter(|_| budget.take(now, NODES)).count();
        }
        now = now + window / 5;
    }
    let requests = (4 * NODES * REQUESTS) as f64;
    assert!(taken as f64 <= 0.2 * requests + 100.0, "{taken} retries");
}

proptest! {
    /// Guards against a node that takes more than its part of the shared retry budget.
    #[test]
    fn nodes_stay_within_the_shared_retry_budget(requests in 0..200_u32, nodes in 1..20_usize) {
        let now = Timestamp::from_origin(Duration::from_secs(1));
        let mut taken = 0;
        for _ in 0..nodes {
            let mut budget = SharedRetryBudget::new(Duration::from_secs(10), 0.2, 100.0);
            for _ in 0..requests {
                budget.count_request(now);
            }
            taken += (0..1000).filter(|_| budget.take(now, nodes)).count();
        }
        let total = f64::from(requests) * nodes as f64;
        prop_assert!(taken as f64 <= 0.2 * total + 100.0);
    }
}
