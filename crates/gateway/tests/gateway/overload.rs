//! Requests at a gateway whose engines have little capacity left.

use std::time::Duration;

use callers::{GenerationSize, RoutedRequest, Router};

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
    let fixture = Fixture::ready_with_overload("max_fill = 0.6\nfill_taper = 0.0").await;
    let mut times = Vec::new();
    for _ in 0..3 {
        let failure = fixture.gateway.clone().route(sized(70)).await.err().expect("no room");
        times.push(failure.retry_after.expect("a refused caller is told when to retry"));
    }
    let third = Duration::from_millis(1000) / 3;
    assert!(times.iter().all(|time| (Duration::from_millis(200)..third).contains(time)));
    assert!(times[0] != times[1] || times[1] != times[2], "{times:?}");
}
