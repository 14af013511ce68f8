//! Guards against a request that crashes one engine after the other, and against the refusal of
//! requests that only shared an engine with it or met another fault.

#[expect(dead_code, reason = "the other tests of the node use the rest")]
mod support;

use engines::api::Event;
use support::{Bench, Running, Started, text, with_bench};
use types::{FailureKind, UpstreamName, Verdict};

/// Ends the engine that the newest attempt uses as its first stage.
async fn crash(bench: &Bench) -> UpstreamName {
    let stream = bench.newest();
    let engine = stream.stages()[0].clone();
    bench.fleet.dead.borrow_mut().push(engine.clone());
    break_stream(bench, &stream).await;
    engine
}

/// Breaks the connection of a stream.
async fn break_stream(bench: &Bench, stream: &Started) {
    stream.events.close_channel();
    bench.settle().await;
}

/// Waits until an attempt has started.
async fn wait_attempt(bench: &Bench, count: usize) {
    for _ in 0..1000 {
        if bench.count() >= count {
            return;
        }
        bench.advance(5).await;
    }
    panic!("attempt {count} was not started");
}

async fn finish(bench: &Bench, tokens: u32) {
    let stream = bench.newest();
    bench.send(&stream, stream.request.given.len() as u32..tokens).await;
    stream.send(Event::End);
    bench.settle().await;
}

fn failure(running: &Running) -> Option<(FailureKind, Verdict)> {
    let result = running.result.borrow();
    result.as_ref()?.as_ref().err().map(|failure| (failure.kind, failure.verdict))
}

#[test]
fn request_is_refused_after_two_crashes() {
    with_bench(|bench| async move {
        let running = bench.complete(6).await;
        let first = crash(&bench).await;
        bench.advance(50).await;
        assert_eq!((bench.count(), failure(&running)), (2, None));
        assert_ne!(crash(&bench).await, first);
        bench.advance(50).await;
        let refused = Some((FailureKind::Poison, Verdict::MayHaveRun));
        assert_eq!((bench.count(), failure(&running)), (2, refused));
        // Both engines are back, and the caller sends the request again.
        bench.fleet.dead.borrow_mut().clear();
        bench.advance(5000).await;
        let again = bench.complete(6).await;
        assert_eq!((bench.count(), failure(&again)), (2, refused));
        // Another request runs.
        let other = bench.complete(7).await;
        finish(&bench, 7).await;
        assert_eq!(*other.text.borrow(), text(7));
    });
}

#[test]
fn restart_counts_as_a_crash() {
    with_bench(|bench| async move {
        let running = bench.complete(6).await;
        for _ in 0..2 {
            let stream = bench.newest();
            bench.fleet.restarted.borrow_mut().push(stream.stages()[0].clone());
            break_stream(&bench, &stream).await;
            bench.advance(50).await;
        }
        assert_eq!((bench.count(), failure(&running).map(|f| f.0)), (2, Some(FailureKind::Poison)));
    });
}

#[test]
fn success_clears_crashes() {
    with_bench(|bench| async move {
        for _ in 0..3 {
            let running = bench.complete(6).await;
            crash(&bench).await;
            bench.advance(50).await;
            finish(&bench, 6).await;
            assert_eq!(*running.text.borrow(), text(6));
            bench.fleet.dead.borrow_mut().clear();
            bench.advance(5000).await;
        }
    });
}

#[test]
fn broken_connection_is_no_crash() {
    with_bench(|bench| async move {
        let running = bench.complete(6).await;
        for _ in 0..2 {
            let count = bench.count();
            break_stream(&bench, &bench.newest()).await;
            wait_attempt(&bench, count + 1).await;
        }
        finish(&bench, 6).await;
        assert_eq!((bench.count(), running.text.borrow().as_str()), (3, &*text(6)));
    });
}

#[test]
fn suspect_is_not_sent_to_an_engine_that_ended_before() {
    with_bench(|bench| async move {
        let running = bench.complete(6).await;
        let stages = bench.newest().stages();
        // A whole domain is lost, and the node has not noticed it yet.
        let spare = if stages[0].as_str() == "a0" { "a1" } else { "a0" };
        bench.fleet.dead.borrow_mut().push(spare.into());
        crash(&bench).await;
        bench.advance(50).await;
        assert_eq!((bench.count(), failure(&running)), (1, None));
        bench.fleet.dead.borrow_mut().clear();
        wait_attempt(&bench, 2).await;
        finish(&bench, 6).await;
        assert_eq!((bench.count(), running.text.borrow().as_str()), (2, &*text(6)));
    });
}
