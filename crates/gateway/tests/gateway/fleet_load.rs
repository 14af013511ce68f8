//! What nodes tell one another about their load.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use peers::{
    Beacon, BeaconLoad, Datagram, DatagramSocket, DemandReport, LoadPart, MAX_BEACON_ENTRIES,
    RequestCount, ServiceReport,
};

use crate::support::{Fixture, Step, bind, request};

/// Time for a few rounds of beacons in a small fleet.
const ROUNDS_TIME: Duration = Duration::from_millis(900);

/// Time within which a datagram arrives and is applied.
const DATAGRAM_TIME: Duration = Duration::from_millis(60);
/// Time within which a node notices pressure.
const BEACON_TIME: Duration = Duration::from_millis(450);
/// Time after which the load of a silent node does not count.
const LOAD_LIFETIME: Duration = Duration::from_millis(2400);
/// Time within which a node reports its demand.
const REPORT_TIME: Duration = Duration::from_millis(1400);
/// Time after which a request has reached its deadline.
const REQUEST_TIME: Duration = Duration::from_millis(1600);

/// Registers a node of `domain` that only receives.
async fn register_peer(fixture: &Fixture, domain: &str) -> DatagramSocket {
    let peer = bind().await;
    let addr = peer.local_addr().expect("the socket is bound");
    fixture.store.write("gypsumrack/nodes/peer", Some(&format!("{addr} {domain}")));
    peer
}

/// The datagrams that a socket receives within `time`.
async fn received_within(socket: &DatagramSocket, time: Duration) -> Vec<Datagram> {
    let mut received = Vec::new();
    let receive = async {
        loop {
            received.extend(socket.receive().await.expect("the socket is bound"));
        }
    };
    let _ = compio::time::timeout(time, receive).await;
    received
}

/// Names of the upstreams whose load a datagram states.
fn loaded_upstreams(datagram: &Datagram) -> Vec<String> {
    let loads = match datagram {
        Datagram::Beacon(beacon) => &beacon.loads,
        Datagram::LoadPart(part) => &part.loads,
        _ => return Vec::new(),
    };
    loads.iter().map(|load| load.upstream.to_string()).collect()
}

/// Adds replicas until there are `count` with names of 16 bytes.
fn add_replicas(fixture: &Fixture, count: usize) {
    for number in 0..count {
        let name = format!("upstreams/replica-name-{number:03}");
        fixture.store.write(&name, Some("registry 10.0.0.1:80 a up -"));
    }
}

/// Starts exchanging datagrams. Returns the address at which the gateway receives them.
async fn exchange(fixture: &Fixture) -> SocketAddr {
    let own = bind().await;
    let addr = own.local_addr().expect("the socket is bound");
    compio::runtime::spawn(gateway::exchange_datagrams(fixture.gateway.clone(), own)).detach();
    compio::time::sleep(ROUNDS_TIME).await;
    addr
}

/// Starts requests that are not answered, as far as the least used replicas go one on each.
fn start_requests(fixture: &Fixture, count: usize) {
    fixture.push_steps(vec![Step::Silent; count]);
    for _ in 0..count {
        let gateway = fixture.gateway.clone();
        compio::runtime::spawn(async move {
            let _ = callers::Router::route(gateway, request("/once/1")).await;
        })
        .detach();
    }
}

fn beacon(loads: Vec<BeaconLoad>) -> Datagram {
    Datagram::Beacon(Beacon {
        node: "peer".into(),
        table_version: 1,
        loads,
        failing: Vec::new(),
        slow: Vec::new(),
        loaded: Vec::new(),
    })
}

/// A report of a node that runs and keeps waiting these numbers of requests of organisations.
fn demand(organisations: &[(&str, u32, u32)]) -> DemandReport {
    let count = |running, waiting| RequestCount { running, waiting };
    let organisations: Vec<_> = organisations
        .iter()
        .map(|(name, running, waiting)| ((*name).into(), count(*running, *waiting)))
        .collect();
    let service = ServiceReport {
        service: "registry".into(),
        priorities: vec![(1, count(1, 1))],
        organisations,
        others: RequestCount::default(),
    };
    DemandReport { node: "peer".into(), services: vec![service] }
}

/// Guards against a busy node of which the others know only the 40 most loaded upstreams.
#[compio::test]
async fn load_on_ninety_upstreams_reaches_the_other_nodes() {
    const UPSTREAMS: usize = 90;
    let fixture = Fixture::ready_with_overload("").await;
    add_replicas(&fixture, UPSTREAMS - 2);
    let peer = register_peer(&fixture, "a").await;
    exchange(&fixture).await;
    start_requests(&fixture, UPSTREAMS);
    let received = received_within(&peer, ROUNDS_TIME).await;
    let known: BTreeSet<String> = received.iter().flat_map(loaded_upstreams).collect();
    assert_eq!(known.len(), UPSTREAMS);
}

/// Guards against new datagrams of a node whose settings do not enable them.
#[compio::test]
async fn without_the_settings_a_node_sends_beacons_only() {
    let fixture = Fixture::ready().await;
    add_replicas(&fixture, 60);
    let peer = register_peer(&fixture, "a").await;
    exchange(&fixture).await;
    start_requests(&fixture, 62);
    for datagram in received_within(&peer, ROUNDS_TIME).await {
        let Datagram::Beacon(beacon) = datagram else { panic!("{datagram:?} is no beacon") };
        assert!(beacon.loads.len() <= MAX_BEACON_ENTRIES);
    }
    assert!(!fixture.gateway.over_share(&"registry".into(), &"family".into()));
}

