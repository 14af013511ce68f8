//! The lifecycle of a request, against upstreams that fail in every way.

use std::time::Duration;

use callers::Router;
use types::{FailureKind, Verdict};

use crate::support::{Step, World, body, event, request};

/// Guards against a filing that runs twice: after bytes were sent, a failure promises nothing and
/// nothing is sent again.
#[compio::test]
async fn a_call_that_may_have_run_is_not_sent_again() {
    for step in [Step::Broken, Step::Unsigned(200), Step::Unsigned(503), Step::Silent] {
        let world = World::ready().await;
        world.script([step.clone()]);
        let failure = world.send("/once/x").await.err().expect("the call fails");
        assert_eq!(failure.failure.verdict, Verdict::MayHaveRun, "{step:?}");
        assert_eq!(world.called().len(), 1, "{step:?}");
        assert!(failure.retry_after.is_none(), "{step:?}");
    }
}

/// Guards against a filing that is lost although no upstream ran it.
#[compio::test]
async fn a_call_that_was_not_run_goes_to_another_upstream() {
    for step in [Step::Refuse(503), Step::Unreachable, Step::Refuse(421)] {
        let world = World::ready().await;
        world.script([step.clone(), Step::Answer(200, "filed")]);
        let reply = world.send("/once/x").await.expect("the call is answered");
        assert_eq!(body(reply).await.as_deref(), Some("filed"), "{step:?}");
        let called = world.called();
        assert_eq!(called.len(), 2);
        assert_ne!(called[0], called[1], "{step:?}");
    }
}

/// Guards against a refusal that says "not run" after an earlier send may have run.
#[compio::test]
async fn a_refusal_after_a_send_that_may_have_run_promises_nothing() {
    let world = World::ready().await;
    world.script([Step::Broken, Step::Refuse(503)]);
    let failure = world.send("/any/x").await.err().expect("both sends fail");
    assert_eq!(failure.failure.verdict, Verdict::MayHaveRun);
}

/// Guards against an idempotent lookup that fails with its first upstream.
#[compio::test]
async fn an_idempotent_call_is_sent_to_another_upstream() {
    for step in [Step::Broken, Step::Silent, Step::Unsigned(200), Step::Answer(500, "no")] {
        let world = World::ready().await;
        world.script([step.clone(), Step::Answer(200, "found")]);
        let reply = world.send("/any/x").await.expect("the call is answered");
        assert_eq!(body(reply).await.as_deref(), Some("found"), "{step:?}");
    }
}

/// Guards against a stream with a missing or doubled event after its engine broke.
#[compio::test]
async fn a_broken_stream_goes_on_after_its_last_whole_event() {
    let world = World::ready().await;
    world.script([Step::EventsThenBroken(vec![0, 1, 2]), Step::Events(vec![3, 4])]);
    let reply = world.send("/drafts/x").await.expect("the stream begins");
    let expected: String = (0..5).map(event).collect();
    assert_eq!(body(reply).await, Some(expected));
    let calls = world.script.calls.borrow();
    assert_eq!(calls[1].1.resume_after, Some(2));
}

/// Guards against a stream that looks whole although its end is missing.
#[compio::test]
async fn a_stream_that_cannot_be_resumed_is_cut() {
    let world = World::ready().await;
    world.script([Step::EventsThenBroken(vec![0, 1])]);
    let reply = world.send("/single/x").await.expect("the stream begins");
    assert_eq!(body(reply).await, None);
    assert_eq!(world.called().len(), 1);
}

/// Guards against events of two runs that are joined out of order.
#[compio::test]
async fn a_resumed_stream_that_starts_too_early_is_not_passed_on() {
    let world = World::ready().await;
    world.script([Step::EventsThenBroken(vec![0, 1, 2]), Step::Events(vec![1, 2, 3])]);
    let reply = world.send("/drafts/x").await.expect("the stream begins");
    assert_eq!(body(reply).await, None);
}

