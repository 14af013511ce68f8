//! Which failures of upstreams count as crashes that a request has caused.

use std::time::Duration;

use types::FailureKind;

use crate::support::{Fixture, Step};

/// Guards against one request that crashes one upstream after another.
#[compio::test]
async fn a_request_that_crashed_two_upstreams_is_refused() {
    let fixture = Fixture::ready().await;
    fixture.upstreams.crashing_body.set(Some(""));
    assert!(fixture.send("/any/poison").await.is_err());
    compio::time::sleep(Duration::from_millis(100)).await;
    let failure = fixture.send("/any/poison").await.err().expect("the request is refused");
    assert_eq!(failure.failure.kind, FailureKind::Poison);
    assert_eq!(fixture.called_upstreams().len(), 2);
}

/// Guards against refusing a harmless request because its upstreams were lost together: it was not
/// sent to the one that refused its connection.
#[compio::test]
async fn a_refused_connection_is_not_counted_as_a_crash_of_the_request() {
    let fixture = Fixture::ready().await;
    fixture.upstreams.refuse_probes.set(true);
    fixture.push_steps([Step::Broken, Step::ConnectRefused, Step::Answer(200, "found")]);
    assert!(fixture.send("/any/x").await.is_err());
    compio::time::sleep(Duration::from_millis(100)).await;
    assert!(fixture.send("/any/x").await.is_ok());
}

/// Guards against refusing a harmless request because the links to its upstreams were cut.
#[compio::test]
async fn upstreams_out_of_reach_are_not_counted_as_crashes() {
    let fixture = Fixture::ready().await;
    fixture.upstreams.ignore_probes.set(true);
    fixture.push_steps([Step::Broken, Step::Broken, Step::Answer(200, "found")]);
    assert!(fixture.send("/any/x").await.is_err());
    compio::time::sleep(Duration::from_millis(100)).await;
    assert!(fixture.send("/any/x").await.is_ok());
}

/// Guards against refusing harmless requests because their connections broke.
#[compio::test]
async fn broken_connections_to_reachable_upstreams_are_not_counted_as_crashes() {
    let fixture = Fixture::ready().await;
    fixture.push_steps([Step::Broken, Step::Broken, Step::Answer(200, "found")]);
    assert!(fixture.send("/any/x").await.is_err());
    compio::time::sleep(Duration::from_millis(100)).await;
    assert!(fixture.send("/any/x").await.is_ok());
}
