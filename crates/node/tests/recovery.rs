//! Guards against tokens that are lost, repeated or of another attempt when a stage fails or is
//! leaving, and against a recovery that starts too late.

mod support;

use callers::RequestHandler;
use engines::api::{Event, StreamFault};
use operators::AdminApi;
use support::{Harness, correct_token, expected_text, with_harness};
use types::{FailureKind, Verdict};

/// The value of a metric without labels.
fn metric_value(harness: &Harness, name: &str) -> String {
    let metrics = harness.node.metrics();
    let line = metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_default().to_owned()
}

#[test]
fn silent_stage_is_replaced_and_late_events_of_the_old_attempt_are_dropped() {
    with_harness(|harness| async move {
        let running = harness.complete(6).await;
        let first = harness.newest_stream();
        harness.send_tokens(&first, 0..3).await;
        let silent = first.stages()[1].clone();
        harness.fleet.silent.borrow_mut().push(silent.clone());
        harness.advance(700).await;
        let second = harness.newest_stream();
        assert_eq!(
            (harness.stream_count(), second.request.attempt),
            (2, 2),
            "no new attempt in 700 ms"
        );
        assert_eq!(second.request.given, [0, 1, 2]);
        assert_eq!(second.request.session, first.request.session);
        assert!(!second.stages().contains(&silent));
        let cancelled: Vec<_> = harness
            .fleet
            .cancels
            .borrow()
            .iter()
            .map(|(name, c)| (name.clone(), c.attempt))
            .collect();
        assert_eq!(cancelled, first.stages().into_iter().map(|n| (n, 1)).collect::<Vec<_>>());
        // The stream of the old attempt goes on.
        harness.send_tokens(&first, 3..6).await;
        first.send_event(Event::End);
        harness.run_until_idle().await;
        assert_eq!(*running.text.borrow(), expected_text(3));
        harness.send_tokens(&second, 3..6).await;
        second.send_event(Event::End);
        harness.run_until_idle().await;
        assert_eq!(*running.text.borrow(), expected_text(6));
        assert_eq!(running.result.borrow().as_ref().unwrap().as_ref().unwrap().attempts, 2);
        // Other requests still avoid the silent stage after the first suspicion has expired.
        for _ in 0..8 {
            harness.advance(600).await;
            harness.complete(1).await;
            assert!(!harness.newest_stream().stages().contains(&silent));
        }
    });
}

#[test]
fn tokens_out_of_order_or_of_another_attempt_or_session_never_reach_the_caller() {
    with_harness(|harness| async move {
        let running = harness.complete(8).await;
        let other = harness.complete(8).await;
        assert_ne!(
            harness.fleet.started.borrow()[0].request.session,
            harness.newest_stream().request.session,
            "two requests with the same identifier share a session"
        );
        // The other request ends first. Otherwise it would stall during the waits for retries
        // below.
        let whole = harness.newest_stream();
        harness.send_tokens(&whole, 0..8).await;
        whole.send_event(Event::End);
        harness.run_until_idle().await;
        let mut given = 0;
        for case in 0..5 {
            let stream =
                harness.fleet.started.borrow()[if case == 0 { 0 } else { case + 1 }].clone();
            harness.send_tokens(&stream, given..given + 1).await;
            given += 1;
            let mut wrong = correct_token(&stream.request, given);
            match case {
                0 => wrong = correct_token(&stream.request, given - 1),
                1 => wrong = correct_token(&stream.request, given + 1),
                2 => wrong.attempt -= 1,
                3 => wrong.session = "other".into(),
                _ => wrong.receipts.iter_mut().for_each(|receipt| receipt.end += 1),
            }
            stream.send_event(Event::Token(wrong));
            // From the second failure on, the retry budget allows one attempt a second.
            let (before, mut waited) = (harness.stream_count(), 0);
            while harness.stream_count() == before && waited < 1200 {
                harness.advance(10).await;
                waited += 10;
            }
            assert_eq!(*running.text.borrow(), expected_text(given), "case {case}");
            assert_eq!(harness.newest_stream().request.given.len() as u32, given, "case {case}");
        }
        assert_eq!(metric_value(&harness, "gypsumrack_layer_violations_total"), "5");
        assert_eq!(*other.text.borrow(), expected_text(8));
    });
}

#[test]
fn attempt_whose_first_token_shows_another_prompt_length_fails() {
    with_harness(|harness| async move {
        let running = harness.complete(4).await;
        let first = harness.newest_stream();
        harness.send_tokens(&first, 0..2).await;
        first.send_event(Event::Failed { engine: None, reason: StreamFault::Superseded });
        harness.advance(10).await;
        // The receipts agree with each other, but a position of the prompt is missing.
        let mut wrong = correct_token(&harness.newest_stream().request, 2);
        wrong.receipts.iter_mut().for_each(|receipt| receipt.end -= 1);
        harness.newest_stream().send_event(Event::Token(wrong));
        harness.advance(50).await;
        assert_eq!(
            (running.text.borrow().as_str(), harness.stream_count()),
            (&*expected_text(2), 3)
        );
        assert_eq!(metric_value(&harness, "gypsumrack_layer_violations_total"), "1");
    });
}