/// Guards against a node that takes the silence of the others for free capacity, after its start,
/// when the node that it knew ends, and when it is cut off in one direction.
#[compio::test]
async fn coverage_shows_which_nodes_are_heard() {
    let fixture = Fixture::ready_with_overload("").await;
    assert_eq!(fixture.gateway.coverage(), 1.0, "there is no other node");
    let peer = register_peer(&fixture, "a").await;
    let addr = exchange(&fixture).await;
    assert_eq!(fixture.gateway.coverage(), 0.0);
    let received = received_within(&peer, ROUNDS_TIME).await;
    assert!(!received.is_empty(), "only the other direction is cut");
    peer.send(&beacon(Vec::new()), &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    assert_eq!(fixture.gateway.coverage(), 1.0, "an idle node is known");
    compio::time::sleep(LOAD_LIFETIME).await;
    assert_eq!(fixture.gateway.coverage(), 0.0, "the node is silent");
}

/// Guards against a part or a report that reaches only the node that was chosen to pass it on.
#[compio::test]
async fn parts_and_reports_are_passed_on_within_the_domain() {
    let fixture = Fixture::ready_with_overload("").await;
    let peer = register_peer(&fixture, "a").await;
    let addr = exchange(&fixture).await;
    let part = LoadPart { node: "other".into(), number: 1, loads: Vec::new() };
    let report = demand(&[]);
    let (relayed_part, relayed_report) =
        (Datagram::RelayLoadPart(part.clone()), Datagram::RelayDemand(report.clone()));
    peer.send(&relayed_part, &[addr]).await;
    peer.send(&relayed_report, &[addr]).await;
    let received = received_within(&peer, ROUNDS_TIME).await;
    assert!(received.contains(&Datagram::LoadPart(part)));
    assert!(received.contains(&Datagram::Demand(report)));
}

/// Guards against an organisation whose requests no node can sum up, and against reports that cost
/// messages while there is capacity.
#[compio::test]
async fn demand_is_reported_and_shares_are_limited_under_pressure_only() {
    let fixture = Fixture::ready_with_overload("").await;
    let peer = register_peer(&fixture, "a").await;
    let addr = exchange(&fixture).await;
    let (service, family) = ("registry".into(), "family".into());
    let starved = Datagram::Demand(demand(&[("family", 20, 0), ("small", 1, 9)]));
    start_requests(&fixture, 2);
    let calm = received_within(&peer, REPORT_TIME).await;
    assert!(!calm.iter().any(|datagram| matches!(datagram, Datagram::Demand(_))));
    peer.send(&starved, &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    assert!(!fixture.gateway.over_share(&service, &family), "its share is lent without pressure");
    // Two replicas with 8 slots each.
    start_requests(&fixture, 12);
    compio::time::sleep(BEACON_TIME).await;
    peer.send(&starved, &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    assert!(fixture.gateway.over_share(&service, &family));
    assert!(!fixture.gateway.over_share(&service, &"small".into()));
    // The first requests may have ended before the next report.
    start_requests(&fixture, 12);
    let busy = received_within(&peer, REPORT_TIME).await;
    let running = busy.iter().filter_map(|datagram| match datagram {
        Datagram::Demand(report) => report.services[0].organisations.first(),
        _ => None,
    });
    let running: Vec<u32> = running.map(|(_, count)| count.running).collect();
    assert!(!running.is_empty() && running.iter().all(|count| (1..=24).contains(count)));
}

/// Guards against pressure that is seen only if requests happen to wait when a beacon is sent, and
/// against refused requests that no node counts.
#[compio::test]
async fn refused_requests_are_pressure_and_count_as_waiting() {
    let fixture = Fixture::ready_with_overload("").await;
    let peer = register_peer(&fixture, "a").await;
    exchange(&fixture).await;
    // The next report is due 800 ms after the requests arrive.
    compio::time::sleep(Duration::from_millis(300)).await;
    // Two engines accept 8 streams each, the other requests wait for 100 ms.
    fixture.push_steps(vec![Step::Silent; 16]);
    for _ in 0..24 {
        let gateway = fixture.gateway.clone();
        compio::runtime::spawn(async move {
            let _ = callers::Router::route(gateway, request("/single/1")).await;
        })
        .detach();
    }
    let received = received_within(&peer, REPORT_TIME).await;
    let waiting = received.iter().filter_map(|datagram| match datagram {
        Datagram::Demand(report) => Some(report.services[0].priorities[0].1.waiting),
        _ => None,
    });
    assert_eq!(waiting.max(), Some(8));
}

/// Guards against requests that remain counted after they have ended or were refused.
#[compio::test]
async fn ended_requests_leave_no_demand() {
    let fixture = Fixture::ready_with_overload("").await;
    start_requests(&fixture, 12);
    compio::time::sleep(REQUEST_TIME).await;
    exchange(&fixture).await;
    compio::time::sleep(REPORT_TIME).await;
    let metrics = callers::Router::metrics(&*fixture.gateway);
    let metrics = String::from_utf8(metrics.to_vec()).expect("metrics are text");
    assert!(metrics.contains("gypsumrack_load_coverage"), "{metrics}");
    assert!(!metrics.contains("gypsumrack_fleet_requests{"), "{metrics}");
}
