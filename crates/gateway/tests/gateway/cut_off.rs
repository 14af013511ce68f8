//! A node that has lost its links to all upstreams, while the other nodes reach them.

use std::{rc::Rc, time::Duration};

use callers::Router;
use clock::RuntimeClock;
use compio::net::TcpListener;
use peers::{Datagram, DatagramSocket, relay::RelayServer};
use transport::StopSignal;
use types::Verdict;

use crate::support::{Fixture, MemoryStore, Step, body, event, fixture_with_peer};

/// Time in which several beacons are sent.
const BEACON_TIME: Duration = Duration::from_millis(900);

/// The datagrams that arrive within a time.
async fn datagrams_within(peer: &DatagramSocket, time: Duration) -> Vec<Datagram> {
    let mut datagrams = Vec::new();
    let receive = async {
        loop {
            datagrams.extend(peer.receive().await.expect("the socket is bound"));
        }
    };
    // The loop does not end by itself.
    let _: Result<(), _> = compio::time::timeout(time, receive).await;
    datagrams
}

/// Whether a datagram says that upstreams fail or have crashed.
fn accuses_upstreams(datagram: &Datagram) -> bool {
    match datagram {
        Datagram::Beacon(beacon) | Datagram::RelayBeacon(beacon) => !beacon.failing.is_empty(),
        Datagram::Failed(_) | Datagram::Crashes(_) => true,
        _ => false,
    }
}

/// Guards against nodes that avoid sound upstreams since a node that is cut off reports them as
/// failing. In an incident, five nodes in touch avoided 25 of 39 engines.
#[compio::test]
async fn a_node_that_is_cut_off_reports_no_failed_upstreams() {
    let (fixture, peer, _) = fixture_with_peer().await;
    datagrams_within(&peer, BEACON_TIME).await;
    fixture.upstreams.ignore_probes.set(true);
    fixture.push_steps(vec![Step::Unreachable; 8]);
    for _ in 0..4 {
        assert!(fixture.send("/once/x").await.is_err());
    }
    let datagrams = datagrams_within(&peer, BEACON_TIME).await;
    assert!(!datagrams.iter().any(accuses_upstreams), "{datagrams:?}");
}

/// Guards against requests that are taken for the cause of crashes, since all upstreams refuse the
/// connections of a node that is cut off.
#[compio::test]
async fn a_node_that_is_cut_off_reports_no_crashes() {
    let (fixture, peer, _) = fixture_with_peer().await;
    datagrams_within(&peer, BEACON_TIME).await;
    fixture.upstreams.refuse_probes.set(true);
    fixture.push_steps(vec![Step::Broken; 4]);
    for _ in 0..4 {
        assert!(fixture.send("/once/x").await.is_err());
    }
    let datagrams = datagrams_within(&peer, BEACON_TIME).await;
    assert!(!datagrams.iter().any(accuses_upstreams), "{datagrams:?}");
}

/// Time within which the gateway has read the entry of a node.
const READ_TIME: Duration = Duration::from_millis(800);
/// Time within which a request that no node can run is rejected.
const REJECT_TIME: Duration = Duration::from_millis(600);

/// Two nodes: the first one knows the second one, which runs requests that are passed on to it.
async fn two_nodes() -> (Fixture, Fixture) {
    let (first, second) = (Fixture::ready().await, Fixture::ready().await);
    let addr = serve_relayed(&second).await;
    first.store.write("gypsumrack/nodes/second", Some(&format!("{addr} b")));
    compio::time::sleep(READ_TIME).await;
    (first, second)
}

/// Cuts a node off from its upstreams: connections are not opened.
fn cut_off(node: &Fixture) {
    node.upstreams.ignore_probes.set(true);
    node.push_steps(vec![Step::Unreachable; 6]);
}

/// Guards against callers who are refused since their node has lost its links to the upstreams.
#[compio::test]
async fn requests_of_a_node_that_is_cut_off_are_run_by_another_node() {
    let (first, second) = two_nodes().await;
    cut_off(&first);
    let later = Step::AnswerAfter { pause: Duration::from_millis(100), body: "found" };
    second.push_steps([later, Step::Answer(200, "filed")]);
    let found = first.send("/any/x").await.expect("the other node runs the request");
    assert_eq!(body(found).await.as_deref(), Some("found"));
    let filed = first.send("/once/x").await.expect("the other node runs the request");
    assert_eq!(body(filed).await.as_deref(), Some("filed"));
}

