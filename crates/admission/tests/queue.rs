//! Tests of the order of waiting requests, and of the bounds of their queue.

use std::time::Duration;

use admission::{AdmissionQueue, Enqueued, QueueLimits, Ticket, Waiting};
use clock::Timestamp;
use proptest::prelude::*;

const LIMITS: QueueLimits = QueueLimits { length: 64, streak: 7, lookahead: 2 };
/// A queue that goes by the order alone.
const STRICT: QueueLimits = QueueLimits { streak: u32::MAX, ..LIMITS };

/// The time of all requests.
fn start() -> Timestamp {
    at(1000)
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_origin(Duration::from_millis(ms))
}

/// A request that meets its target if it starts within 250 ms, and waits for up to 1.5 s.
fn request(rank: u32, organisation: &str) -> Waiting {
    Waiting {
        resumed: false,
        rank,
        organisation: Some(organisation.into()),
        tokens: 100,
        start_by: at(1250),
        end: at(2500),
    }
}

fn push(queue: &mut AdmissionQueue, waiting: Waiting) -> Ticket {
    match queue.enqueue(waiting, Duration::ZERO, start()) {
        Enqueued::Waiting(ticket) | Enqueued::Replaced { ticket, .. } => ticket,
        refused => panic!("{refused:?}"),
    }
}

/// Grants all waiting requests one after the other.
fn drain(queue: &mut AdmissionQueue, now: Timestamp) -> Vec<Ticket> {
    std::iter::from_fn(|| {
        let next = queue.next(now)?;
        queue.grant(next);
        Some(next)
    })
    .collect()
}

/// Guards against a request that takes itself for further back or ahead than it is granted.
#[test]
fn the_position_of_a_request_is_its_place_in_the_order_of_grants() {
    let mut queue = AdmissionQueue::new(STRICT);
    let requests = [request(1, "a"), request(0, "b"), request(1, "b"), request(0, "a")];
    let tickets = requests.map(|waiting| push(&mut queue, waiting));
    let positions = tickets.map(|ticket| queue.position(ticket, start()));
    let order = drain(&mut queue, start());
    let places = tickets.map(|ticket| order.iter().position(|other| *other == ticket).unwrap());
    assert_eq!(positions, places);
}

/// Guards against urgent requests that can no longer be in time and are served before others that
/// can, and against resumed requests that wait behind new ones.
#[test]
fn groups_go_before_urgency() {
    let mut queue = AdmissionQueue::new(STRICT);
    let late = push(&mut queue, Waiting { start_by: at(900), ..request(0, "a") });
    let normal = push(&mut queue, request(1, "b"));
    let urgent = push(&mut queue, request(0, "c"));
    let resumed = push(&mut queue, Waiting { resumed: true, ..request(2, "d") });
    let after_wait = Duration::from_millis(300);
    let Enqueued::Waiting(expected_late) = queue.enqueue(request(1, "e"), after_wait, start())
    else {
        panic!("it is served before its end");
    };
    assert_eq!(drain(&mut queue, start()), [resumed, urgent, normal, late, expected_late]);
}

/// Guards against a request that stays in the group in time while it waits past its target.
#[test]
fn requests_that_wait_too_long_become_late() {
    let mut queue = AdmissionQueue::new(STRICT);
    let waited = push(&mut queue, Waiting { start_by: at(1100), ..request(0, "a") });
    let fresh = push(&mut queue, request(1, "a"));
    assert_eq!(queue.next(start()), Some(waited));
    assert_eq!(queue.next(at(1101)), Some(fresh));
}

/// Guards against one organisation that sends most requests and delays those of the others: 60
/// requests of it wait before two others with 2 each arrive.
#[test]
fn a_large_organisation_does_not_delay_small_ones() {
    let mut queue = AdmissionQueue::new(STRICT);
    for _ in 0..60 {
        push(&mut queue, request(0, "large"));
    }
    let others: Vec<Ticket> = ["one", "two", "one", "two"]
        .iter()
        .map(|organisation| push(&mut queue, request(0, organisation)))
        .collect();
    let granted = drain(&mut queue, start());
    let last = granted.iter().position(|ticket| *ticket == others[3]).expect("it is granted");
    assert!(last < 6, "granted as number {last}");
}

/// Guards against fairness that counts requests and not their work: an organisation with long
/// requests gets as many tokens as one with short ones.
#[test]
fn fairness_counts_tokens() {
    let mut queue = AdmissionQueue::new(STRICT);
    for _ in 0..10 {
        push(&mut queue, Waiting { tokens: 400, ..request(0, "long") });
    }
    let short: Vec<Ticket> = (0..10).map(|_| push(&mut queue, request(0, "short"))).collect();
    let granted = drain(&mut queue, start());
    let count = granted[..10].iter().filter(|ticket| short.contains(ticket)).count();
    assert_eq!(count, 8);
}

/// Guards against an organisation that is charged for requests which have left without capacity.
#[test]
fn requests_that_leave_are_not_charged() {
    let mut queue = AdmissionQueue::new(STRICT);
    push(&mut queue, request(0, "steady"));
    (0..5).for_each(|_| {
        let ticket = push(&mut queue, request(0, "leaving"));
        queue.remove(ticket);
    });
    let steady = push(&mut queue, request(0, "steady"));
    let back = push(&mut queue, request(0, "leaving"));
    assert!(drain(&mut queue, start()).ends_with(&[back, steady]));
}

