//! Guards against a part of prompts that crashes each engine which begins to answer it. On a day of
//! fault-injection tests, 19 to 33 engines ended and a whole deployment was down, since requests
//! were compared only as a whole and no two were alike.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use callers::{RoutedFailure, RoutedRequest, RoutedResponse, Router};
use clock::{Clock, RuntimeClock};
use peers::DatagramSocket;
use transport::RequestBody;
use types::{Digest, FailureKind, Verdict};

use crate::support::{Fixture, MemoryStore, Step, body, event, request, run_for};

/// Start of the bodies of the requests that crash engines.
const CRASHING_BODY: &str = "crash";
/// First part of all prompts.
const PREAMBLE: Digest = Digest(0x10);
/// The part that crashes engines.
const CRASHING_PART: Digest = Digest(0x11);
/// Another part.
const SOUND_PART: Digest = Digest(0x12);
/// Crashes after which the part must be refused.
const MAX_CRASHES: usize = 5;
/// Crashes beyond these that are allowed in the worst case.
const MAX_LATE_CRASHES: usize = 3;
/// Most attempts at a stream.
const MAX_ATTEMPTS: usize = 6;
/// Time within which a node learns of a crash from another one.
const DATAGRAM_TIME: Duration = Duration::from_millis(60);

/// A request for a stream, with a body of its own.
fn prompt(part: Digest, content: String) -> RoutedRequest {
    prompt_with(&[PREAMBLE, part], content)
}

fn prompt_with(shared: &[Digest], content: String) -> RoutedRequest {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    RoutedRequest {
        id: content.as_str().into(),
        body: RequestBody::from_bytes(Bytes::from(content), clock),
        shared_parts: shared.into(),
        ..request("/drafts/x")
    }
}

/// Nodes with a common key-value service, which lists enough engines for all crashes.
async fn nodes(count: usize) -> Vec<Fixture> {
    let store = Rc::new(MemoryStore::default());
    store.write("table", Some("1"));
    for number in 0..40 {
        let layers = if number % 2 == 0 { "0-5" } else { "5-10" };
        let value = format!("drafts 10.0.1.{number}:80 a up {layers}");
        store.write(&format!("upstreams/e{number}"), Some(&value));
    }
    let mut nodes = Vec::new();
    for _ in 0..count {
        nodes.push(start_node(&store).await);
    }
    nodes
}

async fn start_node(store: &Rc<MemoryStore>) -> Fixture {
    let node = Fixture::ready_with_store(store.clone()).await;
    node.upstreams.crashing_body.set(Some(CRASHING_BODY));
    compio::runtime::spawn(gateway::store_refusals(node.gateway.clone())).detach();
    node
}

/// Lets the nodes exchange datagrams.
async fn connect(nodes: &[Fixture]) {
    for (number, node) in nodes.iter().enumerate() {
        let socket = DatagramSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let socket = socket.expect("a port is free");
        let addr = socket.local_addr().expect("the socket is bound");
        node.store.write(&format!("gypsumrack/nodes/node-{number}"), Some(&format!("{addr} a")));
        compio::runtime::spawn(gateway::exchange_datagrams(node.gateway.clone(), socket)).detach();
    }
    run_for(Duration::from_millis(750)).await;
}

/// Sends crashing requests, no two alike, to the nodes in turn. Returns how many calls reached
/// engines, and the last failure.
async fn send_crashing(nodes: &[Fixture], count: usize) -> (usize, Option<RoutedFailure>) {
    send_crashing_with(nodes, count, &[PREAMBLE, CRASHING_PART]).await
}

async fn send_crashing_with(
    nodes: &[Fixture],
    count: usize,
    shared: &[Digest],
) -> (usize, Option<RoutedFailure>) {
    let calls = || nodes.iter().map(|node| node.called_upstreams().len()).sum::<usize>();
    let before = calls();
    let mut last = None;
    for number in 0..count {
        let node = &nodes[number % nodes.len()];
        let crashing = prompt_with(shared, format!("{CRASHING_BODY} {number} {before}"));
        last = match node.gateway.clone().route(crashing).await {
            Ok(response) => {
                body(response).await;
                None
            }
            Err(failure) => Some(failure),
        };
        run_for(DATAGRAM_TIME).await;
    }
    (calls() - before, last)
}