/// Guards against a stream that is not served, or only as a whole, through another node.
#[compio::test]
async fn a_stream_of_a_node_that_is_cut_off_is_forwarded_by_another_node() {
    let (first, second) = two_nodes().await;
    cut_off(&first);
    let pause = Duration::from_millis(100);
    second.push_steps([Step::EventsAroundPause { before: vec![0], pause, after: vec![1, 2] }]);
    let response = first.send("/drafts/x").await.expect("the other node runs the request");
    assert_eq!(body(response).await, Some((0..3).map(event).collect()));
}

/// Guards against a stream that hangs until its deadline when the links of its node are lost.
#[compio::test]
async fn a_stream_is_resumed_at_another_node_when_the_links_are_lost() {
    let (first, second) = two_nodes().await;
    first.push_steps([Step::EventsThenSilence(vec![0])]);
    let response = first.send("/drafts/x").await.expect("the stream begins");
    cut_off(&first);
    second.push_steps([Step::Events(vec![1, 2])]);
    assert_eq!(body(response).await, Some((0..3).map(event).collect()));
    assert_eq!(second.upstreams.calls.borrow()[0].1.resume_after, Some(0));
}

/// Guards against a stream that runs on more entry upstreams of both nodes together than its route
/// allows.
#[compio::test]
async fn two_nodes_share_the_count_of_entry_upstreams() {
    let (first, second) = two_nodes().await;
    first.push_steps([Step::EventsThenSilence(vec![0])]);
    let response = first.send("/drafts/x").await.expect("the stream begins");
    cut_off(&first);
    let own = first.called_upstreams()[0].clone();
    second.push_steps([
        Step::EventsThenBroken(vec![1]),
        Step::EventsThenBroken(vec![2]),
        Step::EventsThenBroken(vec![3]),
        Step::EventsThenBroken(vec![4]),
        Step::EventsThenBroken(vec![5]),
    ]);
    body(response).await;
    let mut used = second.called_upstreams();
    used.push(own);
    used.sort_unstable();
    used.dedup();
    assert!(used.len() <= 2, "{used:?}");
}

/// Guards against a request that may run once and runs again at another node.
#[compio::test]
async fn a_request_that_may_have_run_is_not_passed_on() {
    let (first, second) = two_nodes().await;
    first.upstreams.ignore_probes.set(true);
    first.push_steps([Step::Broken]);
    let failure = first.send("/once/x").await.err().expect("the request may have run");
    assert_eq!(failure.failure.verdict, Verdict::MayHaveRun);
    assert!(second.called_upstreams().is_empty());
}

/// Guards against requests that wait, or go from node to node, while no node reaches the upstreams.
#[compio::test]
async fn a_request_is_rejected_soon_when_all_nodes_are_cut_off() {
    let (first, second) = two_nodes().await;
    cut_off(&first);
    cut_off(&second);
    assert!(second.send("/any/x").await.is_err());
    let sending = compio::time::timeout(REJECT_TIME, first.send("/any/x"));
    let failure = sending.await.expect("the request is rejected soon").err();
    let failure = failure.expect("no node runs the request");
    assert_eq!(failure.failure.verdict, Verdict::NotRun);
    assert!(failure.retry_after.is_some());
    assert!(second.called_upstreams().iter().all(|name| name.starts_with('r')));
}

/// Guards against a node that goes on passing requests on after its links work again.
#[compio::test]
async fn a_node_runs_its_requests_again_when_its_links_work() {
    let (first, second) = two_nodes().await;
    cut_off(&first);
    second.push_steps([Step::Answer(200, "elsewhere")]);
    assert!(first.send("/any/x").await.is_ok());
    first.upstreams.ignore_probes.set(false);
    first.upstreams.steps.borrow_mut().clear();
    first.push_steps([Step::Answer(200, "here")]);
    compio::time::sleep(Duration::from_millis(500)).await;
    let response = first.send("/any/x").await.expect("the node runs the request");
    assert_eq!(body(response).await.as_deref(), Some("here"));
}

/// Guards against a lost failure domain that is taken for the loss of all links.
#[compio::test]
async fn a_node_is_not_cut_off_when_a_failure_domain_is_lost() {
    let (first, second) = two_nodes().await;
    first.upstreams.stopped.borrow_mut().extend(["e1", "e2", "r1"].map(String::from));
    first.push_steps([Step::Answer(200, "found"), Step::Events(vec![0])]);
    assert!(first.send("/any/x").await.is_ok());
    assert!(first.send("/drafts/x").await.is_ok());
    assert!(second.called_upstreams().is_empty());
}

