//! The lifecycle of a request, against upstreams that fail in various ways.

use std::{pin::pin, time::Duration};

use callers::Router;
use futures_util::future::{Either, select};
use types::{FailureKind, Verdict};

use crate::support::{Fixture, Step, body, event, request, run_for};

/// Guards against running a non-idempotent call twice: a failure after bytes were sent is reported
/// as "may have run" and is not retried.
#[compio::test]
async fn a_non_idempotent_call_that_may_have_run_is_not_retried() {
    for step in [Step::Broken, Step::Unsigned(200), Step::Unsigned(503), Step::Silent] {
        let fixture = Fixture::ready().await;
        fixture.push_steps([step.clone()]);
        let failure = fixture.send("/once/x").await.err().expect("the call fails");
        assert_eq!(failure.failure.verdict, Verdict::MayHaveRun, "{step:?}");
        assert_eq!(fixture.called_upstreams().len(), 1, "{step:?}");
        assert!(failure.retry_after.is_none(), "{step:?}");
    }
}

/// Guards against a failed call although no upstream ran it and another one could.
#[compio::test]
async fn a_call_that_was_not_run_is_retried_on_another_upstream() {
    for step in [Step::Refuse(503), Step::Unreachable, Step::Refuse(421)] {
        let fixture = Fixture::ready().await;
        fixture.push_steps([step.clone(), Step::Answer(200, "filed")]);
        let response = fixture.send("/once/x").await.expect("the call is answered");
        assert_eq!(body(response).await.as_deref(), Some("filed"), "{step:?}");
        let called_upstreams = fixture.called_upstreams();
        assert_eq!(called_upstreams.len(), 2);
        assert_ne!(called_upstreams[0], called_upstreams[1], "{step:?}");
    }
}

/// Guards against a refusal that says "not run" although an earlier attempt may have run.
#[compio::test]
async fn a_refusal_after_an_attempt_that_may_have_run_reports_may_have_run() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::Broken, Step::Refuse(503)]);
    let failure = fixture.send("/any/x").await.err().expect("both sends fail");
    assert_eq!(failure.failure.verdict, Verdict::MayHaveRun);
}

/// Guards against an idempotent call that fails because its first upstream fails.
#[compio::test]
async fn a_failed_idempotent_call_is_retried_on_another_upstream() {
    for step in [Step::Broken, Step::Silent, Step::Unsigned(200), Step::Answer(500, "no")] {
        let fixture = Fixture::ready().await;
        fixture.push_steps([step.clone(), Step::Answer(200, "found")]);
        let response = fixture.send("/any/x").await.expect("the call is answered");
        assert_eq!(body(response).await.as_deref(), Some("found"), "{step:?}");
    }
}

/// Guards against an upstream whose bytes, which are no answer, have no end and fill the memory of
/// the node: an answer without a signature is not read, and a signed one only up to a limit.
#[compio::test]
async fn an_answer_without_end_is_given_up_and_retried_elsewhere() {
    let fixture = Fixture::ready().await;
    let read = || fixture.upstreams.endless_bytes.get();
    fixture.push_steps([Step::Endless { status: 200, signed: false }, Step::Answer(200, "done")]);
    let response = fixture.send("/any/x").await.expect("the other replica answers");
    assert_eq!((body(response).await.as_deref(), read()), (Some("done"), 0));
    fixture.push_steps([Step::Endless { status: 200, signed: true }, Step::Answer(200, "done")]);
    let response = fixture.send("/any/x").await.expect("the other replica answers");
    assert_eq!(body(response).await.as_deref(), Some("done"));
    assert!(read() <= (4 << 20) + 4096, "{} bytes were read", read());
    // A call that may not be repeated may have run.
    fixture.push_steps([Step::Endless { status: 200, signed: false }]);
    let failure = fixture.send("/once/x").await.err().expect("the call is not repeated");
    assert_eq!(failure.failure.verdict, Verdict::MayHaveRun);
}

