//! Requests at a gateway whose engines have little capacity left.

use std::time::Duration;

use callers::{GenerationSize, RoutedRequest, Router};
use compio::runtime::spawn;
use futures_util::future::join;

use crate::support::{Fixture, Step, body, request};

/// Tokens that fill the KV cache of an engine.
const CAPACITY: u32 = 150_000;

/// A request whose tokens take this many percent of an engine's KV cache.
fn sized(percent: u32) -> RoutedRequest {
    let output = 1;
    let prompt = CAPACITY * percent / 100 - output;
    let generation = Some(GenerationSize { prompt, output, output_hint: None });
    RoutedRequest { generation, ..request("/drafts/x") }
}

/// Guards against fill limits of the settings that have no effect, and against a table without keys
/// that changes the limit of a node without it.
#[compio::test]
async fn fill_limits_come_from_the_settings() {
    let limits = |most| format!("max_fill = {most}\nfill_taper = 0.0\nfill_spread = 0.0");
    for (settings, percent, is_admitted) in [
        (None, 91, true),
        (None, 94, false),
        (Some(limits("1.0")), 94, true),
        (Some(limits("0.8")), 79, true),
        (Some(limits("0.8")), 82, false),
    ] {
        let fixture = match &settings {
            Some(settings) => Fixture::ready_with_overload(settings).await,
            None => Fixture::ready().await,
        };
        fixture.push_steps([Step::Events(vec![0])]);
        let answer = fixture.gateway.clone().route(sized(percent)).await;
        assert_eq!(answer.is_ok(), is_admitted, "{settings:?} at {percent} percent");
        if let Ok(response) = answer {
            body(response).await;
        }
    }
}

/// Guards against refused callers that all come back after the same time, and against one that is
/// told a time beyond a third of what its request has left.
#[compio::test]
async fn refused_callers_are_told_different_times() {
    let fixture = Fixture::ready_with_overload("max_fill = 0.6").await;
    let mut times = Vec::new();
    for _ in 0..3 {
        let failure = fixture.gateway.clone().route(sized(70)).await.err().expect("no room");
        times.push(failure.retry_after.expect("a refused caller is told when to retry"));
    }
    let third = Duration::from_millis(1000) / 3;
    assert!(times.iter().all(|time| (Duration::from_millis(200)..third).contains(time)));
    assert!(times[0] != times[1] || times[1] != times[2], "{times:?}");
}

/// Settings of a node whose requests wait longer than [`BUSY`] and have the same fill limits when they
/// are late.
const LONG_WAIT: &str = "wait_share = 4.0\nfill_spread = 0.0";
/// Time for which the streams of [`Fixture::fill`] occupy the engines. It is longer than half of the
/// latency target.
const BUSY: Duration = Duration::from_millis(300);

impl Fixture {
    /// Fills both replicas of the model with a stream each, for [`BUSY`].
    async fn fill(&self) {
        for _ in 0..2 {
            let (before, after) = (vec![0], vec![1]);
            self.push_steps([Step::EventsAroundPause { before, pause: BUSY, after }]);
            let response = self.gateway.clone().route(sized(70)).await.expect("there is room");
            spawn(body(response)).detach();
        }
    }
}

/// Guards against requests that are refused although capacity for them is freed within the time of
/// the settings, and against a longer wait on a node without them.
#[compio::test]
async fn requests_wait_for_the_time_of_the_settings() {
    for (fixture, is_admitted) in [
        (Fixture::ready().await, false),
        (Fixture::ready_with_overload("").await, false),
        (Fixture::ready_with_overload(LONG_WAIT).await, true),
    ] {
        fixture.fill().await;
        fixture.push_steps([Step::Events(vec![0])]);
        let answer = fixture.gateway.clone().route(sized(70)).await;
        assert_eq!(answer.is_ok(), is_admitted);
    }
}

/// Guards against a queue without a bound: with one place, one of two requests is refused at once
/// and the other one gets the capacity that is freed.
#[compio::test]
async fn the_queue_of_a_node_is_bounded() {
    let fixture = Fixture::ready_with_overload(&format!("queue_length = 1\n{LONG_WAIT}")).await;
    fixture.fill().await;
    fixture.push_steps([Step::Events(vec![0])]);
    let send = || fixture.gateway.clone().route(sized(70));
    let (first, second) = join(send(), send()).await;
    assert!(first.is_ok());
    let failure = second.err().expect("the queue is full");
    assert!(failure.failure.message.contains("too many requests wait"), "{failure:?}");
}

/// Guards against a caller that leaves while its request waits, and is counted as waiting for ever.
#[compio::test]
async fn a_caller_that_leaves_waits_no_longer() {
    let fixture = Fixture::ready_with_overload(LONG_WAIT).await;
    fixture.fill().await;
    let waiting = |count| {
        let metrics = String::from_utf8_lossy(&fixture.gateway.metrics()).into_owned();
        metrics.contains(&format!("gypsumrack_waiting {count}\n"))
    };
    let request = fixture.gateway.clone().route(sized(70));
    let task = spawn(request);
    compio::time::sleep(Duration::from_millis(20)).await;
    assert!(waiting(1));
    drop(task);
    compio::time::sleep(Duration::from_millis(20)).await;
    assert!(waiting(0));
}
