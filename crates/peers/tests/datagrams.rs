//! Datagrams that no node has sent.

use std::{
    cell::Cell,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
};

use peers::{
    Beacon, BeaconLoad, Datagram, DatagramSocket, DemandReport, MAX_BEACON_ENTRIES, RequestCount,
    ServiceReport,
};
use proptest::prelude::*;

fn beacon() -> Datagram {
    Datagram::Beacon(Beacon {
        node: "n".into(),
        table_version: 1,
        loads: Vec::new(),
        failing: Vec::new(),
        slow: Vec::new(),
        loaded: Vec::new(),
    })
}

/// Sends raw datagrams and then a beacon to a socket. Returns what the socket receives before the
/// beacon.
fn receive_all(raw: &[Vec<u8>]) -> Vec<Option<Datagram>> {
    let runtime = compio::runtime::Runtime::new().expect("a runtime is available");
    runtime.block_on(async {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = DatagramSocket::bind(loopback).await.expect("a port is free");
        let other = DatagramSocket::bind(loopback).await.expect("a port is free");
        let addr = socket.local_addr().expect("the socket is bound");
        let sender = UdpSocket::bind(loopback).expect("a port is free");
        for bytes in raw {
            sender.send_to(bytes, addr).expect("the datagram is sent");
        }
        assert_eq!(other.send(&beacon(), &[addr]).await, 0);
        let mut received = Vec::new();
        loop {
            let next = socket.receive().await.expect("the socket is bound");
            if next == Some(beacon()) {
                return received;
            }
            received.push(next);
        }
    })
}

/// Guards against a busy node whose beacons no other node accepts: the receiver counted the size of
/// the decoded values instead of that of the datagram.
#[test]
fn a_full_beacon_is_received() {
    let load = |number| BeaconLoad {
        upstream: format!("upstream-{number:07}").as_str().into(),
        requests: 3,
        entered: 1,
        token_layers: 100_000,
    };
    let Datagram::Beacon(beacon) = beacon() else { panic!("not a beacon") };
    let loads = (0..MAX_BEACON_ENTRIES).map(load).collect();
    let full = Datagram::Beacon(Beacon { loads, ..beacon });
    let bytes = bincode::serde::encode_to_vec(&full, bincode::config::standard());
    let received = receive_all(&[bytes.expect("the beacon can be encoded")]);
    assert_eq!(received, [Some(full)]);
}

/// A beacon with load on `count` upstreams whose names have 16 bytes.
fn beacon_with_loads(count: usize) -> Beacon {
    let load = |number| BeaconLoad {
        upstream: format!("upstream-{number:07}").as_str().into(),
        requests: 300,
        entered: 300,
        token_layers: 100_000_000_000,
    };
    let Datagram::Beacon(beacon) = beacon() else { panic!("not a beacon") };
    let reports = |number| format!("upstream-{number:07}").as_str().into();
    Beacon {
        loads: (0..count).map(load).collect(),
        failing: (0..8).map(|number| (reports(number), 1)).collect(),
        slow: (0..8).map(|number| (reports(number), 1, 400)).collect(),
        ..beacon
    }
}

/// Guards against load on many upstreams that does not fit into one datagram, and against a datagram
/// that is too large to be sent because the node also reports failing and slow upstreams.
#[test]
fn load_on_ninety_upstreams_fits_into_several_datagrams() {
    let whole = beacon_with_loads(90);
    let datagrams = Datagram::of_beacon(whole.clone());
    assert!(datagrams.len() > 1);
    let encoded: Vec<Vec<u8>> = datagrams
        .iter()
        .flat_map(|datagram| [datagram.clone(), datagram.clone().for_relay()])
        .map(|datagram| {
            bincode::serde::encode_to_vec(&datagram, bincode::config::standard())
                .expect("the datagram can be encoded")
        })
        .collect();
    assert!(encoded.iter().all(|bytes| bytes.len() <= 1400));
    let received: Vec<Datagram> = receive_all(&encoded).into_iter().flatten().collect();
    let loads = received.into_iter().flat_map(|datagram| match datagram {
        Datagram::Beacon(beacon) => beacon.loads,
        Datagram::LoadPart(part) => part.loads,
        _ => Vec::new(),
    });
    assert_eq!(loads.collect::<Vec<_>>(), whole.loads);
}