/// Guards against a stream that waits for a dead engine until the engine before it gives up.
#[compio::test]
async fn a_silent_stream_leaves_the_engine_that_it_waits_for() {
    let world = World::ready().await;
    world.script([Step::EventsThenSilence(vec![0]), Step::Events(vec![1])]);
    let second = |name: &str| if name == "e1" { "10.0.1.2:80" } else { "10.0.1.4:80" };
    let reply = world.send("/drafts/x").await.expect("the stream begins");
    let first = world.called()[0].clone();
    world.script.blocked_on.borrow_mut().push(second(&first).parse().unwrap());
    assert_eq!(body(reply).await, Some(event(0) + &event(1)));
    let calls = world.script.calls.borrow();
    let blocked = second(&first).parse().unwrap();
    assert!(calls[1].1.stages.iter().all(|stage| stage.addr != blocked));
}

/// Guards against a stream that learns of a dead engine only by a report, which is 200 ms old: by
/// then its next event is late.
#[compio::test]
async fn a_silent_stream_leaves_an_engine_that_has_ended() {
    let world = World::ready().await;
    let (reply, ended) = world.send_silent().await;
    world.script.ended.borrow_mut().push(ended.into());
    assert_eq!(body(reply).await, Some(event(0) + &event(1)));
    let calls = world.script.calls.borrow();
    assert!(calls[1].1.stages.iter().all(|stage| &*stage.engine != ended));
}

/// Sends a draft whose stream falls silent, and leaves it after a while. Returns where it entered.
async fn send_silent_draft(world: &World) -> String {
    world.script([Step::EventsThenSilence(vec![0])]);
    let reply = world.send("/drafts/x").await.expect("the stream begins");
    let waiting = compio::time::timeout(Duration::from_millis(150), body(reply)).await;
    assert!(waiting.is_err());
    world.called().pop().expect("the draft was sent")
}

/// Guards against requests that go on to a slow engine while another copy has room.
#[compio::test]
async fn new_requests_leave_a_path_with_a_slow_engine() {
    let world = World::ready().await;
    *world.script.slow.borrow_mut() = Some("e2".into());
    // Copies that are as good are chosen at random; nobody knows of the slow engine before a
    // request has met it.
    let mut tries = 0;
    while send_silent_draft(&world).await != "e1" {
        tries += 1;
        assert!(tries < 64, "the slow copy is never tried");
    }
    for _ in 0..6 {
        assert_eq!(send_silent_draft(&world).await, "e3");
    }
}

/// Guards against streams that stay on a path whose engine has become many times slower, until their
/// callers leave: on a day of a large deployment 1,200 did.
#[compio::test]
async fn a_stream_leaves_a_very_slow_engine_for_a_better_path() {
    let world = World::ready().await;
    let (reply, slow) = world.send_silent().await;
    *world.script.slow.borrow_mut() = Some(slow.into());
    assert_eq!(body(reply).await, Some(event(0) + &event(1)));
    let calls = world.script.calls.borrow();
    assert!(calls[1].1.stages.iter().all(|stage| &*stage.engine != slow));
}

/// Guards against a slow stream that is begun anew although no other path is better.
#[compio::test]
async fn a_slow_stream_without_a_better_path_goes_on() {
    let world = World::ready().await;
    world.store.write("upstreams/e4", None);
    compio::time::sleep(Duration::from_millis(800)).await;
    *world.script.slow.borrow_mut() = Some("e2".into());
    world.script([Step::EventsThenSilence(vec![0])]);
    let reply = world.send("/drafts/x").await.expect("the stream begins");
    let waiting = compio::time::timeout(Duration::from_millis(500), body(reply)).await;
    assert!(waiting.is_err());
    assert_eq!(world.called().len(), 1);
}

/// Guards against a request that may have run and fails for good because no path has room at this
/// moment: 409 did on a day of a large deployment.
#[compio::test]
async fn a_stream_that_may_have_run_waits_for_another_path() {
    let world = World::ready().await;
    world.store.write("upstreams/e3", None);
    compio::time::sleep(Duration::from_millis(800)).await;
    world.script([Step::Broken, Step::Events(vec![0])]);
    let store = world.store.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(Duration::from_millis(100)).await;
        store.write("upstreams/e3", Some("drafts 10.0.1.3:80 b up 0-5"));
    })
    .detach();
    let reply = world.send("/drafts/x").await.expect("the other copy is whole again");
    assert_eq!(body(reply).await, Some(event(0)));
    assert_eq!(world.called(), ["e1", "e3"]);
}