/// Guards against a stream of bytes that never end an event: it is left soon, and none of them
/// reach the caller.
#[compio::test]
async fn a_stream_of_bytes_that_are_no_events_is_left_for_another_path() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::Endless { status: 200, signed: true }, Step::Events(vec![0, 1])]);
    let response = fixture.send("/drafts/x").await.expect("the other path answers");
    assert_eq!(body(response).await, Some(event(0) + &event(1)));
    let read = fixture.upstreams.endless_bytes.get();
    assert!(read <= (64 << 10) + 4096, "{read} bytes were read");
}

/// Guards against a missing or repeated event in a stream whose engine failed.
#[compio::test]
async fn a_broken_stream_is_resumed_after_its_last_complete_event() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::EventsThenBroken(vec![0, 1, 2]), Step::Events(vec![3, 4])]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    let expected: String = (0..5).map(event).collect();
    assert_eq!(body(response).await, Some(expected));
    let calls = fixture.upstreams.calls.borrow();
    assert_eq!(calls[1].1.resume_after, Some(2));
}

/// Guards against a stream that appears complete although its end is missing.
#[compio::test]
async fn a_broken_stream_that_is_not_resumable_is_aborted() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::EventsThenBroken(vec![0, 1])]);
    let response = fixture.send("/single/x").await.expect("the stream begins");
    assert_eq!(body(response).await, None);
    assert_eq!(fixture.called_upstreams().len(), 1);
}

/// Guards against joining the events of two attempts out of order.
#[compio::test]
async fn a_resumed_stream_that_repeats_events_is_aborted() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::EventsThenBroken(vec![0, 1, 2]), Step::Events(vec![1, 2, 3])]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    assert_eq!(body(response).await, None);
}

/// Guards against the text of an error in the middle of a stream, and against a stream that ends as
/// if it were complete, when the upstream that should continue it answers with something else.
#[compio::test]
async fn an_answer_that_does_not_continue_a_broken_stream_is_not_joined_to_it() {
    for answer in [
        Step::Answer(500, "id: 2\ndata: error\n\n"),
        Step::Answer(404, "error\n\n"),
        Step::Answer(302, "moved\n\n"),
        Step::Answer(204, ""),
        Step::Answer(200, "HTTP/1.1 500 error\r\n\r\n"),
        Step::Answer(200, "id: 2\ndata: error\n\n"),
        Step::Events(vec![]),
    ] {
        let fixture = Fixture::ready().await;
        let steps = [Step::EventsThenBroken(vec![0, 1]), answer.clone(), Step::Events(vec![2, 3])];
        fixture.push_steps(steps);
        let response = fixture.send("/drafts/x").await.expect("the stream begins");
        let expected: String = (0..4).map(event).collect();
        assert_eq!(body(response).await, Some(expected), "{answer:?}");
        assert_eq!(fixture.upstreams.calls.borrow()[2].1.resume_after, Some(1));
    }
}

/// Guards against a stream that ends as if it were complete after no upstream has continued it.
#[compio::test]
async fn a_broken_stream_that_only_gets_errors_is_aborted() {
    let answers = [Step::Answer(500, "error\n\n"), Step::Events(vec![]), Step::Unsigned(200)];
    for answer in answers {
        let fixture = Fixture::ready().await;
        fixture.push_steps([Step::EventsThenBroken(vec![0, 1])]);
        fixture.push_steps(vec![answer; 8]);
        let response = fixture.send("/drafts/x").await.expect("the stream begins");
        assert_eq!(body(response).await, None);
        let mut entries = fixture.called_upstreams();
        entries.sort_unstable();
        entries.dedup();
        assert!(entries.len() <= 2, "the route allows two entry upstreams");
    }
}

