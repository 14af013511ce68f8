//! What nodes tell one another about their load.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use peers::{Datagram, DatagramSocket};

use crate::support::{Fixture, Step};

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Time for a few rounds of beacons in a small fleet.
const ROUNDS_TIME: Duration = Duration::from_millis(900);

async fn bind() -> DatagramSocket {
    DatagramSocket::bind(SocketAddr::from(LOOPBACK)).await.expect("a port is free")
}

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

/// Guards against a busy node of which the others know only the 40 most loaded upstreams.
#[compio::test]
async fn load_on_ninety_upstreams_reaches_the_other_nodes() {
    const UPSTREAMS: usize = 90;
    let fixture = Fixture::ready_with_overload("").await;
    for number in 2..UPSTREAMS {
        let name = format!("upstreams/replica-name-{number:03}");
        fixture.store.write(&name, Some("registry 10.0.0.1:80 a up -"));
    }
    let peer = register_peer(&fixture, "a").await;
    compio::runtime::spawn(gateway::exchange_datagrams(fixture.gateway.clone(), bind().await))
        .detach();
    compio::time::sleep(ROUNDS_TIME).await;
    fixture.push_steps(vec![Step::Silent; UPSTREAMS]);
    for _ in 0..UPSTREAMS {
        let gateway = fixture.gateway.clone();
        compio::runtime::spawn(async move {
            let _ = callers::Router::route(gateway, crate::support::request("/once/1")).await;
        })
        .detach();
    }
    let received = received_within(&peer, ROUNDS_TIME).await;
    let known: BTreeSet<String> = received.iter().flat_map(loaded_upstreams).collect();
    assert_eq!(known.len(), UPSTREAMS);
}
