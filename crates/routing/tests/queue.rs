//! The admission queue: order of admission, refusals and bounds.

use std::{collections::BTreeMap, time::Duration};

use clock::{Clock, ManualClock, Timestamp};
use proptest::prelude::*;
use routing::{AdmissionQueue, Arrival, EnqueueOutcome, Refusal, Ticket};
use types::Class;

const QUEUE_DEPTH: usize = 64;

fn arrival(organisation: &str, class: Class, weight: u64) -> Arrival {
    let arrived = Timestamp::default();
    Arrival {
        organisation: organisation.into(),
        class,
        weight,
        work: 16,
        arrived,
        deadline: arrived + Duration::from_secs(10),
        max_waiting: QUEUE_DEPTH,
    }
}

fn enqueue(queue: &mut AdmissionQueue, arrival: &Arrival) -> Ticket {
    match queue.enqueue(arrival, 1) {
        EnqueueOutcome::Waiting(ticket) => ticket,
        other => panic!("request was not queued: {other:?}"),
    }
}

/// Guards against an organisation that takes the admissions of others because it sends many
/// requests.
#[test]
fn organisations_are_admitted_in_proportion_to_their_weights() {
    let mut queue = AdmissionQueue::default();
    let mut organisations = BTreeMap::new();
    for (name, weight) in [("heavy", 3), ("light", 1)] {
        for _ in 0..30 {
            let ticket = enqueue(&mut queue, &arrival(name, Class::Interactive, weight));
            organisations.insert(ticket, name);
        }
    }
    let admitted: Vec<_> = (0..32).filter_map(|_| queue.admit()).collect();
    let heavy = admitted.iter().filter(|ticket| organisations[ticket] == "heavy").count();
    assert_eq!(heavy, 24, "weights 3 and 1 give 24 and 8 of 32 admissions");
}

/// Guards against interactive requests that keep batch requests waiting for ever.
#[test]
fn every_ninth_admission_goes_to_a_waiting_batch_request() {
    let mut queue = AdmissionQueue::default();
    let batch = enqueue(&mut queue, &arrival("b", Class::Batch, 1));
    let mut position = None;
    for index in 0..20 {
        enqueue(&mut queue, &arrival("a", Class::Interactive, 1));
        if queue.admit() == Some(batch) {
            position = Some(index);
            break;
        }
    }
    assert_eq!(position, Some(8), "the ninth admission goes to the batch class");
}

/// Guards against batch requests that delay interactive ones.
#[test]
fn an_interactive_request_is_admitted_before_a_batch_request() {
    let mut queue = AdmissionQueue::default();
    enqueue(&mut queue, &arrival("a", Class::Batch, 1));
    let interactive = enqueue(&mut queue, &arrival("a", Class::Interactive, 1));
    assert_eq!(queue.admit(), Some(interactive));
}

/// Guards against a request that waits although its answer would arrive after the deadline.
#[test]
fn a_request_that_would_miss_its_deadline_is_refused_at_once() {
    let clock = ManualClock::new();
    let mut queue = AdmissionQueue::default();
    queue.observe_service_time(Duration::from_secs(1));
    clock.advance(Duration::from_secs(100));
    let mut request = arrival("a", Class::Interactive, 1);
    request.arrived = clock.now();
    request.deadline = clock.now() + Duration::from_millis(4500);
    for _ in 0..4 {
        enqueue(&mut queue, &request);
    }
    let refusal = EnqueueOutcome::Refused(Refusal::Late(Duration::from_secs(4)));
    assert_eq!(queue.enqueue(&request, 1), refusal);
    // Organisations take turns, so the first request of another one waits for less time.
    let other = Arrival { organisation: "b".into(), ..request };
    assert!(matches!(queue.enqueue(&other, 1), EnqueueOutcome::Waiting(_)));
}

/// Guards against a queue that one organisation fills, so that the requests of all others are
/// refused.
#[test]
fn a_full_queue_refuses_the_newest_request_of_the_largest_organisation() {
    let mut queue = AdmissionQueue::default();
    let tickets: Vec<_> = (0..QUEUE_DEPTH)
        .map(|_| enqueue(&mut queue, &arrival("large", Class::Interactive, 1)))
        .collect();
    match queue.enqueue(&arrival("small", Class::Interactive, 1), 1) {
        EnqueueOutcome::Replaced { refused, .. } => assert_eq!(Some(&refused), tickets.last()),
        other => panic!("no request of the large organisation was refused: {other:?}"),
    }
    let outcome = queue.enqueue(&arrival("large", Class::Interactive, 1), 1);
    assert_eq!(outcome, EnqueueOutcome::Refused(Refusal::Full));
    assert_eq!(queue.len(), QUEUE_DEPTH);
}

proptest! {
    /// Guards against requests that are lost or admitted twice, against a queue that exceeds its
    /// depth, and against an admission that finds no request although one waits.
    #[test]
    fn every_waiting_request_is_admitted_exactly_once(
        requests in prop::collection::vec((0u8..6, any::<bool>(), 1u64..5, 1u64..2000), 1..200),
    ) {
        let mut queue = AdmissionQueue::default();
        let mut waiting = Vec::new();
        for (organisation, batch, weight, work) in requests {
            let class = if batch { Class::Batch } else { Class::Interactive };
            let request = Arrival { work, ..arrival(&organisation.to_string(), class, weight) };
            match queue.enqueue(&request, 1) {
                EnqueueOutcome::Waiting(ticket) => waiting.push(ticket),
                EnqueueOutcome::Replaced { ticket, refused } => {
                    waiting.retain(|known| *known != refused);
                    waiting.push(ticket);
                }
                EnqueueOutcome::Refused(_) => {}
            }
            prop_assert!(queue.len() <= QUEUE_DEPTH);
        }
        let mut admitted = Vec::new();
        while !queue.is_empty() {
            let next = queue.peek();
            let ticket = queue.admit();
            prop_assert_eq!(next, ticket);
            admitted.extend(ticket);
            prop_assert!(ticket.is_some());
        }
        admitted.sort();
        waiting.sort();
        prop_assert_eq!(admitted, waiting);
    }
}
