//! Explanations of what the gateway would do with a request.

use std::time::Duration;

use callers::{ExplainQuery, Explanation, Outcome, RoutedFailure, Router, ServiceOutcome};
use types::FailureKind;

use crate::support::{Fixture, HOST, KEY, LogCapture, PauseRequest, Step, body, request};

/// Time within which the gateway has read a change from the key-value service.
const READ_TIME: Duration = Duration::from_millis(800);
/// Time for requests to be sent.
const SEND_TIME: Duration = Duration::from_millis(60);
/// Slots of both replicas together.
const SLOTS: usize = 16;

fn query(path: &str) -> ExplainQuery {
    ExplainQuery {
        host: HOST.into(),
        path: path.into(),
        key: Some(KEY.into()),
        prompt: Some(10),
        output: 10,
        priority: None,
        deadline_ms: Some(1000),
    }
}

impl Fixture {
    fn explain(&self, path: &str) -> Result<Explanation, RoutedFailure> {
        self.gateway.clone().explain(&query(path))
    }

    fn explain_service(&self, path: &str) -> ServiceOutcome {
        self.explain(path).expect("the route is known").services.remove(0)
    }

    fn reason_against(&self, path: &str, name: &str) -> Option<String> {
        let excluded = self.explain_service(path).excluded;
        excluded.into_iter().find(|item| item.upstream == name).map(|item| item.reason)
    }

    /// Starts requests to the plain service that are not answered for a while.
    async fn take_slots(&self, count: usize) {
        let pause = Duration::from_millis(500);
        self.push_steps(vec![Step::AnswerAfter { pause, body: "done" }; count]);
        for _ in 0..count {
            compio::runtime::spawn(self.gateway.clone().route(request("/once/x"))).detach();
        }
        compio::time::sleep(SEND_TIME).await;
    }
}

fn eligible(service: &ServiceOutcome) -> Vec<Vec<String>> {
    let eligible = service.candidates.iter().filter(|candidate| candidate.eligible);
    eligible.map(|candidate| candidate.upstreams.clone()).collect()
}

/// Guards against an explanation of a path by other costs than those of the choice: a path across
/// domains costs more than the random part of the costs.
#[compio::test]
async fn a_stream_takes_the_path_that_was_explained() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/e4", None);
    compio::time::sleep(READ_TIME).await;
    let service = fixture.explain_service("/drafts/x");
    assert_eq!(service.outcome, Outcome::Send);
    assert_eq!(eligible(&service), [["e1", "e2"]]);
    assert_eq!(service.candidates[1].upstreams, ["e3", "e2"]);
    for candidate in &service.candidates {
        let sum: f64 = candidate.terms.iter().map(|(_, value)| value).sum();
        assert!((sum - candidate.cost).abs() < 1e-9, "the terms make up the cost");
    }
    fixture.push_steps([Step::Events(vec![0])]);
    body(fixture.send("/drafts/x").await.expect("the stream begins")).await;
    let calls = fixture.upstreams.calls.borrow();
    let stages: Vec<&str> = calls[0].1.stages.iter().map(|stage| stage.engine.as_str()).collect();
    assert_eq!(stages, ["e1", "e2"]);
}

/// Guards against paths that are said not to be chosen although the random part allows it.
#[compio::test]
async fn each_choice_is_one_of_the_eligible_paths() {
    let fixture = Fixture::ready().await;
    for _ in 0..20 {
        let eligible = eligible(&fixture.explain_service("/drafts/x"));
        fixture.push_steps([Step::Events(vec![0])]);
        body(fixture.send("/drafts/x").await.expect("the stream begins")).await;
        let calls = fixture.upstreams.calls.borrow();
        let (_, last) = calls.last().expect("the stream was sent");
        let stages: Vec<String> =
            last.stages.iter().map(|stage| stage.engine.to_string()).collect();
        assert!(eligible.contains(&stages), "{stages:?} is not among {eligible:?}");
    }
}

/// Guards against an explanation that ignores the load of replicas.
#[compio::test]
async fn a_call_goes_to_the_replica_that_was_explained() {
    let fixture = Fixture::ready().await;
    fixture.take_slots(1).await;
    let busy = fixture.called_upstreams()[0].clone();
    let service = fixture.explain_service("/any/x");
    let expected = eligible(&service);
    assert_eq!(expected.len(), 1);
    assert_ne!(expected[0], [busy]);
    fixture.push_steps([Step::Answer(200, "done")]);
    fixture.send("/any/x").await.expect("it is answered");
    assert_eq!(fixture.called_upstreams()[1..], expected[0]);
}