/// Guards against links between failure domains that fill up, so that all streams that cross are
/// late: on a day of a large deployment 93 GB crossed, and half of the requests were served.
#[compio::test]
async fn requests_that_cross_domains_are_limited() {
    let world = World::ready().await;
    for gone in ["e2", "e3"] {
        world.store.write(&format!("upstreams/{gone}"), None);
    }
    compio::time::sleep(Duration::from_millis(800)).await;
    world.script([Step::EventsThenSilence(vec![0]), Step::Events(vec![0])]);
    let crossing = world.send("/drafts/x").await.expect("the stream begins");
    let refusal = world.send("/drafts/x").await.err().expect("the links are taken");
    assert_eq!(refusal.failure.verdict, Verdict::NotRun);
    drop(crossing);
    world.send("/drafts/x").await.expect("the links are free");
}

/// Guards against one spoiled answer of an engine that moves all other streams through it: a day of
/// the hunt ran eleven requests on more engines than their route allows.
#[compio::test]
async fn one_broken_answer_does_not_take_the_other_streams_from_their_engine() {
    let world = World::ready().await;
    world.store.write("upstreams/e3", None);
    compio::time::sleep(Duration::from_millis(300)).await;
    world.script([Step::EventsThenSilence(vec![0]), Step::EventsThenBroken(vec![0])]);
    let silent = world.send("/drafts/x").await.expect("the stream begins");
    let broken = world.send("/single/x").await.expect("the stream begins");
    assert_eq!(body(broken).await, None);
    assert_eq!(body(silent).await, None);
    assert_eq!(world.called().len(), 2);
}

/// Guards against a path with a gap, and against a path over an engine that is leaving.
#[compio::test]
async fn a_leaving_engine_gets_no_new_request() {
    let world = World::ready().await;
    world.store.write("upstreams/e2", Some("drafts 10.0.1.2:80 a leaving 5-10"));
    compio::time::sleep(Duration::from_millis(400)).await;
    for _ in 0..10 {
        world.script([Step::Events(vec![0])]);
        let reply = world.send("/drafts/x").await.expect("the stream begins");
        body(reply).await;
    }
    let calls = world.script.calls.borrow();
    assert!(calls.iter().all(|(_, call)| call.stages.iter().all(|stage| &*stage.engine != "e2")));
}

/// Guards against an upstream that is believed for good because its end fell into a gap of the
/// history.
#[compio::test]
async fn the_end_of_an_upstream_is_found_after_the_history_is_gone() {
    let world = World::ready().await;
    world.store.items.borrow_mut().remove("upstreams/r1");
    world.store.revision.set(world.store.revision.get() + 1);
    world.store.history_gone.set(true);
    compio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..8 {
        world.script([Step::Answer(200, "")]);
        assert!(world.send("/once/x").await.is_ok());
    }
    assert!(world.called().iter().all(|name| name == "r2"));
}

/// Guards against a watch that was swallowed by an outage of the store and waits on for good: on
/// three days of the hunt nodes went by an old configuration after the store was back.
#[compio::test]
async fn a_watch_that_an_outage_swallowed_is_given_up() {
    let world = World::ready().await;
    world.store.is_silent.set(true);
    compio::time::sleep(Duration::from_millis(50)).await;
    world.store.is_down.set(true);
    compio::time::sleep(Duration::from_millis(1300)).await;
    world.store.is_down.set(false);
    world.store.is_silent.set(false);
    world.store.write("table", Some("9"));
    compio::time::sleep(Duration::from_millis(1200)).await;
    let text = String::from_utf8(world.gateway.metrics().to_vec()).unwrap();
    assert!(text.contains("gypsumrack_table_version 9"), "{text}");
}

/// Guards against 401 or 404 from a node that does not know the configuration yet.
#[compio::test]
async fn a_node_without_a_configuration_answers_that_it_cannot_serve() {
    let world = World::new();
    let failure = world.send("/any/x").await.err().expect("the node is not ready");
    assert_eq!(failure.failure.kind, FailureKind::Unavailable);
    assert_eq!(failure.failure.verdict, Verdict::NotRun);
    assert!(failure.status.is_none() && failure.retry_after.is_some());
    assert!(!world.gateway.is_ready());
}

