//! Limits on the requests at the replicas of a plain service.

use std::time::{Duration, Instant};

use callers::Router;
use types::{FailureKind, Verdict};

use crate::support::{Fixture, Step, request};

/// Slots of both replicas together.
const SLOTS: usize = 16;
/// Time for requests to be sent.
const SEND_TIME: Duration = Duration::from_millis(60);

impl Fixture {
    /// Sends `count` requests that are answered after `pause`, without waiting for their answers.
    async fn occupy(&self, count: usize, pause: Duration) {
        self.push_steps(vec![Step::AnswerAfter { pause, body: "done" }; count]);
        for _ in 0..count {
            compio::runtime::spawn(self.gateway.clone().route(request("/once/x"))).detach();
        }
        compio::time::sleep(SEND_TIME).await;
    }

    fn metrics_text(&self) -> String {
        String::from_utf8(self.gateway.metrics().to_vec()).expect("metrics are text")
    }
}

/// Guards against a burst of requests that are sent although all slots of all replicas are taken, and
/// then wait in the replicas' queues, where the router can no longer choose among them.
#[compio::test]
async fn requests_beyond_the_slots_of_all_replicas_wait_in_the_router() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.occupy(SLOTS + 3, Duration::from_millis(300)).await;
    assert_eq!(fixture.called_upstreams().len(), SLOTS);
    assert!(fixture.metrics_text().contains("gypsumrack_waiting 3"));
    compio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(fixture.called_upstreams().len(), SLOTS + 3, "they are sent once slots are free");
}

/// Guards against limits on a node whose settings do not ask for them.
#[compio::test]
async fn without_the_settings_replicas_have_no_limit() {
    let fixture = Fixture::ready().await;
    fixture.occupy(SLOTS + 3, Duration::from_millis(300)).await;
    assert_eq!(fixture.called_upstreams().len(), SLOTS + 3);
}

/// Guards against a request that waits for a replica until its deadline although it could not be
/// answered in time.
#[compio::test]
async fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.occupy(1, Duration::from_millis(400)).await;
    compio::time::sleep(Duration::from_millis(450)).await;
    fixture.occupy(SLOTS, Duration::from_millis(400)).await;
    let mut urgent = request("/once/x");
    urgent.deadline = Some(Duration::from_millis(350));
    let started = Instant::now();
    let failure = fixture.gateway.clone().route(urgent).await.err().expect("it is refused");
    assert!(started.elapsed() < Duration::from_millis(200), "refused before its deadline");
    assert_eq!(failure.failure.verdict, Verdict::NotRun);
    assert_eq!(failure.failure.kind, FailureKind::Overloaded);
    assert!(failure.retry_after.is_some());
    assert_eq!(fixture.called_upstreams().len(), 1 + SLOTS);
    assert!(fixture.metrics_text().contains("gypsumrack_replica_refusals_total 1"));
}

/// Guards against a request that waits although the requests before it take up all its time: with
/// 16 places, 24 requests before it and answers in 300 ms, it would get one after 450 ms.
#[compio::test]
async fn a_request_behind_too_many_others_is_refused_at_once() {
    let fixture = Fixture::ready_for_overload().await;
    let work = Duration::from_millis(300);
    fixture.occupy(1, work).await;
    compio::time::sleep(work).await;
    fixture.occupy(SLOTS + 24, work).await;
    let mut hurried = request("/once/x");
    hurried.deadline = Some(Duration::from_millis(700));
    let started = Instant::now();
    let failure = fixture.gateway.clone().route(hurried).await.err().expect("it is refused");
    assert!(started.elapsed() < Duration::from_millis(150), "refused before a place is free");
    assert_eq!(failure.failure.verdict, Verdict::NotRun);
    assert!(failure.failure.message.contains("cannot be served in time"), "{failure:?}");
    assert!(fixture.metrics_text().contains("gypsumrack_replica_refusals_total 1"));
}

/// Guards against a request that is refused although a slot is free again before its deadline.
#[compio::test]
async fn a_request_with_time_left_waits_for_a_replica() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.occupy(SLOTS, Duration::from_millis(250)).await;
    fixture.push_steps([Step::Answer(200, "done")]);
    fixture.send("/once/x").await.expect("a slot becomes free");
}

