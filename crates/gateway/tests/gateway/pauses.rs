//! Upstreams that refuse a request and ask for a pause.

use std::time::Duration;

use clock::{Clock, RuntimeClock};
use types::{FailureKind, Verdict};

use crate::support::{Fixture, PauseRequest, Step, body, event};

/// Longer than any pause of [`PAUSE`] with the random time that is added to it.
const PAUSE_END: Duration = Duration::from_millis(1000);
/// A pause, which is longer than a request may wait.
const PAUSE: Duration = Duration::from_millis(700);
/// Address of the engine `e2`.
const E2: &str = "10.0.1.2:80";

impl Fixture {
    /// Sends requests until `name` has asked for a pause. Other upstreams answer them.
    async fn pause(&self, path: &str, name: &str, length: Duration, engine: Option<&'static str>) {
        self.upstreams.pausing.borrow_mut().insert(name.into(), PauseRequest { length, engine });
        for _ in 0..64 {
            let count = self.called_upstreams().len();
            self.push_answers(path, 4);
            drop(self.send(path).await);
            self.upstreams.steps.borrow_mut().clear();
            if self.called_upstreams()[count..].iter().any(|called| called == name) {
                self.upstreams.pausing.borrow_mut().clear();
                self.upstreams.calls.borrow_mut().clear();
                return;
            }
        }
        panic!("{name} was never called");
    }

    fn push_answers(&self, path: &str, count: usize) {
        let step =
            if path == "/drafts/x" { Step::Events(vec![0]) } else { Step::Answer(200, "done") };
        self.push_steps(vec![step; count]);
    }

    /// Sends some requests, and returns the upstreams that ran them.
    async fn call_some(&self, path: &str) -> Vec<String> {
        self.upstreams.calls.borrow_mut().clear();
        self.push_answers(path, 8);
        for _ in 0..8 {
            body(self.send(path).await.expect("an upstream is left")).await;
        }
        let calls = self.upstreams.calls.borrow();
        let names = calls.iter().flat_map(|(name, call)| {
            let stages = call.stages.iter().map(|stage| stage.engine.to_string());
            std::iter::once(name.clone()).chain(stages)
        });
        names.collect()
    }
}

/// Guards against requests that reach an upstream in the pause that it has asked for, and against
/// one that is never used again.
#[compio::test]
async fn an_upstream_that_asks_for_a_pause_gets_no_calls_until_its_end() {
    let fixture = Fixture::ready().await;
    fixture.pause("/any/x", "r1", PAUSE, None).await;
    compio::time::sleep(PAUSE / 2).await;
    assert_eq!(fixture.call_some("/any/x").await, ["r2"; 8]);
    compio::time::sleep(PAUSE_END).await;
    for _ in 0..8 {
        if fixture.call_some("/any/x").await.contains(&"r1".to_owned()) {
            return;
        }
    }
    panic!("the pause has no end");
}

/// Guards against a shorter answer, to a request that was in flight, which ends a longer pause.
#[compio::test]
async fn a_shorter_pause_does_not_end_a_longer_one() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/r2", None);
    compio::time::sleep(PAUSE).await;
    let (long, short) = (PAUSE * 2, Duration::from_millis(10));
    let late = Duration::from_millis(50);
    fixture.push_steps([
        Step::RefuseAfter { wait: late, pause: short },
        Step::RefuseAfter { wait: Duration::ZERO, pause: long },
    ]);
    let refusals =
        futures_util::future::join(fixture.send("/once/x"), fixture.send("/once/x")).await;
    assert!(refusals.0.is_err() && refusals.1.is_err());
    compio::time::sleep(PAUSE / 2).await;
    let refusal = fixture.send("/once/x").await.err().expect("the replica pauses");
    assert!(refusal.retry_after > Some(PAUSE / 2), "{:?}", refusal.retry_after);
    assert_eq!(fixture.called_upstreams().len(), 2);
}

/// Guards against requests that pass through a paused engine at a later stage of their path, and
/// against a pause of the wrong one of the two engines that an answer may mean.
#[compio::test]
async fn a_paused_engine_is_no_stage_of_new_paths() {
    let fixture = Fixture::ready().await;
    fixture.pause("/drafts/x", "e1", PAUSE, Some(E2)).await;
    compio::time::sleep(PAUSE / 2).await;
    let engines = fixture.call_some("/drafts/x").await;
    assert!(!engines.contains(&"e1".to_owned()), "{engines:?}");
    assert!(!engines.contains(&"e2".to_owned()), "{engines:?}");
}

/// Guards against a stream that is cut because its engine has turned another request away.
#[compio::test]
async fn a_stream_on_a_paused_engine_goes_on() {
    let fixture = Fixture::ready().await;
    let pause = Duration::from_millis(100);
    fixture.push_steps([Step::EventsAroundPause { before: vec![0], pause, after: vec![1] }]);
    let running = fixture.send("/drafts/x").await.expect("the stream begins");
    let engine = fixture.called_upstreams()[0].clone();
    fixture.pause("/drafts/x", &engine, PAUSE, None).await;
    assert_eq!(body(running).await, Some(event(0) + &event(1)));
    assert_eq!(fixture.called_upstreams(), Vec::<String>::new());
}