/// Guards against an earlier refusal that a faulty upstream writes once more on a kept connection:
/// it has the identifier of the request that is sent there again, and would be taken for the answer.
#[compio::test]
async fn a_request_is_sent_again_to_an_upstream_that_refused_it_over_a_new_connection() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/e3", None);
    compio::time::sleep(Duration::from_millis(800)).await;
    // The path without the engine that is blamed for the refusal begins with the same engine.
    fixture.push_steps([Step::RefuseAt("10.0.1.4:80"), Step::Events(vec![0])]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    assert_eq!(body(response).await, Some(event(0)));
    assert_eq!(fixture.called_upstreams(), ["e1", "e1"]);
    let calls = fixture.upstreams.calls.borrow();
    assert!(!calls[0].1.new_connection, "the first call may use an idle connection");
    assert!(calls[1].1.new_connection);
}

/// Guards against an earlier answer on a kept connection that is taken for the answer to a request
/// that may run only once.
#[compio::test]
async fn a_request_that_may_run_once_is_sent_over_a_new_connection() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::Answer(200, "filed"), Step::Events(vec![0])]);
    fixture.send("/once/x").await.expect("the request is answered");
    let response = fixture.send("/single/x").await.expect("the stream begins");
    assert_eq!(body(response).await, Some(event(0)));
    assert!(fixture.upstreams.calls.borrow().iter().all(|(_, call)| call.new_connection));
}

/// Guards against a stream that waits for a dead engine until the previous engine on its path times
/// out.
#[compio::test]
async fn a_silent_stream_leaves_an_engine_that_blocks_its_calls() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::EventsThenSilence(vec![0]), Step::Events(vec![1])]);
    let second = |name: &str| if name == "e1" { "10.0.1.2:80" } else { "10.0.1.4:80" };
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    let first = fixture.called_upstreams()[0].clone();
    fixture.upstreams.blocked_on.borrow_mut().push(second(&first).parse().unwrap());
    assert_eq!(body(response).await, Some(event(0) + &event(1)));
    let calls = fixture.upstreams.calls.borrow();
    let blocked = second(&first).parse().unwrap();
    assert!(calls[1].1.stages.iter().all(|stage| stage.addr != blocked));
}

/// Guards against a stream that learns of a dead engine only from another engine's report, which
/// comes 200 ms later: by then the stream's next event is late.
#[compio::test]
async fn a_silent_stream_leaves_an_engine_that_refuses_connections() {
    let fixture = Fixture::ready().await;
    let (response, stopped) = fixture.start_silent_stream().await;
    fixture.upstreams.stopped.borrow_mut().push(stopped.into());
    assert_eq!(body(response).await, Some(event(0) + &event(1)));
    let calls = fixture.upstreams.calls.borrow();
    assert!(calls[1].1.stages.iter().all(|stage| &*stage.engine != stopped));
}

