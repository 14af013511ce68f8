//! Single faults of the key-value service at a given call.

use std::{rc::Rc, time::Duration};

use crate::simulation::{Fault, RETENTION, Simulation, TestNode, request, run};
use claims::{ClaimOutcome, ClaimRequest, StoredResponse};
use types::{Failure, FailureKind, Verdict};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which retries in the background come to an end.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Admits a request on a node while the simulated time advances by 3 s.
async fn claim_or_replay(
    simulation: &Simulation,
    node: &Rc<TestNode>,
    request: &ClaimRequest,
) -> Result<ClaimOutcome, Failure> {
    let (claims, request) = (node.claims.clone(), request.clone());
    let task = compio::runtime::spawn(async move { claims.claim_or_replay(&request).await });
    simulation.advance(Duration::from_secs(3)).await;
    task.await.expect("admission does not panic")
}

fn verdict(outcome: &Result<ClaimOutcome, Failure>) -> Option<(FailureKind, Verdict)> {
    outcome.as_ref().err().map(|failure| (failure.kind, failure.verdict))
}

fn response(text: &str) -> StoredResponse {
    StoredResponse { status: 201, content_type: None, body: Some(text.into()) }
}

/// Guards against a wrong verdict when the claim record cannot be read: a repeated request may have
/// run before, the first request with its key cannot.
#[test]
fn unavailable_store_gives_not_run_only_for_a_first_request() {
    for (first_send, expected) in [(true, Verdict::NotRun), (false, Verdict::MayHaveRun)] {
        run(async {
            let simulation = Simulation::new([Fault::Unavailable]);
            let node = simulation.add_node("one", true);
            let outcome =
                claim_or_replay(&simulation, &node, &request(&node, first_send, REQUEST_TIMEOUT))
                    .await;
            assert_eq!(verdict(&outcome), Some((FailureKind::StoreUnavailable, expected)));
        });
    }
}

/// Guards against a request that is refused, or granted twice, because the write of its claim was
/// not answered.
#[test]
fn unanswered_claim_write_grants_the_request_exactly_once() {
    let fault_lists = [
        vec![Fault::AnswerLost],
        vec![Fault::Lost],
        // The first write takes effect between the read and the second write.
        vec![Fault::Late(1), Fault::None, Fault::Slow(3)],
    ];
    for faults in fault_lists {
        run(async {
            let simulation = Simulation::new(faults.clone());
            let (one, other) =
                (simulation.add_node("one", true), simulation.add_node("other", false));
            let outcome =
                claim_or_replay(&simulation, &one, &request(&one, true, REQUEST_TIMEOUT)).await;
            let Ok(ClaimOutcome::Run(claim)) = outcome else { panic!("{faults:?}: not granted") };
            let second =
                claim_or_replay(&simulation, &other, &request(&other, false, REQUEST_TIMEOUT))
                    .await;
            assert_eq!(
                verdict(&second),
                Some((FailureKind::OutcomeUnknown, Verdict::MayHaveRun)),
                "{faults:?}"
            );
            claim.finish(response("done"), RETENTION).await;
            let third =
                claim_or_replay(&simulation, &other, &request(&other, false, REQUEST_TIMEOUT))
                    .await;
            assert!(matches!(third, Ok(ClaimOutcome::Replay(found)) if found == response("done")));
        });
    }
}

/// Guards against an idempotency key that stays blocked because the claim write of a refused
/// request takes effect after the refusal. The other node cannot ask the holder here.
#[test]
fn claim_write_that_takes_effect_after_the_refusal_is_deleted() {
    for ticks in [10, 100, 250] {
        run(async {
            let simulation = Simulation::new([Fault::Late(ticks), Fault::Unavailable]);
            let (one, other) =
                (simulation.add_node("one", false), simulation.add_node("other", false));
            let refused =
                claim_or_replay(&simulation, &one, &request(&one, true, REQUEST_TIMEOUT)).await;
            assert_eq!(
                verdict(&refused),
                Some((FailureKind::StoreUnavailable, Verdict::NotRun)),
                "{ticks} ticks"
            );
            simulation.advance(SETTLE_TIME).await;
            let outcome =
                claim_or_replay(&simulation, &other, &request(&other, false, REQUEST_TIMEOUT))
                    .await;
            let granted = matches!(&outcome, Ok(ClaimOutcome::Run(_)));
            assert!(granted, "write late by {ticks} ticks: {:?}", verdict(&outcome));
        });
    }
}