/// Guards against a request that is held, or sent nevertheless, while all upstreams that could
/// serve it pause: it is refused at once, and may come back when the first pause ends.
#[compio::test]
async fn a_request_is_refused_at_once_while_all_holders_pause() {
    for (path, names) in [("/any/x", ["r1", "r2"]), ("/drafts/x", ["e1", "e3"])] {
        let fixture = Fixture::ready().await;
        fixture.pause(path, names[0], PAUSE * 2, None).await;
        fixture.pause(path, names[1], PAUSE, None).await;
        let clock = RuntimeClock::new();
        let start = clock.now();
        let refusal = fixture.send(path).await.err().expect("all holders pause");
        let waited = clock.now().since(start);
        assert_eq!(refusal.failure.verdict, Verdict::NotRun, "{path}");
        assert_eq!(refusal.failure.kind, FailureKind::Overloaded, "{path}");
        let retry_after = refusal.retry_after.expect("a time is given");
        let expected = PAUSE / 2..PAUSE.mul_f64(1.25);
        assert!(expected.contains(&retry_after), "{path}: {retry_after:?}");
        assert!(waited < Duration::from_millis(50), "{path}: refused after {waited:?}");
        assert_eq!(fixture.called_upstreams(), Vec::<String>::new(), "{path}");
    }
}

/// Guards against a refusal, or a call in the pause, when the pause ends within the time for which
/// a request may wait.
#[compio::test]
async fn a_request_waits_for_a_pause_that_ends_soon() {
    for (path, names) in [("/any/x", ["r1", "r2"]), ("/drafts/x", ["e1", "e3"])] {
        let fixture = Fixture::ready().await;
        fixture.pause(path, names[0], PAUSE, None).await;
        fixture.pause(path, names[1], Duration::from_millis(50), None).await;
        fixture.push_answers(path, 1);
        let clock = RuntimeClock::new();
        let start = clock.now();
        fixture.send(path).await.expect("the pause ends");
        let waited = clock.now().since(start);
        assert!(waited >= Duration::from_millis(30), "{path}: sent after {waited:?}");
        assert_eq!(fixture.called_upstreams(), [names[1]], "{path}");
    }
}

/// Guards against an upstream that is avoided for longer and longer, as a failing one is, because
/// it asks for pauses.
#[compio::test]
async fn the_health_of_an_upstream_that_asks_for_pauses_is_not_charged() {
    let fixture = Fixture::ready().await;
    let short = Duration::from_millis(60);
    for _ in 0..4 {
        fixture.pause("/any/x", "r1", short, None).await;
        compio::time::sleep(short * 2).await;
    }
    let called = fixture.call_some("/any/x").await;
    assert!(called.contains(&"r1".to_owned()), "{called:?}");
}

/// Guards against orders to an engine that pauses, and against requests for its report.
#[compio::test]
async fn a_paused_engine_gets_no_order_and_no_request_for_a_report() {
    let fixture = Fixture::ready().await;
    let long = Duration::from_secs(4);
    let request = PauseRequest { length: long, engine: None };
    fixture.upstreams.pausing.borrow_mut().insert("e5".into(), request);
    fixture.store.write("upstreams/e3", None);
    fixture.store.write("upstreams/e5", Some("drafts 10.0.1.5:80 b up none"));
    compio::runtime::spawn(gateway::run_planner(fixture.gateway.clone())).detach();
    compio::time::sleep(long - Duration::from_millis(500)).await;
    assert_eq!(*fixture.upstreams.reports.borrow(), ["e5"], "one report, which asks for a pause");
    assert!(fixture.upstreams.orders.borrow().is_empty());
}

/// Guards against probes of a paused engine while a stream through it is silent.
#[compio::test]
async fn a_paused_engine_is_not_probed() {
    let fixture = Fixture::ready().await;
    fixture.store.write("upstreams/e3", None);
    compio::time::sleep(PAUSE).await;
    fixture.push_steps([Step::EventsThenSilence(vec![0])]);
    let silent = fixture.send("/drafts/x").await.expect("the stream begins");
    fixture.pause("/drafts/x", "e1", PAUSE, Some(E2)).await;
    let waiting = compio::time::timeout(PAUSE / 2, body(silent)).await;
    assert!(waiting.is_err(), "the stream is silent");
    let probes = fixture.upstreams.probes.borrow();
    assert!(!probes.iter().any(|name| ["e1", "e2"].contains(&name.as_str())), "{probes:?}");
    assert_eq!(*fixture.upstreams.reports.borrow(), Vec::<String>::new());
}
