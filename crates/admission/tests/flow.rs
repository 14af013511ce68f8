//! Tests of the estimate of the waiting time and of the time after which callers retry.

use std::time::Duration;

use admission::{FleetLoad, Flow, retry_after};
use clock::Timestamp;
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const MS: Duration = Duration::from_millis(1);
const LEAST: Duration = Duration::from_millis(200);
const HOLD: Duration = Duration::from_secs(2);

/// 130 nodes with two requests in flight each.
fn fleet() -> FleetLoad {
    FleetLoad {
        in_flight: 260,
        hold: HOLD,
        nodes: 130,
        waiting_elsewhere: None,
        age: Duration::ZERO,
    }
}

proptest! {
    /// Guards against a time to retry that is shorter than 0.2 s, or longer than a third of the
    /// time that the request has left, which callers do not honour.
    #[test]
    fn time_to_retry_is_bounded(wait_ms: u64, left_ms: u64, draw in proptest::num::f64::ANY) {
        let left = Duration::from_millis(left_ms);
        let after = retry_after(Duration::from_millis(wait_ms), left, draw);
        prop_assert!(after >= LEAST);
        prop_assert!(after <= (left / 3).max(LEAST));
    }

    /// Guards against a panic or an endless estimate on absurd facts, and against a request that is
    /// expected to wait less behind more others.
    #[test]
    fn estimates_are_bounded_and_monotone(
        (in_flight, nodes, ahead) in (any::<u32>(), any::<usize>(), any::<usize>()),
        waiting_elsewhere: Option<u32>,
        (hold_ms, age_ms) in (any::<u64>(), any::<u64>()),
    ) {
        let (hold, age) = (Duration::from_millis(hold_ms), Duration::from_millis(age_ms));
        let fleet = FleetLoad { in_flight, hold, nodes, waiting_elsewhere, age };
        let wait = fleet.expected_wait(ahead);
        prop_assert!(wait <= Duration::from_secs(600));
        prop_assert!(fleet.expected_wait(ahead.saturating_add(1)) >= wait);
        let mut flow = Flow::default();
        flow.observe_hold(hold);
        let now = Timestamp::from_origin(age);
        prop_assert!(flow.record_refusal(&fleet, ahead, now) <= Duration::from_secs(600));
    }
}

/// Guards against an estimate that ignores the other nodes, or that counts waiting requests which
/// have been served since the report about them.
#[test]
fn waits_follow_from_the_rate_at_which_the_fleet_frees_capacity() {
    // 130 requests end in a second, one of them at this node.
    assert_eq!(fleet().expected_wait(3), 3 * HOLD / 2);
    let reported = FleetLoad { waiting_elsewhere: Some(257), ..fleet() };
    assert_eq!(reported.expected_wait(3), HOLD);
    let old = FleetLoad { age: HOLD / 2, ..reported };
    assert_eq!(old.expected_wait(3), HOLD / 2);
    let outdated = FleetLoad { age: 5 * HOLD, ..reported };
    assert!(outdated.expected_wait(3) < 30 * MS);
}

/// Guards against refusals that are forgotten at once, or remembered for ever.
#[test]
fn refusals_lengthen_the_estimate_until_they_could_have_been_served() {
    let mut flow = Flow::default();
    let start = Timestamp::from_origin(HOLD);
    let waits: Vec<Duration> = (0..3).map(|_| flow.record_refusal(&fleet(), 0, start)).collect();
    assert_eq!(waits, [HOLD / 2, HOLD, 3 * HOLD / 2]);
    assert_eq!(flow.record_refusal(&fleet(), 0, start + 10 * HOLD), HOLD / 2);
}

/// Guards against a question for the time until a retry that counts as a refusal.
#[test]
fn a_question_is_no_refusal() {
    let mut flow = Flow::default();
    let now = Timestamp::from_origin(HOLD);
    for number in 1..=3 {
        let asked: Vec<Duration> = (0..5).map(|_| flow.wait_if_refused(&fleet(), 2, now)).collect();
        assert_eq!(asked, [flow.record_refusal(&fleet(), 2, now); 5], "refusal {number}");
    }
}

/// Guards against callers that are refused in one moment and return in one wave, which fills the
/// engines once more: 260 callers are refused by 130 nodes, which free 130 requests in a second.
#[test]
fn refused_callers_return_spread_over_the_time_in_which_they_can_be_served() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut returns = [0_u32; 40];
    for _ in 0..130 {
        let mut flow = Flow::default();
        for _ in 0..2 {
            let wait = flow.record_refusal(&fleet(), 0, Timestamp::default());
            let after = retry_after(wait, Duration::from_secs(30), rng.random());
            returns[(after.as_millis() / 100) as usize] += 1;
        }
    }
    let largest = returns.iter().max().unwrap();
    assert!(*largest <= 260 / 5, "{largest} callers return within 0.1 s");
}
