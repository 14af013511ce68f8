//! The limit on a node's requests in flight at a replica of a plain service.

use std::time::Duration;

use clock::Timestamp;
use pipelines::{Replica, ReplicaLimits};
use proptest::prelude::*;
use types::UpstreamName;

const SLOTS: u32 = 6;
/// Work of a request.
const WORK: Duration = Duration::from_millis(60);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_origin(Duration::from_millis(millis))
}

fn replica(name: &UpstreamName) -> Replica<'_> {
    Replica { name, incarnation: 1, slots: SLOTS }
}

/// Guards against requests that wait before a replica with free slots is known to be full.
#[test]
fn a_replica_starts_with_all_its_slots() {
    let name = "r".into();
    assert_eq!(ReplicaLimits::default().limit(replica(&name)), SLOTS);
}

/// Guards against a registry entry without slots, to which no request would ever be sent.
#[test]
fn a_replica_without_slots_takes_one_request() {
    let name = "r".into();
    let odd = Replica { slots: 0, ..replica(&name) };
    let mut limits = ReplicaLimits::default();
    limits.record_refusal(odd, at(0));
    assert_eq!(limits.limit(odd), 1);
}

/// Guards against a burst that goes on being sent to a replica which the other nodes have filled, and
/// against requests sent at the same time that reduce the limit to 1 at once.
#[test]
fn refusals_halve_the_limit_once_per_reaction_time() {
    let name = "r".into();
    let mut limits = ReplicaLimits::default();
    assert!(limits.record_refusal(replica(&name), at(0)));
    (0..5).for_each(|_| assert!(!limits.record_refusal(replica(&name), at(10))));
    assert_eq!(limits.limit(replica(&name)), 3);
    assert!(limits.record_refusal(replica(&name), at(100)));
    assert_eq!(limits.limit(replica(&name)), 1);
}

/// Guards against a limit that stays low after a burst has passed.
#[test]
fn answers_in_time_raise_a_limit_that_is_used_up() {
    let name = "r".into();
    let mut limits = ReplicaLimits::default();
    for round in 0..3 {
        limits.record_refusal(replica(&name), at(round * 100));
    }
    for answer in 0..60 {
        let in_flight = limits.limit(replica(&name));
        limits.record_answer(replica(&name), in_flight, WORK, at(1_000 + answer * 10));
    }
    assert_eq!(limits.limit(replica(&name)), SLOTS);
}

/// Guards against a wave of requests that queue up at a replica, which answers them all, but late.
#[test]
fn slow_answers_lower_the_limit() {
    let name = "r".into();
    let mut limits = ReplicaLimits::default();
    for answer in 0..20 {
        limits.record_answer(replica(&name), 2, WORK, at(answer * 10));
    }
    for answer in 0..20 {
        limits.record_answer(replica(&name), SLOTS, WORK * 5, at(1_000 + answer * 100));
    }
    assert!(limits.limit(replica(&name)) < SLOTS, "{limits:?}");
}

/// Guards against a limit that follows requests whose work merely differs.
#[test]
fn one_long_answer_lowers_no_limit() {
    let name = "r".into();
    let mut limits = ReplicaLimits::default();
    for answer in 0..40 {
        let work = if answer % 8 == 7 { WORK * 3 } else { WORK };
        limits.record_answer(replica(&name), 2, work, at(answer * 100));
    }
    assert_eq!(limits.limit(replica(&name)), SLOTS);
}

/// Guards against a restarted replica that inherits the limit of the process before it.
#[test]
fn a_restarted_replica_starts_anew() {
    let name = "r".into();
    let mut limits = ReplicaLimits::default();
    limits.record_refusal(replica(&name), at(0));
    assert_eq!(limits.limit(Replica { incarnation: 2, ..replica(&name) }), SLOTS);
}

/// Guards against a record for each replica that was ever registered, and against one that drops the
/// replicas in use.
#[test]
fn replicas_without_news_are_dropped_first() {
    let mut limits = ReplicaLimits::default();
    let in_use: UpstreamName = "in-use".into();
    for number in 0..2_000 {
        let name = format!("r{number}").into();
        limits.record_refusal(replica(&name), at(number));
        limits.record_refusal(replica(&in_use), at(number));
    }
    assert!(limits.limit(replica(&in_use)) < SLOTS);
    assert_eq!(limits.limit(replica(&"r0".into())), SLOTS, "the oldest record is gone");
}

/// Guards against a time-out before the first answer that sets the usual time: all waits would be
/// estimated from it, and no answer would count as slow.
#[test]
fn a_timeout_does_not_set_the_usual_time() {
    let name: UpstreamName = "r1".into();
    let mut limits = ReplicaLimits::default();
    limits.record_timeout(replica(&name), WORK * 50, at(0));
    assert_eq!(limits.usual_time(replica(&name)), None);
    limits.record_answer(replica(&name), 1, WORK, at(100));
    assert_eq!(limits.usual_time(replica(&name)), Some(WORK));
    for number in 0..4 {
        limits.record_timeout(replica(&name), WORK * 50, at(5_000 * (number + 1)));
    }
    assert!(limits.limit(replica(&name)) < SLOTS, "time-outs count as slow answers");
}

proptest! {
    /// Guards against a limit of zero, which would block a replica for good, and one above its slots,
    /// which its queue may not bear.
    #[test]
    fn the_limit_is_from_one_to_the_slots(
        events in prop::collection::vec((0..3_u8, 0..40_u32, 0..100_000_u64, 0..500_u64), 0..200),
        slots in 0..20_u32,
    ) {
        let name: UpstreamName = "r".into();
        let (mut limits, mut now) = (ReplicaLimits::default(), 0);
        for (kind, in_flight, taken_ms, pause_ms) in events {
            now += pause_ms;
            let incarnation = u64::from(kind == 2 && in_flight == 0);
            let replica = Replica { name: &name, incarnation, slots };
            if kind == 0 {
                limits.record_refusal(replica, at(now));
            } else {
                let taken = Duration::from_millis(taken_ms);
                limits.record_answer(replica, in_flight, taken, at(now));
            }
            prop_assert!((1..=slots.max(1)).contains(&limits.limit(replica)));
        }
    }
}
