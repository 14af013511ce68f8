//! Guards against tokens that are lost, repeated or of another attempt when a stage fails or
//! leaves, and against decisions that are made too late.

mod support;

use callers::Backend;
use engines::api::{Event, StreamFault};
use operators::AdminApi;
use support::{Bench, text, token, with_bench};
use types::{FailureKind, Verdict};

/// The value of a counter in the node's metrics.
fn counter(bench: &Bench, name: &str) -> String {
    let metrics = bench.node.metrics();
    let line = metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_default().to_owned()
}

#[test]
fn dead_stage_is_left_and_late_events_are_dropped() {
    with_bench(|bench| async move {
        let running = bench.complete(6).await;
        let first = bench.newest();
        bench.send(&first, 0..3).await;
        let dead = first.stages()[1].clone();
        bench.fleet.silent.borrow_mut().push(dead.clone());
        bench.advance(700).await;
        let second = bench.newest();
        assert_eq!((bench.count(), second.request.attempt), (2, 2), "no new attempt in 700 ms");
        assert_eq!(second.request.given, [0, 1, 2]);
        assert_eq!(second.request.session, first.request.session);
        assert!(!second.stages().contains(&dead));
        let cancelled: Vec<_> = bench
            .fleet
            .cancels
            .borrow()
            .iter()
            .map(|(name, c)| (name.clone(), c.attempt))
            .collect();
        assert_eq!(cancelled, first.stages().into_iter().map(|n| (n, 1)).collect::<Vec<_>>());
        // The old attempt wakes up.
        bench.send(&first, 3..6).await;
        first.send(Event::End);
        bench.settle().await;
        assert_eq!(*running.text.borrow(), text(3));
        bench.send(&second, 3..6).await;
        second.send(Event::End);
        bench.settle().await;
        assert_eq!(*running.text.borrow(), text(6));
        assert_eq!(running.result.borrow().as_ref().unwrap().as_ref().unwrap().attempts, 2);
        // Other requests do not try the dead stage, although the first suspicion is old.
        for _ in 0..8 {
            bench.advance(600).await;
            bench.complete(1).await;
            assert!(!bench.newest().stages().contains(&dead));
        }
    });
}

#[test]
fn tokens_out_of_order_or_of_others_never_reach_the_caller() {
    with_bench(|bench| async move {
        let running = bench.complete(8).await;
        let other = bench.complete(8).await;
        assert_ne!(
            bench.fleet.started.borrow()[0].request.session,
            bench.newest().request.session,
            "two requests with the same identifier share a session"
        );
        // The other request ends first, since waiting for retries below would let it stall.
        let whole = bench.newest();
        bench.send(&whole, 0..8).await;
        whole.send(Event::End);
        bench.settle().await;
        let mut given = 0;
        for case in 0..5 {
            let stream = bench.fleet.started.borrow()[if case == 0 { 0 } else { case + 1 }].clone();
            bench.send(&stream, given..given + 1).await;
            given += 1;
            let mut wrong = token(&stream.request, given);
            match case {
                0 => wrong = token(&stream.request, given - 1),
                1 => wrong = token(&stream.request, given + 1),
                2 => wrong.attempt -= 1,
                3 => wrong.session = "other".into(),
                _ => wrong.receipts.iter_mut().for_each(|receipt| receipt.end += 1),
            }
            stream.send(Event::Token(wrong));
            // From the second failure on, the retry budget allows one attempt a second.
            let (before, mut waited) = (bench.count(), 0);
            while bench.count() == before && waited < 1200 {
                bench.advance(10).await;
                waited += 10;
            }
            assert_eq!(*running.text.borrow(), text(given), "case {case}");
            assert_eq!(bench.newest().request.given.len() as u32, given, "case {case}");
        }
        assert_eq!(counter(&bench, "gypsumrack_layer_violations_total"), "5");
        assert_eq!(*other.text.borrow(), text(8));
    });
}

#[test]
fn first_token_at_another_position_ends_a_new_attempt() {
    with_bench(|bench| async move {
        let running = bench.complete(4).await;
        let first = bench.newest();
        bench.send(&first, 0..2).await;
        first.send(Event::Failed { engine: None, reason: StreamFault::Superseded });
        bench.advance(10).await;
        // The receipts agree with each other, but a position of the prompt is missing.
        let mut wrong = token(&bench.newest().request, 2);
        wrong.receipts.iter_mut().for_each(|receipt| receipt.end -= 1);
        bench.newest().send(Event::Token(wrong));
        bench.advance(50).await;
        assert_eq!((running.text.borrow().as_str(), bench.count()), (&*text(2), 3));
        assert_eq!(counter(&bench, "gypsumrack_layer_violations_total"), "1");
    });
}