/// Sends a request whose stream falls silent, and disconnects after a while. Returns the entry
/// engine.
async fn abandon_silent_stream(fixture: &Fixture) -> String {
    let before = fixture.called_upstreams().len();
    fixture.push_steps([Step::EventsThenSilence(vec![0])]);
    // The stream may leave a slow engine before the caller disconnects.
    fixture.push_steps(vec![Step::Silent; 5]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    let entry = fixture.called_upstreams().swap_remove(before);
    let second = if entry == "e1" { "e2" } else { "e4" };
    let mut answer = pin!(body(response));
    let waiting = pin!(run_for(Duration::from_millis(150)));
    let is_silent = matches!(select(answer.as_mut(), waiting).await, Either::Right(_));
    assert!(is_silent, "the stream has ended");
    let reports = fixture.upstreams.reports.borrow();
    assert!(reports.iter().any(|name| name == second), "{second} is asked for its pace");
    fixture.upstreams.steps.borrow_mut().clear();
    entry
}

/// Guards against requests that are still sent to a slow engine while another replica of the model
/// has capacity.
#[compio::test]
async fn new_requests_avoid_a_slow_engine() {
    let fixture = Fixture::ready().await;
    *fixture.upstreams.slow.borrow_mut() = Some("e2".into());
    // Equally good paths are chosen at random, and the slow engine is unknown until a request has
    // used it.
    let mut attempts = 0;
    while abandon_silent_stream(&fixture).await != "e1" {
        attempts += 1;
        assert!(attempts < 64, "the slow engine was never chosen");
    }
    for _ in 0..6 {
        assert_eq!(abandon_silent_stream(&fixture).await, "e3");
    }
}

/// Guards against streams that stay on a path whose engine has become many times slower, until
/// their callers disconnect. On one day of a large deployment, 1,200 streams ended that way.
#[compio::test]
async fn a_stream_leaves_a_very_slow_engine_for_a_faster_path() {
    let fixture = Fixture::ready().await;
    let (response, slow) = fixture.start_silent_stream().await;
    *fixture.upstreams.slow.borrow_mut() = Some(slow.into());
    assert_eq!(body(response).await, Some(event(0) + &event(1)));
    let calls = fixture.upstreams.calls.borrow();
    assert!(calls[1].1.stages.iter().all(|stage| &*stage.engine != slow));
}

/// Guards against restarting a slow stream although no other path is faster.
#[compio::test]
async fn a_slow_stream_without_a_faster_path_stays_on_its_path() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/e4", None);
    compio::time::sleep(Duration::from_millis(800)).await;
    *fixture.upstreams.slow.borrow_mut() = Some("e2".into());
    fixture.push_steps([Step::EventsThenSilence(vec![0])]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    let waiting = compio::time::timeout(Duration::from_millis(500), body(response)).await;
    assert!(waiting.is_err());
    assert_eq!(fixture.called_upstreams().len(), 1);
}

/// Guards against a request that may have run and fails for good because no path has capacity at
/// the moment. On one day of a large deployment, 409 requests failed this way.
#[compio::test]
async fn a_stream_that_may_have_run_waits_for_another_path() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/e3", None);
    compio::time::sleep(Duration::from_millis(800)).await;
    fixture.push_steps([Step::Broken, Step::Events(vec![0])]);
    let store = fixture.store.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(Duration::from_millis(100)).await;
        store.write("upstreams/e3", Some("drafts 10.0.1.3:80 b up 0-5"));
    })
    .detach();
    let response = fixture.send("/drafts/x").await.expect("the other replica is complete again");
    assert_eq!(body(response).await, Some(event(0)));
    assert_eq!(fixture.called_upstreams(), ["e1", "e3"]);
}

/// Guards against saturated links between failure domains, which delay every stream that crosses
/// them. On one day of a large deployment, 93 GB crossed and only half of the requests were served.
#[compio::test]
async fn requests_across_domains_are_refused_while_the_links_are_full() {
    let fixture = Fixture::ready().await;
    for removed in ["e2", "e3"] {
        fixture.store.write(&format!("upstreams/{removed}"), None);
    }
    compio::time::sleep(Duration::from_millis(800)).await;
    fixture.push_steps([Step::EventsThenSilence(vec![0]), Step::Events(vec![0])]);
    let crossing = fixture.send("/drafts/x").await.expect("the stream begins");
    let refusal = fixture.send("/drafts/x").await.err().expect("the links are full");
    assert_eq!(refusal.failure.verdict, Verdict::NotRun);
    drop(crossing);
    fixture.send("/drafts/x").await.expect("the links are free");
}

/// Guards against one bad response of an engine that moves all other streams away from it. On one
/// day of fault-injection tests, eleven requests ran on more engines than their route allows.
#[compio::test]
async fn one_broken_stream_does_not_move_other_streams_from_its_engine() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/e3", None);
    compio::time::sleep(Duration::from_millis(300)).await;
    fixture.push_steps([Step::EventsThenSilence(vec![0]), Step::EventsThenBroken(vec![0])]);
    let silent = fixture.send("/drafts/x").await.expect("the stream begins");
    let broken = fixture.send("/single/x").await.expect("the stream begins");
    assert_eq!(body(broken).await, None);
    assert_eq!(body(silent).await, None);
    assert_eq!(fixture.called_upstreams().len(), 2);
}

