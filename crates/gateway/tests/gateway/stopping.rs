//! Guards against requests that a stopping node takes late and cuts without an answer when its process
//! ends, among them such as may not be repeated.

use std::time::Duration;

use types::{FailureKind, Verdict};

use crate::support::{Fixture, Step, body};

/// The grace period of the fixture, less the time that is reserved for the exit of the process.
const LAST_ANSWER: Duration = Duration::from_millis(7300);
/// Time after the stop at which requests are still taken.
const EARLY: Duration = Duration::from_millis(5500);
/// Time after the stop at which a request could run into the end of the grace period.
const LATE: Duration = Duration::from_millis(5900);

#[compio::test]
async fn a_stopping_node_takes_only_requests_that_it_can_answer() {
    let fixture = Fixture::ready().await;
    let stopped = std::time::Instant::now();
    fixture.stop.raise();
    fixture.push_steps([Step::Answer(200, "first")]);
    assert!(fixture.send("/once/x").await.is_ok(), "the node serves after the stop");
    compio::time::sleep(EARLY - stopped.elapsed()).await;
    // The slowest answer that the route allows.
    fixture.push_steps([Step::AnswerAfter { pause: Duration::from_millis(900), body: "slow" }]);
    let answer = fixture.send("/once/x").await.expect("there is time for the request");
    assert_eq!(body(answer).await.as_deref(), Some("slow"));
    assert!(stopped.elapsed() < LAST_ANSWER);
    assert!(stopped.elapsed() >= LATE);
    let calls = fixture.called_upstreams().len();
    for path in ["/once/x", "/any/x", "/drafts/x"] {
        let failure = fixture.send(path).await.err().expect("the request is refused");
        assert_eq!(failure.failure.kind, FailureKind::Draining, "{path}");
        assert_eq!(failure.failure.verdict, Verdict::NotRun, "{path}");
        assert!(failure.retry_after.is_some(), "{path}");
    }
    assert_eq!(fixture.called_upstreams().len(), calls, "no refused request was passed on");
}