/// Guards against a full queue that sheds the wrong request, and against one without a bound.
#[test]
fn a_full_queue_sheds_the_least_urgent_newest_of_the_largest_organisation() {
    let mut queue = AdmissionQueue::new(QueueLimits { length: 5, ..STRICT });
    push(&mut queue, Waiting { resumed: true, ..request(9, "large") });
    push(&mut queue, request(1, "large"));
    let newest = push(&mut queue, request(1, "large"));
    let urgent = push(&mut queue, request(0, "large"));
    push(&mut queue, request(9, "small"));
    let outcome = queue.enqueue(request(2, "small"), Duration::ZERO, start());
    assert!(matches!(outcome, Enqueued::Replaced { shed, .. } if shed == newest));
    assert!(!queue.contains(newest) && queue.contains(urgent));
    // Both organisations have the most requests now, and the new one is the newest of them.
    assert_eq!(queue.enqueue(request(9, "large"), Duration::ZERO, start()), Enqueued::Full);
    assert_eq!(queue.len(), 5);
}

/// Guards against requests that wait although they cannot be served before their end.
#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut queue = AdmissionQueue::new(LIMITS);
    let outcome = queue.enqueue(request(0, "a"), Duration::from_millis(1501), start());
    assert_eq!((outcome, queue.len()), (Enqueued::Late, 0));
}

/// Guards against a first request that does not fit and blocks all others, and against one that is
/// passed over for ever, or by a whole queue.
#[test]
fn a_request_that_does_not_fit_lets_the_next_one_try() {
    let mut queue = AdmissionQueue::new(LIMITS);
    let tickets = [0, 0, 0].map(|rank| push(&mut queue, request(rank, "a")));
    assert_eq!(tickets.map(|ticket| queue.may_try(ticket, start())), [true, false, false]);
    queue.block(tickets[0], at(1040));
    assert_eq!(tickets.map(|ticket| queue.may_try(ticket, start())), [true, true, false]);
    assert_eq!(queue.next(start()), Some(tickets[1]));
    queue.block(tickets[1], at(1040));
    assert_eq!(queue.next(start()), None);
    assert_eq!(queue.next(at(1040)), Some(tickets[0]));
    queue.unblock();
    assert_eq!(queue.next(start()), Some(tickets[0]));
}

/// What happens to a queue in the property tests.
#[derive(Clone, Debug)]
enum Operation {
    Enqueue { rank: u32, organisation: u8, resumed: bool, tokens: u64, start_ms: u64 },
    Grant,
    Leave(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    let tokens = prop_oneof![0_u64..3000, Just(u64::MAX)];
    let enqueue = (0_u32..4, 0_u8..6, proptest::bool::weighted(0.1), tokens, 900_u64..1500);
    prop_oneof![
        4 => enqueue.prop_map(|(rank, organisation, resumed, tokens, start_ms)| {
            Operation::Enqueue { rank, organisation, resumed, tokens, start_ms }
        }),
        3 => Just(Operation::Grant),
        1 => any::<usize>().prop_map(Operation::Leave),
    ]
}

proptest! {
    /// Guards against a queue beyond its bound, a request that is lost without an outcome, and a
    /// request that starves: the one that has waited longest is granted within a streak.
    #[test]
    fn the_queue_is_bounded_and_nobody_starves(
        operations in proptest::collection::vec(operation(), 1..300),
        length in 0_usize..12,
    ) {
        let mut queue = AdmissionQueue::new(QueueLimits { length, ..LIMITS });
        let mut waiting: Vec<Ticket> = Vec::new();
        let mut passed_over = 0;
        for operation in operations {
            match operation {
                Operation::Enqueue { rank, organisation, resumed, tokens, start_ms } => {
                    let organisation = Some(organisation.to_string().as_str().into());
                    let start_by = at(start_ms);
                    let request = Waiting { resumed, tokens, start_by, organisation, ..request(rank, "") };
                    match queue.enqueue(request, Duration::ZERO, start()) {
                        Enqueued::Waiting(ticket) => waiting.push(ticket),
                        Enqueued::Replaced { ticket, shed } => {
                            prop_assert!(waiting.contains(&shed));
                            passed_over = if waiting[0] == shed { 0 } else { passed_over };
                            waiting.retain(|other| *other != shed);
                            waiting.push(ticket);
                        }
                        outcome => prop_assert_eq!((outcome, queue.len()), (Enqueued::Full, length)),
                    }
                }
                Operation::Grant => {
                    let Some(next) = queue.next(start()) else { continue };
                    passed_over = if waiting[0] == next { 0 } else { passed_over + 1 };
                    prop_assert!(passed_over <= LIMITS.streak);
                    queue.grant(next);
                    waiting.retain(|other| *other != next);
                }
                Operation::Leave(index) if !waiting.is_empty() => {
                    let index = index % waiting.len();
                    passed_over = if index == 0 { 0 } else { passed_over };
                    queue.remove(waiting.remove(index));
                }
                Operation::Leave(_) => {}
            }
            prop_assert!(queue.len() <= length);
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert!(waiting.iter().all(|ticket| queue.contains(*ticket)));
        }
    }
}

/// Guards against a question for a place that takes one, or that is answered otherwise than the
/// request.
#[test]
fn a_preview_takes_no_place() {
    let mut queue = AdmissionQueue::new(QueueLimits { length: 2, ..LIMITS });
    let wait = Duration::from_millis(100);
    let late = Waiting { end: at(1050), ..request(0, "c") };
    for new in [request(1, "a"), late, request(2, "a"), request(0, "b"), request(3, "a")] {
        let length = queue.len();
        let previews: Vec<Enqueued> = (0..3).map(|_| queue.preview(&new, wait, start())).collect();
        assert_eq!(queue.len(), length);
        assert_eq!(previews, [queue.enqueue(new, wait, start()); 3]);
    }
}
