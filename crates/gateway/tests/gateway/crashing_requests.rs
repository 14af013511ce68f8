//! Guards against a request that crashes upstreams and that a node which has been restarted, or was cut
//! off from the others, lets through again: crashes were told for six seconds and kept nowhere.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use callers::{RoutedFailure, RoutedRequest, Router};
use clock::{Clock, RuntimeClock};
use transport::RequestBody;
use types::FailureKind;

use crate::support::{Fixture, MemoryStore, request, run_for};

/// Start of the bodies of the requests that crash upstreams.
const CRASHING_BODY: &str = "crash";
/// Time after the last crash from which a refusal is kept.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Time within which a refusal is stored.
const STORE_TIME: Duration = Duration::from_millis(400);
const REFUSED_PREFIX: &str = "gypsumrack/refused/";

fn crashing(number: usize) -> RoutedRequest {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let content = format!("{CRASHING_BODY} {number}");
    RoutedRequest {
        body: RequestBody::from_bytes(Bytes::from(content), clock),
        ..request("/any/look")
    }
}

async fn start_node(store: &Rc<MemoryStore>) -> Fixture {
    let node = Fixture::ready_with_store(store.clone()).await;
    node.upstreams.crashing_body.set(Some(CRASHING_BODY));
    compio::runtime::spawn(gateway::store_refusals(node.gateway.clone())).detach();
    node
}

/// A node, and enough replicas of a plain service for all crashes.
async fn node() -> Fixture {
    let store = Rc::new(MemoryStore::default());
    store.write("table", Some("1"));
    for number in 0..150 {
        let value = format!("registry 10.0.2.{number}:80 a up -");
        store.write(&format!("upstreams/r{number}"), Some(&value));
    }
    start_node(&store).await
}

async fn send(node: &Fixture, number: usize) -> Option<RoutedFailure> {
    node.gateway.clone().route(crashing(number)).await.err()
}

fn stored_refusals(store: &MemoryStore) -> usize {
    store.items.borrow().keys().filter(|key| key.starts_with(REFUSED_PREFIX)).count()
}

#[compio::test]
async fn a_restarted_node_refuses_a_request_that_crashes_upstreams() {
    let node = node().await;
    send(&node, 0).await;
    assert_eq!(node.called_upstreams().len(), 2, "the request is sent again once");
    compio::time::sleep(SETTLE_TIME).await;
    let failure = send(&node, 0).await.expect("the request is refused");
    assert_eq!(failure.failure.kind, FailureKind::Poison);
    run_for(STORE_TIME).await;
    let store = node.store.clone();
    drop(node);
    let restarted = start_node(&store).await;
    for _ in 0..3 {
        let failure = send(&restarted, 0).await.expect("the request is refused");
        assert_eq!(failure.failure.kind, FailureKind::Poison);
    }
    assert_eq!(restarted.called_upstreams().len(), 0);
    // Another request is sent, and crashes its upstreams as well.
    send(&restarted, 1).await;
    assert_eq!(restarted.called_upstreams().len(), 2);
}

/// Guards against a flood of writes to the key-value service when many requests are refused at once.
#[compio::test]
async fn refusals_of_many_requests_are_stored_one_after_the_other() {
    const REQUESTS: usize = 30;
    let node = node().await;
    for number in 0..REQUESTS {
        send(&node, number).await;
    }
    compio::time::sleep(SETTLE_TIME).await;
    for number in 0..REQUESTS {
        assert!(send(&node, number).await.is_some(), "request {number} is refused");
    }
    compio::time::sleep(STORE_TIME).await;
    let soon = stored_refusals(&node.store);
    assert!(soon > 0 && soon < REQUESTS / 2, "{soon} refusals are stored at once");
    run_for(Duration::from_millis(60 * REQUESTS as u64)).await;
    assert_eq!(stored_refusals(&node.store), REQUESTS);
}