/// Guards against an explanation that promises a request a place which it does not get, and against
/// one that waits although it could be sent.
#[compio::test]
async fn a_request_waits_when_the_explanation_said_so() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.take_slots(SLOTS).await;
    let service = fixture.explain_service("/any/x");
    assert!(matches!(service.outcome, Outcome::Wait { .. }), "{:?}", service.outcome);
    assert!(service.candidates.is_empty());
    assert_eq!(service.excluded.len(), 2, "both replicas are full");
    fixture.push_steps([Step::Answer(200, "done")]);
    let waiting = compio::runtime::spawn(fixture.gateway.clone().route(request("/any/x")));
    compio::time::sleep(SEND_TIME).await;
    assert_eq!(fixture.called_upstreams().len(), SLOTS);
    assert!(waiting.await.expect("it does not panic").is_ok());
}

/// Guards against an explained refusal that differs from the real one.
#[compio::test]
async fn a_request_is_refused_as_the_explanation_said() {
    let fixture = Fixture::ready().await;
    for name in ["r1", "r2"] {
        fixture.store.write(&format!("upstreams/{name}"), None);
    }
    compio::time::sleep(READ_TIME).await;
    let Outcome::Refuse { reason, retry_ms } = fixture.explain_service("/any/x").outcome else {
        panic!("there is no replica");
    };
    let refusal = fixture.send("/any/x").await.err().expect("there is no replica");
    assert_eq!(refusal.failure.message, reason);
    assert_eq!(refusal.retry_after.map(|after| after.as_millis() as u64), retry_ms);
}

/// Guards against an explained refusal for lack of time that differs from the real one, or that
/// counts as one.
#[compio::test]
async fn an_explained_refusal_for_lack_of_time_is_not_counted() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.take_slots(1).await;
    compio::time::sleep(Duration::from_millis(500)).await;
    fixture.take_slots(SLOTS).await;
    let hurried = ExplainQuery { deadline_ms: Some(350), ..query("/any/x") };
    let explain = || fixture.gateway.clone().explain(&hurried).expect("the route is known");
    let outcomes: Vec<Outcome> = (0..20).map(|_| explain().services.remove(0).outcome).collect();
    let Outcome::Refuse { reason, retry_ms } = &outcomes[0] else { panic!("{outcomes:?}") };
    assert!(outcomes.iter().all(|outcome| outcome == &outcomes[0]), "{outcomes:?}");
    assert_eq!(*retry_ms, Some(200), "the shortest time: the deadline is near");
    let metrics = || String::from_utf8(fixture.gateway.metrics().to_vec()).expect("it is text");
    assert!(metrics().contains("gypsumrack_retry_after_seconds_count 0"));
    assert!(metrics().contains("gypsumrack_replica_refusals_total 0"));
    let mut sent = request("/any/x");
    sent.deadline = Some(Duration::from_millis(350));
    let refusal = fixture.gateway.clone().route(sent).await.err().expect("it is too late");
    assert_eq!(refusal.failure.message, *reason);
    assert!(metrics().contains("gypsumrack_replica_refusals_total 1"));
}

/// Guards against an explanation by another fill limit than that of a request: the one of the
/// settings, for the random number that is stated.
#[compio::test]
async fn fill_limits_are_explained() {
    let settings = "max_fill = 0.8\nfill_taper = 0.2\nfill_spread = 0.0";
    let fixture = Fixture::ready_with_overload(settings).await;
    for (percent, is_sent) in [(65, true), (75, false)] {
        let prompt = Some(150_000 * percent / 100 - 10);
        let sized = ExplainQuery { prompt, ..query("/drafts/x") };
        let mut explanation = fixture.gateway.clone().explain(&sized).expect("it is explained");
        let service = explanation.services.remove(0);
        assert_eq!(service.outcome == Outcome::Send, is_sent, "{percent}: {service:?}");
        let rules = service.path_rules.expect("the service is a model");
        assert_eq!(rules.draw, 0.5);
        let limits = [rules.max_fill, rules.fill_range[0], rules.fill_range[1]];
        for (limit, expected) in limits.into_iter().zip([0.7, 0.6, 0.8]) {
            assert!((limit - expected).abs() < 1e-9, "{limits:?}");
        }
        let is_full = |reason: &str| reason == "its KV cache has no room";
        let full = service.excluded.iter().filter(|item| is_full(&item.reason)).count();
        assert_eq!(full == 0, is_sent, "{:?}", service.excluded);
    }
}

