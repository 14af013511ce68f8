//! Tests of streams that end with their connection, without a length or a final chunk.

use crate::support::{Fixture, Step, body, event};

/// Guards against a stream without length that looks complete although it ends inside an event, and
/// against the part of that event in the stream that the caller gets.
#[compio::test]
async fn a_stream_that_ends_inside_an_event_is_resumed_or_aborted() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::EventsThenCut(vec![0]), Step::Events(vec![1])]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    assert_eq!(body(response).await, Some(event(0) + &event(1)));
    fixture.push_steps([Step::EventsThenCut(vec![0])]);
    let response = fixture.send("/single/x").await.expect("the stream begins");
    assert_eq!(body(response).await, None);
}

/// Guards against a stream that ends between two events and is taken for broken off.
#[compio::test]
async fn a_stream_that_ends_between_events_is_complete() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::Events(vec![0, 1])]);
    let response = fixture.send("/single/x").await.expect("the stream begins");
    assert_eq!(body(response).await, Some(event(0) + &event(1)));
}