/// Guards against a store outage that takes the configuration and the upstreams from a node.
#[compio::test]
async fn a_node_goes_on_while_the_store_is_away() {
    let world = World::ready().await;
    world.store.is_down.set(true);
    compio::time::sleep(Duration::from_millis(300)).await;
    world.script([Step::Answer(200, "found")]);
    assert!(world.send("/any/x").await.is_ok());
    assert!(world.gateway.is_ready());
}

/// Guards against access without a key, with an unknown one, and to a path without a route.
#[compio::test]
async fn requests_that_are_not_allowed_reach_no_upstream() {
    let world = World::ready().await;
    let mut unknown = request("/any/x");
    unknown.key = Some("other".into());
    let failure = world.gateway.clone().route(unknown).await.err().expect("the key is unknown");
    assert_eq!(failure.status, Some(401));
    let failure = world.send("/none/x").await.err().expect("there is no route");
    assert_eq!(failure.failure.kind, FailureKind::NotFound);
    let mut large = request("/any/x");
    large.head_bytes = 2000;
    let failure = world.gateway.clone().route(large).await.err().expect("the head is too large");
    assert_eq!(failure.status, Some(431));
    assert!(world.called().is_empty());
}

/// Guards against one request that crashes each upstream in turn.
#[compio::test]
async fn a_request_that_crashed_two_upstreams_is_refused() {
    let world = World::ready().await;
    world.script.is_crashed.set(true);
    world.script([Step::Broken, Step::Broken]);
    assert!(world.send("/any/poison").await.is_err());
    compio::time::sleep(Duration::from_millis(100)).await;
    let failure = world.send("/any/poison").await.err().expect("the request is refused");
    assert_eq!(failure.failure.kind, FailureKind::Poison);
    assert_eq!(world.called().len(), 2);
}

/// Guards against innocent requests that are refused because their connections broke.
#[compio::test]
async fn broken_connections_to_living_upstreams_are_no_crashes() {
    let world = World::ready().await;
    world.script([Step::Broken, Step::Broken, Step::Answer(200, "found")]);
    assert!(world.send("/any/x").await.is_err());
    compio::time::sleep(Duration::from_millis(100)).await;
    assert!(world.send("/any/x").await.is_ok());
}

/// Guards against a stream that a stopping node takes and has to cut: ten were lost on a day of the
/// hunt.
#[compio::test]
async fn a_stopping_node_begins_no_stream_that_it_cannot_end() {
    let world = World::ready().await;
    world.stop.raise();
    world.script([Step::Events(vec![0]), Step::Answer(200, "filed")]);
    let reply = world.send("/drafts/x").await.expect("the node serves on at first");
    assert_eq!(body(reply).await, Some(event(0)));
    compio::time::sleep(Duration::from_secs(3)).await;
    let failure = world.send("/drafts/x").await.err().expect("there is no time left");
    assert_eq!(failure.failure.verdict, Verdict::NotRun);
    assert!(failure.retry_after.is_some());
    assert!(world.send("/once/x").await.is_ok(), "a short call still fits");
}

/// Guards against work that goes on for a caller that has left, and memory that stays reserved.
#[compio::test]
async fn a_caller_that_leaves_ends_its_call() {
    let world = World::ready().await;
    world.script([Step::Silent]);
    let gone = compio::time::timeout(Duration::from_millis(50), world.send("/once/x")).await;
    assert!(gone.is_err());
    let text = String::from_utf8(world.gateway.metrics().to_vec()).unwrap();
    assert!(text.contains("gypsumrack_in_flight 0"), "{text}");
    assert!(text.contains("outcome=\"caller-gone\""), "{text}");
}

/// Guards against a wait that outlasts the route's time.
#[compio::test]
async fn a_request_without_an_engine_is_refused_in_time() {
    let world = World::ready().await;
    for name in ["e1", "e3"] {
        world.store.write(&format!("upstreams/{name}"), None);
    }
    compio::time::sleep(Duration::from_millis(300)).await;
    let started = std::time::Instant::now();
    let failure = world.send("/drafts/x").await.err().expect("no engine holds the first layers");
    assert_eq!(failure.failure.verdict, Verdict::NotRun);
    assert!(failure.retry_after.is_some());
    assert!(started.elapsed() < Duration::from_millis(400));
}
