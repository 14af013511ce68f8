//! Guards against connections to the key-value service that fall silent: one of the calls notices it,
//! and the others that wait on such connections learned nothing of it. The node with the planner's lease
//! went on for seconds with a configuration that had been replaced.

use std::time::Duration;

use callers::RoutedFailure;
use peers::Datagram;
use types::FailureKind;

use crate::support::{Fixture, fixture_with_peer, idle_beacon, run_for};

/// Time within which the planner has acquired its lease.
const ACQUIRE_TIME: Duration = Duration::from_millis(700);
/// Time within which the next watch has begun, which then stays silent.
const SILENCE_TIME: Duration = Duration::from_millis(700);
/// Time within which the planner's renewal fails and the change is read.
const NOTICE_TIME: Duration = Duration::from_millis(2000);

/// The only watch falls silent, and the planner's renewal is the only call that gets no answer.
#[compio::test]
async fn a_renewal_of_the_planner_that_gets_no_answer_ends_a_silent_watch() {
    let fixture = Fixture::ready().await;
    compio::runtime::spawn(gateway::run_planner(fixture.gateway.clone())).detach();
    compio::time::sleep(ACQUIRE_TIME).await;
    let store = &fixture.store;
    assert!(store.items.borrow().contains_key("gypsumrack/planner"), "the lease is acquired");
    store.is_silent.set(true);
    compio::time::sleep(SILENCE_TIME).await;
    store.is_silent.set(false);
    // The newest lease is that of the planner.
    store.silent_lease.set(Some(store.leases.get()));
    store.write("table", Some("2 empty"));
    compio::time::sleep(NOTICE_TIME).await;
    let failure: RoutedFailure = fixture.send("/any/x").await.err().expect("the key is gone");
    assert_eq!(failure.failure.kind, FailureKind::NotFound, "{failure:?}");
}

/// Guards against a watch that stays open and reports no changes, while all other calls are answered. On a
/// day of fault-injection tests, three nodes went on for eleven seconds with a configuration that had been
/// replaced, although the others announced newer ones.
#[compio::test]
async fn a_watch_that_shows_nothing_of_an_announced_configuration_is_opened_anew() {
    let (fixture, peer, addr) = fixture_with_peer().await;
    fixture.store.is_silent.set(true);
    compio::time::sleep(SILENCE_TIME).await;
    fixture.store.is_silent.set(false);
    fixture.store.write("table", Some("2 empty"));
    assert_eq!(peer.send(&Datagram::Beacon(idle_beacon(2)), &[addr]).await, 0);
    run_for(SILENCE_TIME).await;
    let failure: RoutedFailure = fixture.send("/any/x").await.err().expect("the key is gone");
    assert_eq!(failure.failure.kind, FailureKind::NotFound, "{failure:?}");
}