/// Guards against a path with missing layers, and against a path over an engine that is leaving.
#[compio::test]
async fn a_leaving_engine_gets_no_new_requests() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/e2", Some("drafts 10.0.1.2:80 a leaving 5-10"));
    compio::time::sleep(Duration::from_millis(400)).await;
    for _ in 0..10 {
        fixture.push_steps([Step::Events(vec![0])]);
        let response = fixture.send("/drafts/x").await.expect("the stream begins");
        body(response).await;
    }
    let calls = fixture.upstreams.calls.borrow();
    assert!(calls.iter().all(|(_, call)| call.stages.iter().all(|stage| &*stage.engine != "e2")));
}

/// Guards against a node that stops using all upstreams when the key-value service comes back from
/// an outage in which the entries of running upstreams have lapsed: on a day of fault-injection
/// tests, all requests were refused until the entries were back two seconds later.
#[compio::test]
async fn upstreams_whose_entries_lapsed_in_an_outage_are_used_until_they_had_time_to_come_back() {
    let fixture = Fixture::ready().await;
    fixture.store.is_down.set(true);
    compio::time::sleep(Duration::from_millis(1400)).await;
    for name in ["r1", "r2"] {
        fixture.store.write(&format!("upstreams/{name}"), None);
    }
    fixture.store.is_down.set(false);
    compio::time::sleep(Duration::from_millis(1300)).await;
    fixture.push_steps(vec![Step::Answer(200, "done"); 2]);
    fixture.send("/any/1").await.expect("the upstreams are still used");
    fixture.store.write("upstreams/r2", Some("registry 10.0.0.2:80 b up -"));
    compio::time::sleep(Duration::from_millis(2100)).await;
    fixture.push_steps(vec![Step::Answer(200, "done"); 8]);
    for _ in 0..8 {
        fixture.send("/any/1").await.expect("one upstream is back");
    }
    assert!(fixture.called_upstreams()[1..].iter().all(|name| name == "r2"), "the other is gone");
}

/// Guards against an upstream that stays in the catalog forever because the history of the
/// key-value service no longer holds its removal.
#[compio::test]
async fn the_removal_of_an_upstream_is_found_after_the_history_is_gone() {
    let fixture = Fixture::ready().await;
    fixture.store.items.borrow_mut().remove("upstreams/r1");
    fixture.store.revision.set(fixture.store.revision.get() + 1);
    fixture.store.history_gone.set(true);
    compio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..8 {
        fixture.push_steps([Step::Answer(200, "")]);
        assert!(fixture.send("/once/x").await.is_ok());
    }
    assert!(fixture.called_upstreams().iter().all(|name| name == "r2"));
}

/// Guards against a node that no longer follows the key-value service, without a word, after its
/// task has panicked.
#[compio::test]
async fn a_node_follows_the_store_again_after_its_task_has_panicked() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/odd", Some("drafts 10.0.1.9:80 panic up -"));
    compio::time::sleep(Duration::from_millis(800)).await;
    fixture.store.write("upstreams/odd", None);
    fixture.store.write("table", Some("9"));
    compio::time::sleep(Duration::from_millis(1300)).await;
    let text = String::from_utf8(fixture.gateway.metrics().to_vec()).unwrap();
    assert!(text.contains("gypsumrack_table_version 9"), "{text}");
}

/// Guards against a watch that was lost in an outage of the key-value service and stays pending
/// forever. On three days of fault-injection tests, nodes kept an old configuration after the
/// service had recovered.
#[compio::test]
async fn a_watch_left_unanswered_by_an_outage_is_abandoned() {
    let fixture = Fixture::ready().await;
    fixture.store.is_silent.set(true);
    compio::time::sleep(Duration::from_millis(50)).await;
    fixture.store.is_down.set(true);
    compio::time::sleep(Duration::from_millis(1300)).await;
    fixture.store.is_down.set(false);
    fixture.store.is_silent.set(false);
    fixture.store.write("table", Some("9"));
    compio::time::sleep(Duration::from_millis(1200)).await;
    let text = String::from_utf8(fixture.gateway.metrics().to_vec()).unwrap();
    assert!(text.contains("gypsumrack_table_version 9"), "{text}");
}