async fn send_sound(node: &Fixture, content: &str) -> Result<RoutedResponse, RoutedFailure> {
    send_sound_with(node, content, &[PREAMBLE, SOUND_PART]).await
}

async fn send_sound_with(
    node: &Fixture,
    content: &str,
    shared: &[Digest],
) -> Result<RoutedResponse, RoutedFailure> {
    node.push_steps([Step::Events(vec![0])]);
    node.gateway.clone().route(prompt_with(shared, content.into())).await
}

#[compio::test]
async fn a_part_that_crashes_engines_is_refused_on_all_nodes_while_sound_requests_are_served() {
    let nodes = nodes(3).await;
    connect(&nodes).await;
    let (calls, failure) = send_crashing(&nodes, 15).await;
    assert!(calls <= MAX_CRASHES, "{calls} engines crashed");
    let failure = failure.expect("the request is refused").failure;
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Poison, Verdict::NotRun));
    for (number, node) in nodes.iter().enumerate() {
        let response = send_sound(node, &format!("sound {number}")).await;
        let response = response.expect("a sound request with the same first part is served");
        assert_eq!(body(response).await, Some(event(0)));
    }
}

#[compio::test]
async fn sound_requests_between_the_crashes_are_served() {
    let nodes = nodes(2).await;
    connect(&nodes).await;
    for number in 0..6 {
        send_crashing(&nodes, 1).await;
        let response = send_sound(&nodes[number % 2], &format!("sound {number}")).await;
        assert!(response.is_ok(), "request {number} is served");
    }
}

/// Guards against an answer that ends before its first event, as that of a crashing engine may, and
/// that counts as one that has begun.
#[compio::test]
async fn an_empty_stream_does_not_clear_a_part() {
    let nodes = nodes(1).await;
    let mut calls = 0;
    for number in 0..8 {
        calls += send_crashing(&nodes, 1).await.0;
        nodes[0].push_steps([Step::Events(vec![])]);
        let empty = prompt(CRASHING_PART, format!("empty {number}"));
        if let Ok(response) = nodes[0].gateway.clone().route(empty).await {
            body(response).await;
        }
        nodes[0].upstreams.steps.borrow_mut().clear();
    }
    assert!(calls <= MAX_CRASHES, "{calls} engines crashed");
}

#[compio::test]
async fn a_node_that_starts_later_reads_the_refused_part_from_the_store() {
    let mut nodes = nodes(1).await;
    let (calls, _) = send_crashing(&nodes, 10).await;
    assert!(calls <= MAX_CRASHES, "{calls} engines crashed");
    let store = nodes[0].store.clone();
    nodes.clear();
    let restarted = start_node(&store).await;
    let (calls, failure) = send_crashing(&[restarted], 3).await;
    assert_eq!(calls, 0);
    assert!(failure.is_some_and(|failure| failure.failure.kind == FailureKind::Poison));
}

/// Guards against sound requests that are refused for good because none of their caller was answered
/// while another part of its prompts crashed engines: the part behind that one was refused. Also after
/// a restart, which reads the refusal.
#[compio::test]
async fn sound_requests_of_a_quiet_caller_are_served_after_the_crashes() {
    let (crashing, sound) = ([CRASHING_PART, PREAMBLE], [SOUND_PART, PREAMBLE]);
    for begun_events in [0, 1] {
        let mut nodes = nodes(3).await;
        connect(&nodes).await;
        nodes.iter().for_each(|node| node.upstreams.events_before_crash.set(begun_events));
        let (calls, failure) = send_crashing_with(&nodes, 15, &crashing).await;
        assert!(failure.is_some_and(|failure| failure.failure.kind == FailureKind::Poison));
        assert!(calls <= MAX_CRASHES + MAX_LATE_CRASHES, "{calls} engines crashed");
        run_for(Duration::from_secs(1)).await;
        let store = nodes[0].store.clone();
        nodes.push(start_node(&store).await);
        for node in &nodes {
            let node_alone = std::slice::from_ref(node);
            assert_eq!(send_crashing_with(node_alone, 1, &crashing).await.0, 0);
            for number in 0..3 {
                let response = send_sound_with(node, &format!("sound {number}"), &sound).await;
                assert!(response.is_ok(), "{begun_events} events before each crash");
            }
            assert_eq!(send_crashing_with(node_alone, 1, &crashing).await.0, 0);
        }
    }
}

