//! Paths that meet the latency targets of a route.

use std::time::Duration;

use callers::Router;
use futures_util::future::{Either, select};

use crate::support::{Fixture, LogCapture, Step, body, event, request};

/// Time within which a node has read a new routing table.
const READ_TIME: Duration = Duration::from_millis(800);

/// The lines of a node's metrics that start with `name`.
fn metric(fixture: &Fixture, name: &str) -> String {
    let text = String::from_utf8(fixture.gateway.metrics().to_vec()).unwrap();
    text.lines().filter(|line| line.starts_with(name)).collect::<Vec<_>>().join("\n")
}

/// Guards against prompts that stay counted after their stream has begun or was abandoned, which
/// would keep new requests away from their engines for good.
#[compio::test]
async fn prompts_are_unread_until_the_first_event_or_the_end() {
    let fixture = Fixture::ready_with_overload("").await;
    fixture.store.write("table", Some("2 timed"));
    compio::time::sleep(READ_TIME).await;
    fixture.push_steps([Step::Silent, Step::EventsThenSilence(vec![0])]);
    let silent = fixture.gateway.clone().route(request("/single/x"));
    let sleep = Box::pin(compio::time::sleep(Duration::from_millis(20)));
    let Either::Right(((), silent)) = select(silent, sleep).await else {
        panic!("a silent stream does not begin");
    };
    assert_eq!(metric(&fixture, "gypsumrack_unread_prompts"), "gypsumrack_unread_prompts 1");
    drop(silent);
    assert_eq!(metric(&fixture, "gypsumrack_unread_prompts"), "gypsumrack_unread_prompts 0");
    let response = fixture.send("/single/x").await.expect("the stream begins");
    assert_eq!(metric(&fixture, "gypsumrack_unread_prompts"), "gypsumrack_unread_prompts 0");
    drop(response);
    let paths = metric(&fixture, "gypsumrack_paths_total");
    assert_eq!(paths, "gypsumrack_paths_total{prediction=\"in-time\"} 2");
}

/// Guards against a node that serves nothing, or says nothing, when the configuration lacks the
/// times of the engines.
#[compio::test]
async fn a_configuration_without_times_is_reported_once_for_each_version() {
    let fixture = Fixture::ready_with_overload("").await;
    let capture = LogCapture::start();
    fixture.store.write("table", Some("2"));
    compio::time::sleep(READ_TIME).await;
    for number in 0..2 {
        fixture.push_steps([Step::Events(vec![0])]);
        let response = fixture.send("/drafts/x").await.expect("the stream begins");
        assert_eq!(body(response).await, Some(event(0)), "request {number}");
    }
    let text = capture.text();
    assert_eq!(text.matches("runtime values are missing").count(), 1, "{text}");
    let paths = metric(&fixture, "gypsumrack_paths_total");
    assert_eq!(paths, "gypsumrack_paths_total{prediction=\"late-or-unknown\"} 2");
}
