//! Sound engines that fall silent for a while and go on.

use std::time::Duration;

use crate::support::{Fixture, Step, body, event};

/// Longer than the time within which a silent engine has to report, and than the largest gap of the
/// stream.
const PAUSE: Duration = Duration::from_millis(600);

/// A stream of events 0 to 2 that pauses after the first one.
fn paused_stream() -> Step {
    Step::EventsAroundPause { before: vec![0], pause: PAUSE, after: vec![1, 2] }
}

fn whole_stream() -> Option<String> {
    Some((0..3).map(event).collect())
}

/// Guards against a stream that is cut because its engine falls silent while the retry budget is
/// used up. In an incident of a large deployment, 51 streams ended that way.
#[compio::test]
async fn a_silent_stream_is_not_cut_when_the_retry_budget_is_used_up() {
    let fixture = Fixture::ready_without_retries().await;
    fixture.upstreams.silent_reports.set(true);
    fixture.push_steps([paused_stream()]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    assert_eq!(body(response).await, whole_stream());
    assert_eq!(fixture.called_upstreams().len(), 1);
}

/// Guards against a stream that is cut because its engine falls silent while no other path has
/// capacity or all layers.
#[compio::test]
async fn a_silent_stream_is_not_cut_when_there_is_no_other_path() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/e3", None);
    compio::time::sleep(Duration::from_millis(800)).await;
    fixture.upstreams.silent_reports.set(true);
    fixture.push_steps([paused_stream()]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    assert_eq!(body(response).await, whole_stream());
    assert_eq!(fixture.called_upstreams().len(), 1);
}

/// Guards against a stream that may not be resumed and is cut because its engine falls silent.
#[compio::test]
async fn a_silent_stream_that_cannot_be_resumed_is_not_cut() {
    let fixture = Fixture::ready().await;
    fixture.upstreams.silent_reports.set(true);
    fixture.push_steps([paused_stream()]);
    let response = fixture.send("/single/x").await.expect("the stream begins");
    assert_eq!(body(response).await, whole_stream());
}

/// Guards against a stream that leaves its silent engine for one that refuses the call, and is cut
/// although the silent engine goes on.
#[compio::test]
async fn a_silent_stream_goes_on_when_its_new_path_refuses_the_call() {
    let fixture = Fixture::ready().await;
    fixture.upstreams.silent_reports.set(true);
    fixture.push_steps([paused_stream()]);
    fixture.push_steps(vec![Step::Refuse(503); 5]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    assert_eq!(body(response).await, whole_stream());
}

/// Guards against a request that fails because its engines fall silent before the first event, while
/// the retry budget is used up.
#[compio::test]
async fn a_stream_that_has_not_begun_waits_for_its_silent_engine() {
    let fixture = Fixture::ready_without_retries().await;
    fixture.upstreams.silent_reports.set(true);
    fixture.push_steps([Step::EventsAroundPause { before: vec![], pause: PAUSE, after: vec![0] }]);
    let response = fixture.send("/drafts/x").await.expect("the engine goes on");
    assert_eq!(body(response).await, Some(event(0)));
}

/// Guards against an idempotent call that fails because its replica falls silent for longer than the
/// latency target, while the retry budget is used up.
#[compio::test]
async fn a_call_waits_for_its_silent_replica_when_the_retry_budget_is_used_up() {
    let fixture = Fixture::ready_without_retries().await;
    fixture.push_steps([Step::AnswerAfter { pause: PAUSE, body: "found" }]);
    let response = fixture.send("/any/x").await.expect("the replica goes on");
    assert_eq!(body(response).await.as_deref(), Some("found"));
}
