//! Guards against a request that crashes one engine after the other, and against the refusal of
//! requests that only ran beside it on an engine or failed for another reason.

#[expect(dead_code, reason = "the other tests of the node use the rest")]
mod support;

use engines::api::Event;
use support::{Harness, RunningCompletion, StartedStream, expected_text, with_harness};
use types::{FailureKind, UpstreamName, Verdict};

/// Stops the engine that is the first stage of the newest attempt, and breaks the attempt's stream.
async fn crash_first_stage(harness: &Harness) -> UpstreamName {
    let stream = harness.newest_stream();
    let engine = stream.stages()[0].clone();
    harness.fleet.stopped.borrow_mut().push(engine.clone());
    break_stream(harness, &stream).await;
    engine
}

/// Closes a stream as a broken connection does.
async fn break_stream(harness: &Harness, stream: &StartedStream) {
    stream.events.close_channel();
    harness.run_until_idle().await;
}

/// Waits until the attempt with this number has started.
async fn wait_for_attempt(harness: &Harness, attempt: usize) {
    for _ in 0..1000 {
        if harness.stream_count() >= attempt {
            return;
        }
        harness.advance(5).await;
    }
    panic!("attempt {attempt} was not started");
}

/// Sends the remaining tokens of the newest stream, up to `tokens`, and its end.
async fn finish_newest_stream(harness: &Harness, tokens: u32) {
    let stream = harness.newest_stream();
    harness.send_tokens(&stream, stream.request.given.len() as u32..tokens).await;
    stream.send_event(Event::End);
    harness.run_until_idle().await;
}

/// Kind and verdict of the failure of a completion, if it has failed.
fn failure(running: &RunningCompletion) -> Option<(FailureKind, Verdict)> {
    let result = running.result.borrow();
    result.as_ref()?.as_ref().err().map(|failure| (failure.kind, failure.verdict))
}

#[test]
fn request_is_refused_after_two_crashes() {
    with_harness(|harness| async move {
        let running = harness.complete(6).await;
        let first = crash_first_stage(&harness).await;
        harness.advance(50).await;
        assert_eq!((harness.stream_count(), failure(&running)), (2, None));
        assert_ne!(crash_first_stage(&harness).await, first);
        harness.advance(50).await;
        let refused = Some((FailureKind::Poison, Verdict::MayHaveRun));
        assert_eq!((harness.stream_count(), failure(&running)), (2, refused));
        // Both engines run again, and the caller sends the request again.
        harness.fleet.stopped.borrow_mut().clear();
        harness.advance(5000).await;
        let again = harness.complete(6).await;
        assert_eq!((harness.stream_count(), failure(&again)), (2, refused));
        // Another request runs.
        let other = harness.complete(7).await;
        finish_newest_stream(&harness, 7).await;
        assert_eq!(*other.text.borrow(), expected_text(7));
    });
}

/// Guards against a crash that is not counted because the probe after it still reaches the ending
/// process: a request then crashed a third engine.
#[test]
fn crash_counts_although_the_ending_process_accepts_one_more_connection() {
    with_harness(|harness| async move {
        let running = harness.complete(6).await;
        let stream = harness.newest_stream();
        harness.fleet.ending.borrow_mut().push(stream.stages()[0].clone());
        break_stream(&harness, &stream).await;
        harness.advance(50).await;
        crash_first_stage(&harness).await;
        harness.advance(50).await;
        let refused = Some((FailureKind::Poison, Verdict::MayHaveRun));
        assert_eq!((harness.stream_count(), failure(&running)), (2, refused));
    });
}

#[test]
fn restart_counts_as_a_crash() {
    with_harness(|harness| async move {
        let running = harness.complete(6).await;
        for _ in 0..2 {
            let stream = harness.newest_stream();
            harness.fleet.restarted.borrow_mut().push(stream.stages()[0].clone());
            break_stream(&harness, &stream).await;
            harness.advance(50).await;
        }
        assert_eq!(
            (harness.stream_count(), failure(&running).map(|f| f.0)),
            (2, Some(FailureKind::Poison))
        );
    });
}

#[test]
fn success_clears_the_crashes_of_a_request() {
    with_harness(|harness| async move {
        for _ in 0..3 {
            let running = harness.complete(6).await;
            crash_first_stage(&harness).await;
            harness.advance(50).await;
            finish_newest_stream(&harness, 6).await;
            assert_eq!(*running.text.borrow(), expected_text(6));
            harness.fleet.stopped.borrow_mut().clear();
            harness.advance(5000).await;
        }
    });
}

#[test]
fn broken_connection_does_not_count_as_a_crash() {
    with_harness(|harness| async move {
        let running = harness.complete(6).await;
        for _ in 0..2 {
            let count = harness.stream_count();
            break_stream(&harness, &harness.newest_stream()).await;
            wait_for_attempt(&harness, count + 1).await;
        }
        finish_newest_stream(&harness, 6).await;
        assert_eq!(
            (harness.stream_count(), running.text.borrow().as_str()),
            (3, &*expected_text(6))
        );
    });
}

#[test]
fn suspect_is_not_sent_to_an_engine_that_has_already_stopped() {
    with_harness(|harness| async move {
        let running = harness.complete(6).await;
        let stages = harness.newest_stream().stages();
        // A whole failure domain is lost, and the node has not noticed it yet.
        let spare = if stages[0].as_str() == "a0" { "a1" } else { "a0" };
        harness.fleet.stopped.borrow_mut().push(spare.into());
        crash_first_stage(&harness).await;
        harness.advance(50).await;
        assert_eq!((harness.stream_count(), failure(&running)), (1, None));
        harness.fleet.stopped.borrow_mut().clear();
        wait_for_attempt(&harness, 2).await;
        finish_newest_stream(&harness, 6).await;
        assert_eq!(
            (harness.stream_count(), running.text.borrow().as_str()),
            (2, &*expected_text(6))
        );
    });
}
