//! Single faults of the key-value service at a known call.

use std::{rc::Rc, time::Duration};

use crate::world::{Fault, RETENTION, TestNode, World, request, run};
use claims::{Admission, ClaimRequest, StoredResponse};
use types::{Failure, FailureKind, Verdict};

const LIMIT: Duration = Duration::from_secs(60);
const LONG: Duration = Duration::from_secs(30);

/// Starts to admit a request on a node and lets time pass.
async fn admit(
    world: &World,
    node: &Rc<TestNode>,
    request: &ClaimRequest,
) -> Result<Admission, Failure> {
    let (claims, request) = (node.claims.clone(), request.clone());
    let task = compio::runtime::spawn(async move { claims.admit(&request).await });
    world.pass(Duration::from_secs(3)).await;
    task.await.expect("admission does not panic")
}

fn verdict(outcome: &Result<Admission, Failure>) -> Option<(FailureKind, Verdict)> {
    outcome.as_ref().err().map(|failure| (failure.kind, failure.verdict))
}

fn answer(text: &str) -> StoredResponse {
    StoredResponse { status: 201, content_type: None, body: Some(text.into()) }
}

/// A repeated send that cannot be looked up may have run before; a first send cannot.
#[test]
fn refused_claim_depends_on_first_send() {
    for (first_send, expected) in [(true, Verdict::NotRun), (false, Verdict::MayHaveRun)] {
        run(async {
            let world = World::new([Fault::Unavailable]);
            let node = world.add_node("one", true);
            let outcome = admit(&world, &node, &request(&node, first_send, LIMIT)).await;
            assert_eq!(verdict(&outcome), Some((FailureKind::StoreUnavailable, expected)));
        });
    }
}

/// A lost answer or a lost write must neither refuse the request nor grant it twice.
#[test]
fn ambiguous_write_is_read_back() {
    let scripts = [
        vec![Fault::AnswerLost],
        vec![Fault::Lost],
        // The first write arrives between the read and the second write.
        vec![Fault::Late(1), Fault::None, Fault::Slow(3)],
    ];
    for script in scripts {
        run(async {
            let world = World::new(script.clone());
            let (one, other) = (world.add_node("one", true), world.add_node("other", false));
            let outcome = admit(&world, &one, &request(&one, true, LIMIT)).await;
            let Ok(Admission::Run(claim)) = outcome else { panic!("{script:?}: not granted") };
            let second = admit(&world, &other, &request(&other, false, LIMIT)).await;
            assert_eq!(
                verdict(&second),
                Some((FailureKind::OutcomeUnknown, Verdict::MayHaveRun)),
                "{script:?}"
            );
            claim.finish(answer("done"), RETENTION).await;
            let third = admit(&world, &other, &request(&other, false, LIMIT)).await;
            assert!(matches!(third, Ok(Admission::Replay(found)) if found == answer("done")));
        });
    }
}

/// A refused request whose write takes effect later must not block its key for ever, even when
/// the holder cannot be asked.
#[test]
fn late_write_of_refused_request_is_released() {
    for steps in [10, 100, 250] {
        run(async {
            let world = World::new([Fault::Late(steps), Fault::Unavailable]);
            let (one, other) = (world.add_node("one", false), world.add_node("other", false));
            let refused = admit(&world, &one, &request(&one, true, LIMIT)).await;
            assert_eq!(
                verdict(&refused),
                Some((FailureKind::StoreUnavailable, Verdict::NotRun)),
                "{steps} steps"
            );
            world.pass(LONG).await;
            let outcome = admit(&world, &other, &request(&other, false, LIMIT)).await;
            let granted = matches!(&outcome, Ok(Admission::Run(_)));
            assert!(granted, "write late by {steps} steps: {:?}", verdict(&outcome));
        });
    }
}

/// A node that waits for a claim which is then released must take it over at once, not answer
/// with `may-have-run`.
#[test]
fn waiting_request_gets_a_released_claim() {
    for reachable in [true, false] {
        run(async {
            let world = World::new([]);
            let (one, other) =
                (world.add_node("one", reachable), world.add_node("other", reachable));
            let granted = admit(&world, &one, &request(&one, true, LIMIT)).await;
            let Ok(Admission::Run(claim)) = granted else { panic!("not granted") };
            let (claims, wanted) = (other.claims.clone(), request(&other, false, LIMIT));
            let waiting = compio::runtime::spawn(async move { claims.admit(&wanted).await });
            world.pass(Duration::from_millis(200)).await;
            claim.release().await;
            world.pass(Duration::from_secs(2)).await;
            let outcome = waiting.await.expect("admission does not panic");
            assert!(matches!(&outcome, Ok(Admission::Run(_))), "{:?}", verdict(&outcome));
        });
    }
}

/// A claim that was dropped without an end counts as one that may have been sent.
#[test]
fn dropped_claim_is_never_granted_again() {
    run(async {
        let world = World::new([]);
        let (one, other) = (world.add_node("one", true), world.add_node("other", true));
        let granted = admit(&world, &one, &request(&one, true, LIMIT)).await;
        drop(granted);
        world.pass(LONG).await;
        for node in [&one, &other] {
            let outcome = admit(&world, node, &request(node, false, LIMIT)).await;
            assert_eq!(verdict(&outcome), Some((FailureKind::OutcomeUnknown, Verdict::MayHaveRun)));
        }
    });
}

/// The outcome is kept while it cannot be written, and written when the service is back.
#[test]
fn final_write_is_repeated() {
    for fault in [Fault::Unavailable, Fault::Lost, Fault::AnswerLost] {
        run(async {
            let world = World::new([]);
            let (one, other) = (world.add_node("one", true), world.add_node("other", true));
            let granted = admit(&world, &one, &request(&one, true, LIMIT)).await;
            let Ok(Admission::Run(claim)) = granted else { panic!("not granted") };
            world.script.borrow_mut().push_back(fault);
            claim.finish(answer("done"), RETENTION).await;
            world.pass(LONG).await;
            let outcome = admit(&world, &other, &request(&other, false, LIMIT)).await;
            let replayed =
                matches!(&outcome, Ok(Admission::Replay(found)) if *found == answer("done"));
            assert!(replayed, "{fault:?}: {:?}", verdict(&outcome));
        });
    }
}

/// Guards against records that fill the service for ever, and against a record of an unknown outcome
/// that ends, after which the request would run again.
#[test]
fn only_finished_records_end_with_a_shared_lease() {
    run(async {
        let world = World::new([]);
        let node = world.add_node("a", true);
        for (index, finishes) in [(0, true), (1, true), (2, false)] {
            let mut wanted = request(&node, true, LIMIT);
            wanted.key.key = format!("key-{index}").into();
            let Ok(Admission::Run(claim)) = admit(&world, &node, &wanted).await else {
                panic!("key-{index} is free")
            };
            assert_eq!(world.last_lease.get(), None, "a claim must not end by itself");
            let task = compio::runtime::spawn(async move {
                if finishes {
                    claim.finish(answer("done"), RETENTION).await;
                } else {
                    claim.abandon().await;
                }
            });
            world.pass(Duration::from_secs(1)).await;
            task.await.expect("the claim ends");
            assert_eq!(world.last_lease.get(), finishes.then_some(1), "key-{index}");
        }
        // One lease serves all records of an hour and outlasts their retention by that hour.
        assert_eq!(*world.granted.borrow(), [25 * 3600 * 1000]);
    });
}