#[test]
fn stalls_without_a_probe_result_single_out_the_common_engine() {
    with_bench(|bench| async move {
        let stalled = bench.complete(500).await;
        let route = bench.newest();
        bench.send(&route, 0..1).await;
        // A second stream through the same first stage, but another second one, goes on.
        let mut healthy = None;
        for _ in 0..40 {
            bench.complete(500).await;
            let stream = bench.newest();
            if stream.stages()[0] == route.stages()[0] && stream.stages()[1] != route.stages()[1] {
                healthy = Some(stream);
                break;
            }
            stream.send(Event::Failed { engine: None, reason: StreamFault::CacheMissing });
        }
        let healthy = healthy.expect("routes vary");
        let count = bench.count();
        bench.send(&healthy, 0..90).await;
        assert!(bench.count() > count, "no new attempt");
        let again: Vec<_> = bench.fleet.started.borrow()[count..]
            .iter()
            .filter(|started| started.request.session == route.request.session)
            .map(|started| started.stages())
            .collect();
        assert!(!again.is_empty(), "the stalled request has no new attempt within 450 ms");
        assert!(!again[0].contains(&route.stages()[1]), "the stalled stage was used again");
        assert_eq!(*stalled.text.borrow(), text(1));
    });
}

async fn move_stream(bench: &Bench) -> (support::Started, support::Running) {
    let running = bench.complete(400).await;
    let first = bench.newest();
    bench.send(&first, 0..8).await;
    bench.fleet.leaving.borrow_mut().push(first.stages()[1].clone());
    // The next poll reads the report, and the token after it shows it to the stream.
    bench.advance(250).await;
    first.send(Event::Token(token(&first.request, 8)));
    bench.advance(260).await;
    first.send(Event::Token(token(&first.request, 9)));
    bench.settle().await;
    let (name, cancel) = bench.fleet.cancels.borrow()[0].clone();
    assert!(cancel.at_step_end && name == first.stages()[0], "{name}: {cancel:?}");
    first.send(Event::Paused);
    bench.settle().await;
    assert_eq!(*bench.fleet.exports.borrow(), [first.stages()[1].clone()]);
    assert_eq!(bench.count(), 2);
    let second = bench.newest();
    assert_eq!(second.request.given.len(), 10);
    assert_ne!(second.stages()[1], first.stages()[1]);
    (first, running)
}

#[test]
fn stream_moves_from_a_leaving_engine_with_its_cache() {
    with_bench(|bench| async move {
        let (first, running) = move_stream(&bench).await;
        let second = bench.newest();
        assert!(second.request.resume);
        assert_eq!(second.stages()[0], first.stages()[0], "a stage that stays was moved");
        assert_eq!(bench.fleet.imports.borrow()[0].0, second.stages()[1]);
        bench.send(&second, 10..400).await;
        second.send(Event::End);
        bench.settle().await;
        assert_eq!(*running.text.borrow(), text(400));
        assert!(running.result.borrow().as_ref().unwrap().is_ok());
    });
}

#[test]
fn failed_transfer_falls_back_to_a_prefill() {
    with_bench(|bench| async move {
        bench.fleet.refuse_import.set(true);
        let (_, running) = move_stream(&bench).await;
        let second = bench.newest();
        assert!(!second.request.resume);
        assert_eq!(counter(&bench, "gypsumrack_transfers_failed_total"), "1");
        bench.send(&second, 10..12).await;
        assert_eq!(*running.text.borrow(), text(12));
    });
}

#[test]
fn shutdown_lets_streams_finish_and_cuts_the_rest_with_a_verdict() {
    with_bench(|bench| async move {
        let finishing = bench.complete(20).await;
        let stream = bench.newest();
        let hanging = bench.complete(900).await;
        let other = bench.newest();
        bench.stop.raise();
        assert!(!bench.node.is_accepting());
        bench.send(&stream, 0..20).await;
        stream.send(Event::End);
        bench.send(&other, 0..340).await;
        assert!(finishing.result.borrow().as_ref().unwrap().is_ok());
        assert!(hanging.result.borrow().is_none(), "cut before the drain deadline");
        bench.send(&other, 340..400).await;
        let failure = hanging.result.borrow().clone().unwrap().unwrap_err();
        assert_eq!((failure.kind, failure.verdict), (FailureKind::Draining, Verdict::MayHaveRun));
    });
}