#[test]
fn stall_is_attributed_to_the_stage_that_serves_no_other_stream() {
    with_harness(|harness| async move {
        let stalled = harness.complete(500).await;
        let route = harness.newest_stream();
        harness.send_tokens(&route, 0..1).await;
        // A second stream makes progress with the same first stage, but another second stage.
        let mut healthy = None;
        for _ in 0..40 {
            harness.complete(500).await;
            let stream = harness.newest_stream();
            if stream.stages()[0] == route.stages()[0] && stream.stages()[1] != route.stages()[1] {
                healthy = Some(stream);
                break;
            }
            stream.send_event(Event::Failed { engine: None, reason: StreamFault::CacheMissing });
        }
        let healthy = healthy.expect("routes vary");
        let count = harness.stream_count();
        harness.send_tokens(&healthy, 0..90).await;
        assert!(harness.stream_count() > count, "no new attempt");
        let again: Vec<_> = harness.fleet.started.borrow()[count..]
            .iter()
            .filter(|started| started.request.session == route.request.session)
            .map(|started| started.stages())
            .collect();
        assert!(!again.is_empty(), "the stalled request has no new attempt within 450 ms");
        assert!(!again[0].contains(&route.stages()[1]), "the stalled stage was used again");
        assert_eq!(*stalled.text.borrow(), expected_text(1));
    });
}

/// Lets the second stage of a stream leave after 10 tokens, so that the stream is paused and a new
/// attempt starts. Returns the first stream and the completion.
async fn move_stream(harness: &Harness) -> (support::StartedStream, support::RunningCompletion) {
    let running = harness.complete(400).await;
    let first = harness.newest_stream();
    harness.send_tokens(&first, 0..8).await;
    harness.fleet.leaving.borrow_mut().push(first.stages()[1].clone());
    // The next poll reads the engine's report. The node checks for leaving engines when the next
    // token of the stream arrives.
    harness.advance(250).await;
    first.send_event(Event::Token(correct_token(&first.request, 8)));
    harness.advance(260).await;
    first.send_event(Event::Token(correct_token(&first.request, 9)));
    harness.run_until_idle().await;
    let (name, cancel) = harness.fleet.cancels.borrow()[0].clone();
    assert!(cancel.at_step_end && name == first.stages()[0], "{name}: {cancel:?}");
    first.send_event(Event::Paused);
    harness.run_until_idle().await;
    assert_eq!(*harness.fleet.exports.borrow(), [first.stages()[1].clone()]);
    assert_eq!(harness.stream_count(), 2);
    let second = harness.newest_stream();
    assert_eq!(second.request.given.len(), 10);
    assert_ne!(second.stages()[1], first.stages()[1]);
    (first, running)
}

#[test]
fn stream_moves_from_a_leaving_engine_with_its_cache() {
    with_harness(|harness| async move {
        let (first, running) = move_stream(&harness).await;
        let second = harness.newest_stream();
        assert!(second.request.resume);
        assert_eq!(second.stages()[0], first.stages()[0], "a stage that stays was moved");
        assert_eq!(harness.fleet.imports.borrow()[0].0, second.stages()[1]);
        harness.send_tokens(&second, 10..400).await;
        second.send_event(Event::End);
        harness.run_until_idle().await;
        assert_eq!(*running.text.borrow(), expected_text(400));
        assert!(running.result.borrow().as_ref().unwrap().is_ok());
    });
}

#[test]
fn failed_transfer_falls_back_to_a_prefill() {
    with_harness(|harness| async move {
        harness.fleet.refuse_import.set(true);
        let (_, running) = move_stream(&harness).await;
        let second = harness.newest_stream();
        assert!(!second.request.resume);
        assert_eq!(metric_value(&harness, "gypsumrack_transfers_failed_total"), "1");
        harness.send_tokens(&second, 10..12).await;
        assert_eq!(*running.text.borrow(), expected_text(12));
    });
}

#[test]
fn shutdown_lets_streams_finish_until_the_drain_deadline_and_fails_the_rest() {
    with_harness(|harness| async move {
        let finishing = harness.complete(20).await;
        let stream = harness.newest_stream();
        let hanging = harness.complete(900).await;
        let other = harness.newest_stream();
        harness.stop.raise();
        assert!(!harness.node.is_accepting());
        harness.send_tokens(&stream, 0..20).await;
        stream.send_event(Event::End);
        harness.send_tokens(&other, 0..340).await;
        assert!(finishing.result.borrow().as_ref().unwrap().is_ok());
        assert!(hanging.result.borrow().is_none(), "cut before the drain deadline");
        harness.send_tokens(&other, 340..400).await;
        let failure = hanging.result.borrow().clone().unwrap().unwrap_err();
        assert_eq!((failure.kind, failure.verdict), (FailureKind::Draining, Verdict::MayHaveRun));
    });
}