/// The kinds of datagrams that the previous release knows, without their content.
#[derive(Debug, serde::Deserialize)]
#[allow(dead_code)]
enum PreviousKind {
    Beacon,
    StoreChanges,
    Failed,
    RelayBeacon,
    RelayStoreChanges,
    Crashes,
    Leaving,
    RelayLeaving,
}

/// A report about `count` services, each with ten priorities and eight organisations.
fn demand_report(count: usize) -> DemandReport {
    let requests = RequestCount { running: 100_000, waiting: 100_000 };
    let service = |number| ServiceReport {
        service: format!("service-{number:08}").as_str().into(),
        priorities: (0..10).map(|priority| (priority, requests)).collect(),
        organisations: (0..8)
            .map(|number| (format!("organisation-{number:03}").as_str().into(), requests))
            .collect(),
        others: requests,
    };
    DemandReport { node: "node".into(), services: (0..count).map(service).collect() }
}

/// Guards against a report that is never sent because it exceeds a datagram.
#[test]
fn a_report_keeps_the_services_that_fit_into_a_datagram() {
    let datagram = Datagram::of_demand(demand_report(20));
    let Datagram::Demand(report) = &datagram else { panic!("{datagram:?} is no report") };
    assert!((2..20).contains(&report.services.len()));
    let bytes = bincode::serde::encode_to_vec(&datagram, bincode::config::standard());
    let bytes = bytes.expect("the report can be encoded");
    assert!(bytes.len() <= 1400);
    assert_eq!(receive_all(&[bytes]), [Some(datagram)]);
}

/// Guards against a node of the previous release that takes a part of a beacon or a report for
/// something else.
#[test]
fn the_previous_release_ignores_new_kinds() {
    let mut datagrams = Datagram::of_beacon(beacon_with_loads(90)).split_off(1);
    datagrams.push(Datagram::of_demand(demand_report(1)));
    for datagram in datagrams {
        for datagram in [datagram.clone(), datagram.for_relay()] {
            let config = bincode::config::standard();
            let bytes = bincode::serde::encode_to_vec(&datagram, config).expect("it is encoded");
            let kind = bincode::serde::decode_from_slice::<PreviousKind, _>(&bytes, config);
            assert!(kind.is_err(), "{kind:?}");
        }
    }
}

/// Guards against a node that ends, or no longer receives anything, because a datagram states a
/// length that no datagram can have: the receiver reserved memory for it.
#[test]
fn length_beyond_the_datagram_is_rejected() {
    let stated = |length: u64| [&[0, 253][..], &length.to_le_bytes()].concat();
    let raw = [stated(u64::MAX), stated(1 << 40), stated(1 << 62), vec![0, 250], vec![1, 250]];
    assert_eq!(receive_all(&raw), vec![None; raw.len()]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a panic on bytes that are no datagram.
    #[test]
    fn arbitrary_bytes_do_not_stop_the_receiver(
        raw in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..8),
    ) {
        receive_all(&raw);
    }
}

/// Guards against a node that sends datagrams without a pause and so keeps the only thread of another
/// one: each of them can be received at once.
#[test]
fn datagrams_that_have_arrived_stop_no_other_task() {
    const DATAGRAMS: usize = 100;
    let runtime = compio::runtime::Runtime::new().expect("a runtime is available");
    runtime.block_on(async {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = DatagramSocket::bind(loopback).await.expect("a port is free");
        let addr = socket.local_addr().expect("the socket is bound");
        let sender = UdpSocket::bind(loopback).expect("a port is free");
        for _ in 0..DATAGRAMS {
            sender.send_to(b"x", addr).expect("the datagram is sent");
        }
        let received = Rc::new(Cell::new(0));
        let count = received.clone();
        let receiving = compio::runtime::spawn(async move {
            while count.get() < DATAGRAMS {
                socket.receive().await.expect("the socket is bound");
                count.set(count.get() + 1);
            }
        });
        let other = compio::runtime::spawn(async move { received.get() });
        let received_before = other.await.expect("the task does not panic");
        assert!(received_before < DATAGRAMS, "the other task waited for all datagrams");
        receiving.await.expect("the task does not panic");
    });
}