#[compio::test]
async fn a_part_is_refused_while_the_store_cannot_be_reached() {
    let nodes = nodes(2).await;
    connect(&nodes).await;
    nodes[0].store.is_down.set(true);
    let (calls, _) = send_crashing(&nodes, 10).await;
    assert!(calls <= MAX_CRASHES, "{calls} engines crashed");
}

/// Guards against crashes that are counted only if the engine which the request was sent to has
/// crashed.
#[compio::test]
async fn crashes_of_later_engines_of_a_path_count() {
    let nodes = nodes(2).await;
    connect(&nodes).await;
    nodes.iter().for_each(|node| node.upstreams.crashes_last.set(true));
    let (calls, failure) = send_crashing(&nodes, 10).await;
    assert!(calls <= MAX_CRASHES, "{calls} engines crashed");
    assert!(failure.is_some_and(|failure| failure.failure.kind == FailureKind::Poison));
}

/// Guards against a crash that no probe sees because the engine is back under its name.
#[compio::test]
async fn a_restart_under_the_same_name_counts_as_a_crash() {
    let nodes = nodes(1).await;
    let node = &nodes[0];
    node.upstreams.crashing_body.set(None);
    for number in 0..3 {
        // The request may leave several silent paths before its deadline.
        node.push_steps(vec![Step::Silent; MAX_ATTEMPTS]);
        let crashing = prompt(CRASHING_PART, format!("{CRASHING_BODY} {number}"));
        let running = compio::runtime::spawn(node.gateway.clone().route(crashing));
        run_for(DATAGRAM_TIME).await;
        let called = node.called_upstreams().pop().expect("an engine was called");
        let value = node.store.items.borrow()[&format!("upstreams/{called}")].value.clone();
        let value = String::from_utf8(value.expect("the entry exists")).expect("it is text");
        // An engine that was called before has an incarnation in its entry already.
        let fields: Vec<&str> = value.split(' ').take(5).collect();
        let restarted = format!("{} {}", fields.join(" "), number + 2);
        node.store.write(&format!("upstreams/{called}"), Some(&restarted));
        compio::time::sleep(Duration::from_millis(1100)).await;
        running.cancel().await;
        node.upstreams.steps.borrow_mut().clear();
    }
    node.push_steps(vec![Step::Silent; MAX_ATTEMPTS]);
    let crashing = prompt(CRASHING_PART, format!("{CRASHING_BODY} again"));
    let failure = node.gateway.clone().route(crashing).await.err().expect("it is refused");
    assert_eq!(failure.failure.kind, FailureKind::Poison);
}

/// Guards against a part that is condemned by links that break.
#[compio::test]
async fn broken_calls_to_engines_that_run_on_condemn_no_part() {
    let nodes = nodes(1).await;
    for number in 0..6 {
        nodes[0].push_steps([Step::Broken, Step::Events(vec![0])]);
        let sound = prompt(SOUND_PART, format!("sound {number}"));
        assert!(nodes[0].gateway.clone().route(sound).await.is_ok(), "request {number} is served");
    }
}

/// Guards against a part that is never refused because the first events are out before each crash. The
/// stream then goes on at the next engine, and takes the part along.
#[compio::test]
async fn a_part_that_crashes_engines_in_the_middle_of_their_answers_is_refused() {
    for events_before_crash in [1, 7] {
        let nodes = nodes(3).await;
        connect(&nodes).await;
        for node in &nodes {
            node.upstreams.events_before_crash.set(events_before_crash);
        }
        for number in 0..4 {
            send_crashing(&nodes, 1).await;
            let response = send_sound(&nodes[number % 3], &format!("sound {number}")).await;
            body(response.expect("a sound request is served")).await;
        }
        let (calls, failure) = send_crashing(&nodes, 9).await;
        assert_eq!(calls, 0, "{events_before_crash} events before each crash");
        assert!(failure.is_some_and(|failure| failure.failure.kind == FailureKind::Poison));
        let response = send_sound(&nodes[0], "sound at last").await;
        let response = response.expect("a sound request with the same first part is served");
        assert_eq!(body(response).await, Some(event(0)));
    }
}