/// Guards against an explanation that ignores the latency targets by which a path is chosen.
#[compio::test]
async fn latency_targets_are_explained() {
    let fixture = Fixture::ready_with_overload("").await;
    fixture.store.write("table", Some("2 timed"));
    compio::time::sleep(READ_TIME).await;
    let service = fixture.explain_service("/single/x");
    let rules = service.path_rules.as_ref().expect("the service is a model");
    assert!(rules.first_ms.is_some_and(|first| first > 0.0), "{rules:?}");
    assert_eq!((rules.own_part, rules.crossing_factor), (None, 1.0));
    let candidate = service.candidates.first().expect("there is a path");
    assert!(candidate.times.is_some_and(|times| times.first_ms > 0.0), "{candidate:?}");
    let sum: f64 = candidate.terms.iter().map(|(_, value)| value).sum();
    assert!((sum - candidate.cost).abs() < 1e-9, "the terms make up the cost");
    let is_time = |term: &&(String, f64)| term.0 == "time" && term.1 > 0.0;
    assert!(candidate.terms.iter().any(|term| is_time(&term)), "{candidate:?}");
}

/// Guards against explanations for requests that would be rejected.
#[compio::test]
async fn requests_without_a_route_or_key_are_not_explained() {
    let fixture = Fixture::ready().await;
    let failure = fixture.explain("/none/x").expect_err("there is no route");
    assert_eq!(failure.failure.kind, FailureKind::NotFound);
    let unknown = ExplainQuery { key: None, ..query("/any/x") };
    let failure = fixture.gateway.clone().explain(&unknown).expect_err("a key is needed");
    assert_eq!(failure.status, Some(401));
    let failure = Fixture::new().explain("/any/x").expect_err("there is no configuration");
    assert_eq!(failure.failure.kind, FailureKind::Unavailable);
}

/// Guards against an upstream that is left out without its reason.
#[compio::test]
async fn the_other_upstreams_are_listed_with_a_reason() {
    let fixture = Fixture::ready().await;
    for (name, value) in [
        ("e4", "drafts 10.0.1.4:80 b leaving 5-10"),
        ("e5", "drafts 10.0.1.5:80 b up -"),
        ("e6", "drafts 10.0.1.6:80 b up 5-99"),
    ] {
        fixture.store.write(&format!("upstreams/{name}"), Some(value));
    }
    compio::time::sleep(READ_TIME).await;
    let reason = |name: &str| fixture.reason_against("/drafts/x", name);
    assert_eq!(reason("e4").as_deref(), Some("it is leaving"));
    assert_eq!(reason("e5").as_deref(), Some("it holds no layers"));
    assert_eq!(reason("e6").as_deref(), Some("its layers are not those of the model"));
    assert_eq!(reason("e1"), None);
    let pause = PauseRequest { length: Duration::from_secs(2), engine: None };
    fixture.upstreams.pausing.borrow_mut().extend([("r1".to_owned(), pause)]);
    // Idle replicas are chosen at random, and the first call to this one shows the pause.
    const CALLS: usize = 40;
    fixture.push_steps(vec![Step::Answer(200, "done"); 2 * CALLS]);
    for _ in 0..CALLS {
        fixture.send("/any/x").await.expect("the other replica answers");
    }
    let paused = fixture.reason_against("/any/x", "r1");
    assert_eq!(paused.as_deref(), Some("it has asked for a pause"));
}

/// Guards against explanations that reserve, count, send, log or wait for something.
#[compio::test]
async fn explanations_change_nothing() {
    let fixture = Fixture::ready_for_overload().await;
    fixture.take_slots(SLOTS).await;
    let state = |fixture: &Fixture| {
        let upstreams = &fixture.upstreams;
        let sent = [
            upstreams.calls.borrow().len(),
            upstreams.probes.borrow().len(),
            upstreams.reports.borrow().len(),
            upstreams.orders.borrow().len(),
        ];
        let explained: Vec<_> =
            ["/any/x", "/drafts/x"].map(|path| fixture.explain_service(path)).into();
        let metrics = String::from_utf8(fixture.gateway.metrics().to_vec()).expect("it is text");
        (sent, explained.into_iter().map(without_times).collect::<Vec<_>>(), metrics)
    };
    let log = LogCapture::start();
    let before = state(&fixture);
    for path in ["/any/x", "/once/x", "/drafts/x", "/none/x"] {
        (0..50).for_each(|_| drop(fixture.explain(path)));
    }
    assert_eq!(state(&fixture), before);
    assert_eq!(log.text(), "");
}

/// The outcome without the times that pass by themselves.
fn without_times(mut service: ServiceOutcome) -> ServiceOutcome {
    if let Outcome::Wait { limit_ms, .. } = &mut service.outcome {
        *limit_ms = 0;
    }
    service
}
