//! Requests at a gateway whose engines have little capacity left.

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