/// Guards against status 401 or 404 from a node that does not have a routing table yet.
#[compio::test]
async fn a_node_without_a_routing_table_answers_unavailable() {
    let fixture = Fixture::new();
    let failure = fixture.send("/any/x").await.err().expect("the node is not ready");
    assert_eq!(failure.failure.kind, FailureKind::Unavailable);
    assert_eq!(failure.failure.verdict, Verdict::NotRun);
    assert!(failure.status.is_none() && failure.retry_after.is_some());
    assert!(!fixture.gateway.is_ready());
}

/// Guards against a node that loses its routing table and upstreams in an outage of the key-value
/// service.
#[compio::test]
async fn a_node_serves_requests_during_a_store_outage() {
    let fixture = Fixture::ready().await;
    fixture.store.is_down.set(true);
    compio::time::sleep(Duration::from_millis(300)).await;
    fixture.push_steps([Step::Answer(200, "found")]);
    assert!(fixture.send("/any/x").await.is_ok());
    assert!(fixture.gateway.is_ready());
}

/// Guards against access without a known key or without a route, and against a request with a head
/// that is too large.
#[compio::test]
async fn rejected_requests_reach_no_upstream() {
    let fixture = Fixture::ready().await;
    let mut unknown = request("/any/x");
    unknown.key = Some("other".into());
    let failure = fixture.gateway.clone().route(unknown).await.err().expect("the key is unknown");
    assert_eq!(failure.status, Some(401));
    let failure = fixture.send("/none/x").await.err().expect("there is no route");
    assert_eq!(failure.failure.kind, FailureKind::NotFound);
    let mut large = request("/any/x");
    large.head_bytes = 2000;
    let failure = fixture.gateway.clone().route(large).await.err().expect("the head is too large");
    assert_eq!(failure.status, Some(431));
    assert!(fixture.called_upstreams().is_empty());
}

/// Guards against streams that a stopping node accepts and has to abort. On one day of
/// fault-injection tests, ten streams were lost.
#[compio::test]
async fn a_stopping_node_refuses_streams_that_it_cannot_finish() {
    let fixture = Fixture::ready().await;
    fixture.stop.raise();
    fixture.push_steps([Step::Events(vec![0]), Step::Answer(200, "filed")]);
    let response = fixture.send("/drafts/x").await.expect("the node still serves streams at first");
    assert_eq!(body(response).await, Some(event(0)));
    compio::time::sleep(Duration::from_secs(3)).await;
    let failure = fixture.send("/drafts/x").await.err().expect("there is no time left");
    assert_eq!(failure.failure.verdict, Verdict::NotRun);
    assert!(failure.retry_after.is_some());
    assert!(fixture.send("/once/x").await.is_ok(), "a short call still has enough time");
}

/// Guards against a call that continues after its caller has disconnected, and capacity that stays
/// reserved for it.
#[compio::test]
async fn a_caller_that_disconnects_ends_its_call() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::Silent]);
    let gone = compio::time::timeout(Duration::from_millis(50), fixture.send("/once/x")).await;
    assert!(gone.is_err());
    let text = String::from_utf8(fixture.gateway.metrics().to_vec()).unwrap();
    assert!(text.contains("gypsumrack_in_flight 0"), "{text}");
    assert!(text.contains("outcome=\"caller-gone\""), "{text}");
}

/// Guards against a wait for capacity that outlasts the route's limit.
#[compio::test]
async fn a_request_without_an_engine_for_the_first_layers_is_refused_in_time() {
    let fixture = Fixture::ready().await;
    for name in ["e1", "e3"] {
        fixture.store.write(&format!("upstreams/{name}"), None);
    }
    compio::time::sleep(Duration::from_millis(300)).await;
    let started = std::time::Instant::now();
    let failure = fixture.send("/drafts/x").await.err().expect("no engine holds the first layers");
    assert_eq!(failure.failure.verdict, Verdict::NotRun);
    assert!(failure.retry_after.is_some());
    assert!(started.elapsed() < Duration::from_millis(400));
}
