//! Guards against upstreams that get more requests than the rate that they name in their answers.

use std::time::Duration;

use clock::{Clock, RuntimeClock};
use peers::{Datagram, NamedRate};
use types::{FailureKind, Verdict};

use crate::support::{Fixture, Step, body, fixture_with_peer, run_for};

/// Time within which a datagram arrives and is applied.
const DATAGRAM_TIME: Duration = Duration::from_millis(60);
/// Requests that a test sends at once.
const REQUESTS: usize = 24;

impl Fixture {
    /// Makes an upstream name a rate in all its answers from now on.
    fn limit_rate(&self, name: &str, rate: f64) {
        self.upstreams.rates.borrow_mut().insert(name.into(), rate);
    }

    /// Sends requests one after the other. Returns how many reached the upstream `name`.
    async fn count_calls(&self, path: &str, name: &str) -> usize {
        self.upstreams.calls.borrow_mut().clear();
        for _ in 0..REQUESTS {
            let step =
                if path == "/drafts/x" { Step::Events(vec![0]) } else { Step::Answer(200, "done") };
            self.push_steps([step]);
            if let Ok(response) = self.send(path).await {
                body(response).await;
            }
            self.upstreams.steps.borrow_mut().clear();
        }
        self.called_upstreams().iter().filter(|called| *called == name).count()
    }
}

#[compio::test]
async fn an_upstream_gets_no_more_requests_than_the_rate_that_it_names() {
    for (path, limited, other) in [("/any/x", "r1", "r2"), ("/drafts/x", "e1", "e3")] {
        let fixture = Fixture::ready().await;
        fixture.limit_rate(limited, 2.0);
        while fixture.count_calls(path, limited).await == 0 {}
        let clock = RuntimeClock::new();
        let start = clock.now();
        let limited_calls = fixture.count_calls(path, limited).await;
        let other_calls = fixture.count_calls(path, other).await;
        // Two in each second that the requests took, on a machine that is busy.
        let allowed = 2 * (2 + clock.now().since(start).as_secs() as usize);
        assert!(limited_calls <= allowed, "{path}: {limited_calls} requests");
        assert!(other_calls + allowed >= REQUESTS, "{path}: {other_calls} go elsewhere");
    }
}

/// Guards against a limit that stays after the upstream has ended it.
#[compio::test]
async fn an_upstream_that_names_no_rate_any_more_gets_requests_again() {
    let fixture = Fixture::ready().await;
    fixture.limit_rate("r1", 2.0);
    while fixture.count_calls("/any/x", "r1").await == 0 {}
    fixture.upstreams.rates.borrow_mut().clear();
    compio::time::sleep(Duration::from_millis(1100)).await;
    let mut calls = 0;
    for _ in 0..4 {
        calls += fixture.count_calls("/any/x", "r1").await;
    }
    assert!(calls > REQUESTS / 2, "{calls} requests");
}

/// Guards against a request that is held until its deadline, or sent nevertheless, while the rates of all
/// upstreams are used up.
#[compio::test]
async fn a_request_is_refused_soon_while_all_upstreams_take_nothing() {
    for (path, names) in [("/any/x", ["r1", "r2"]), ("/drafts/x", ["e1", "e3"])] {
        let fixture = Fixture::ready().await;
        for name in names {
            fixture.limit_rate(name, 0.0);
            while fixture.count_calls(path, name).await == 0 {}
        }
        fixture.upstreams.calls.borrow_mut().clear();
        let clock = RuntimeClock::new();
        let start = clock.now();
        let refusal = fixture.send(path).await.err().expect("no upstream takes a request");
        assert_eq!(refusal.failure.verdict, Verdict::NotRun, "{path}");
        assert_eq!(refusal.failure.kind, FailureKind::Overloaded, "{path}");
        assert!(refusal.retry_after.is_some(), "{path}");
        let waited = clock.now().since(start);
        assert!(waited < Duration::from_millis(500), "{path}: refused after {waited:?}");
        assert_eq!(fixture.called_upstreams(), Vec::<String>::new(), "{path}");
    }
}

/// Guards against nodes that each learn of a limit only from an answer of their own.
#[compio::test]
async fn a_rate_is_told_to_the_other_nodes_and_holds_there() {
    let (fixture, peer, addr) = fixture_with_peer().await;
    fixture.limit_rate("r1", 5.0);
    while fixture.count_calls("/any/x", "r1").await == 0 {}
    let told = async {
        loop {
            match peer.receive().await.expect("the socket is bound") {
                Some(Datagram::RateLimits(rates)) => return rates,
                _ => continue,
            }
        }
    };
    let told = compio::time::timeout(Duration::from_secs(2), told).await.expect("it is told");
    assert_eq!(told, [NamedRate { upstream: "r1".into(), incarnation: 1, rate: 5.0 }]);

    let rate = NamedRate { upstream: "r2".into(), incarnation: 1, rate: 0.0 };
    assert_eq!(peer.send(&Datagram::RateLimits(vec![rate]), &[addr]).await, 0);
    run_for(DATAGRAM_TIME).await;
    assert_eq!(fixture.count_calls("/any/x", "r2").await, 0);
}