/// Guards against a request that is refused after one refusal by each replica although it has time
/// left, and against sends to replicas that all refuse requests: each of them uses up the retry budget.
#[compio::test]
async fn a_request_waits_while_all_replicas_refuse() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.push_steps([Step::Refuse(503), Step::Refuse(503), Step::Answer(200, "done")]);
    let refused = compio::runtime::spawn(fixture.gateway.clone().route(request("/any/x")));
    compio::time::sleep(SEND_TIME).await;
    assert_eq!(fixture.called_upstreams().len(), 2);
    assert!(
        fixture
            .metrics_text()
            .contains("gypsumrack_replica_limit_reductions_total{cause=\"refusal\"} 2")
    );
    fixture.push_steps([Step::Answer(200, "done")]);
    let waiting = compio::runtime::spawn(fixture.gateway.clone().route(request("/any/x")));
    compio::time::sleep(SEND_TIME).await;
    assert_eq!(fixture.called_upstreams().len(), 2);
    for waiting in [refused, waiting] {
        assert!(waiting.await.expect("it does not panic").is_ok());
    }
}

/// Guards against one refusing replica that holds requests back from another one, which is only
/// avoided after a bad answer and may work.
#[compio::test]
async fn a_replica_that_is_only_avoided_is_tried_while_the_other_refuses() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.push_steps([Step::Refuse(503), Step::Broken]);
    assert!(fixture.send("/once/x").await.is_err());
    fixture.push_steps([Step::Answer(200, "done")]);
    fixture.send("/once/x").await.expect("the avoided replica answers");
    let called = fixture.called_upstreams();
    assert_ne!(called[0], called[1]);
    assert_eq!(called[2], called[1]);
}

/// Guards against a limit that falls although the replica had capacity: it refused a call that was not
/// meant for it.
#[compio::test]
async fn a_misdirected_request_does_not_reduce_the_limit() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.push_steps([Step::Refuse(421), Step::Answer(200, "done")]);
    fixture.send("/any/x").await.expect("the other replica answers");
    assert!(!fixture.metrics_text().contains("limit_reductions_total{cause=\"refusal\"} 1"));
}

/// Guards against server errors that lower the usual time of answers: the replica then counts as slow
/// as soon as it answers as usual, and its limit falls.
#[compio::test]
async fn fast_server_errors_do_not_make_later_answers_slow() {
    let fixture = Fixture::ready_for_overload().await;
    for _ in 0..8 {
        fixture.push_steps([Step::Answer(500, "failed")]);
        fixture.send("/once/x").await.expect("the error is passed on");
    }
    for _ in 0..8 {
        fixture.occupy(1, Duration::from_millis(100)).await;
        compio::time::sleep(SEND_TIME).await;
    }
    assert!(!fixture.metrics_text().contains("limit_reductions_total{cause=\"slow\"}"));
}

/// Guards against a request that waits for the end of a pause after refusals although its deadline is
/// earlier. The pause after a misdirected request is 400 ms.
#[compio::test]
async fn a_request_that_ends_before_the_pauses_of_all_replicas_is_refused_at_once() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.push_steps([Step::Refuse(421), Step::Refuse(421), Step::Answer(200, "done")]);
    let refused = compio::runtime::spawn(fixture.gateway.clone().route(request("/any/x")));
    compio::time::sleep(SEND_TIME).await;
    let mut hurried = request("/any/x");
    hurried.deadline = Some(Duration::from_millis(150));
    let failure = fixture.gateway.clone().route(hurried).await.err().expect("it is refused");
    assert!(failure.failure.message.contains("cannot be served in time"), "{failure:?}");
    assert!(fixture.metrics_text().contains("gypsumrack_replica_refusals_total 1"));
    assert!(refused.await.expect("it does not panic").is_ok());
}

/// Guards against a place that stays taken after its caller has disconnected.
#[compio::test]
async fn a_caller_that_disconnects_frees_its_place() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.occupy(SLOTS - 1, Duration::from_millis(600)).await;
    fixture.push_steps([Step::Silent, Step::Answer(200, "done")]);
    let gone = compio::time::timeout(SEND_TIME, fixture.send("/once/x")).await;
    assert!(gone.is_err());
    fixture.send("/once/x").await.expect("the place is free");
}

/// Guards against limits that depend on the key-value service, and against places that a lost replica
/// keeps: the requests go to the other one.
#[compio::test]
async fn limits_hold_while_the_store_is_away_and_a_replica_is_lost() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.store.is_down.set(true);
    fixture.push_steps([Step::ConnectRefused, Step::Answer(200, "done")]);
    fixture.send("/any/x").await.expect("the other replica answers");
    let lost = fixture.called_upstreams()[0].clone();
    fixture.upstreams.calls.borrow_mut().clear();
    fixture.occupy(SLOTS, Duration::from_millis(300)).await;
    let called = fixture.called_upstreams();
    assert_eq!(called.len(), SLOTS / 2);
    assert!(!called.contains(&lost));
}