/// Guards against a request that fails with `may-have-run` although the claim that it waited for
/// was released. It must be claimed at once instead.
#[test]
fn request_that_waits_for_a_claim_is_granted_after_its_release() {
    for reachable in [true, false] {
        run(async {
            let simulation = Simulation::new([]);
            let (one, other) =
                (simulation.add_node("one", reachable), simulation.add_node("other", reachable));
            let granted =
                claim_or_replay(&simulation, &one, &request(&one, true, REQUEST_TIMEOUT)).await;
            let Ok(ClaimOutcome::Run(claim)) = granted else { panic!("not granted") };
            let (claims, wanted) = (other.claims.clone(), request(&other, false, REQUEST_TIMEOUT));
            let waiting =
                compio::runtime::spawn(async move { claims.claim_or_replay(&wanted).await });
            simulation.advance(Duration::from_millis(200)).await;
            claim.release().await;
            simulation.advance(Duration::from_secs(2)).await;
            let outcome = waiting.await.expect("admission does not panic");
            assert!(matches!(&outcome, Ok(ClaimOutcome::Run(_))), "{:?}", verdict(&outcome));
        });
    }
}

/// Guards against a second grant after a claim was dropped without being finished, abandoned or
/// released: its request may have been sent.
#[test]
fn request_whose_claim_was_dropped_is_never_granted_again() {
    run(async {
        let simulation = Simulation::new([]);
        let (one, other) = (simulation.add_node("one", true), simulation.add_node("other", true));
        let granted =
            claim_or_replay(&simulation, &one, &request(&one, true, REQUEST_TIMEOUT)).await;
        drop(granted);
        simulation.advance(SETTLE_TIME).await;
        for node in [&one, &other] {
            let outcome =
                claim_or_replay(&simulation, node, &request(node, false, REQUEST_TIMEOUT)).await;
            assert_eq!(verdict(&outcome), Some((FailureKind::OutcomeUnknown, Verdict::MayHaveRun)));
        }
    });
}

/// Guards against an outcome that is lost because the key-value service fails when it is written.
#[test]
fn failed_final_write_is_repeated_until_the_response_can_be_replayed() {
    for fault in [Fault::Unavailable, Fault::Lost, Fault::AnswerLost] {
        run(async {
            let simulation = Simulation::new([]);
            let (one, other) =
                (simulation.add_node("one", true), simulation.add_node("other", true));
            let granted =
                claim_or_replay(&simulation, &one, &request(&one, true, REQUEST_TIMEOUT)).await;
            let Ok(ClaimOutcome::Run(claim)) = granted else { panic!("not granted") };
            simulation.faults.borrow_mut().push_back(fault);
            claim.finish(response("done"), RETENTION).await;
            simulation.advance(SETTLE_TIME).await;
            let outcome =
                claim_or_replay(&simulation, &other, &request(&other, false, REQUEST_TIMEOUT))
                    .await;
            let replayed =
                matches!(&outcome, Ok(ClaimOutcome::Replay(found)) if *found == response("done"));
            assert!(replayed, "{fault:?}: {:?}", verdict(&outcome));
        });
    }
}

/// Guards against finished records that never expire, and against a record of an unknown outcome
/// that does, after which the request could run again.
#[test]
fn only_records_of_finished_claims_expire_and_share_a_lease() {
    run(async {
        let simulation = Simulation::new([]);
        let node = simulation.add_node("a", true);
        for (index, finishes) in [(0, true), (1, true), (2, false)] {
            let mut wanted = request(&node, true, REQUEST_TIMEOUT);
            wanted.key.key = format!("key-{index}").into();
            let Ok(ClaimOutcome::Run(claim)) = claim_or_replay(&simulation, &node, &wanted).await
            else {
                panic!("key-{index} is free")
            };
            assert_eq!(
                simulation.last_lease.get(),
                None,
                "the record of an unfinished claim must not expire"
            );
            let task = compio::runtime::spawn(async move {
                if finishes {
                    claim.finish(response("done"), RETENTION).await;
                } else {
                    claim.finish_unknown().await;
                }
            });
            simulation.advance(Duration::from_secs(1)).await;
            task.await.expect("the claim ends");
            assert_eq!(simulation.last_lease.get(), finishes.then_some(1), "key-{index}");
        }
        // One lease is used for all records of an hour, so it lasts an hour longer than their
        // retention time.
        assert_eq!(*simulation.granted_ttls.borrow(), [25 * 3600 * 1000]);
    });
}