/// Guards against an upstream that goes on working for a caller who has left the node that is cut off.
#[compio::test]
async fn a_relayed_stream_ends_when_its_caller_leaves() {
    let (first, second) = two_nodes().await;
    cut_off(&first);
    second.push_steps([Step::EventsThenSilence(vec![0])]);
    let response = first.send("/drafts/x").await.expect("the stream begins");
    assert_eq!(metric(&second, "gypsumrack_in_flight"), 1);
    drop(response);
    compio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(metric(&second, "gypsumrack_in_flight"), 0);
}

/// Guards against a request that waits for a node which hangs after it has taken it over.
#[compio::test]
async fn a_stream_leaves_a_node_that_hangs() {
    let (first, second) = two_nodes().await;
    let hanging = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = hanging.local_addr().expect("the listener is bound");
    // It is of the domain of the first node, which therefore prefers it.
    first.store.write("gypsumrack/nodes/hanging", Some(&format!("{addr} a")));
    compio::time::sleep(READ_TIME).await;
    cut_off(&first);
    second.push_steps([Step::Events(vec![0, 1])]);
    let sending = compio::time::timeout(Duration::from_secs(2), first.send("/drafts/x"));
    let response = sending.await.expect("the stream begins elsewhere").expect("it is served");
    assert_eq!(body(response).await, Some(event(0) + &event(1)));
}

/// Guards against a request that is offered to each node of a failure domain which is cut off as a
/// whole. In an incident, half of the first tries in a domain of 44 nodes were late.
#[compio::test]
async fn a_domain_with_a_node_that_is_cut_off_is_tried_once() {
    const OTHERS: usize = 12;
    let (first, second) = two_nodes().await;
    let cut = Fixture::ready().await;
    cut_off(&cut);
    assert!(cut.send("/any/x").await.is_err());
    for number in 0..OTHERS {
        let addr = serve_relayed(&cut).await;
        let key = format!("gypsumrack/nodes/cut-{number}");
        first.store.write(&key, Some(&format!("{addr} a")));
    }
    cut.store.write("gypsumrack/nodes/first", Some("127.0.0.1:9 a"));
    compio::time::sleep(READ_TIME).await;
    cut_off(&first);
    second.push_steps([Step::Answer(200, "found")]);
    assert!(first.send("/any/x").await.is_ok());
    assert_eq!(relayed(&cut, "unable"), 1);
}

/// Runs requests that are passed on to `node`. Returns the address.
async fn serve_relayed(node: &Fixture) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    let clock = Rc::new(RuntimeClock::new());
    let server = RelayServer::new(clock, listener, node.gateway.clone());
    compio::runtime::spawn(server.run(StopSignal::new(), Duration::ZERO)).detach();
    addr
}

fn relayed(node: &Fixture, step: &str) -> u32 {
    metric(node, &format!("gypsumrack_relayed_requests_total{{step=\"{step}\"}}"))
}

fn metric(node: &Fixture, name: &str) -> u32 {
    let metrics = node.gateway.metrics();
    let text = std::str::from_utf8(&metrics).expect("metrics are text");
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.expect("the metric exists").parse().expect("the metric is a number")
}

/// Guards against crashes of many upstreams of the only failure domain that are taken for the loss of
/// all links.
#[compio::test]
async fn a_node_is_not_cut_off_when_many_upstreams_of_one_domain_have_crashed() {
    const REPLICAS: usize = 40;
    let store = Rc::new(MemoryStore::default());
    store.write("table", Some("1"));
    for number in 0..REPLICAS {
        let value = format!("registry 10.0.2.{number}:80 a up -");
        store.write(&format!("upstreams/r{number}"), Some(&value));
    }
    let node = Fixture::ready_with_store(store).await;
    let crashed = (0..REPLICAS * 3 / 4).map(|number| format!("r{number}"));
    node.upstreams.stopped.replace(crashed.collect());
    for _ in 0..12 {
        node.push_steps([Step::Answer(200, "found")]);
        // It may meet crashed upstreams only.
        let _: Result<_, _> = node.send("/any/x").await;
        compio::time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(metric(&node, "gypsumrack_link_losses_total"), 0);
}
