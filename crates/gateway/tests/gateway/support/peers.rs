//! Sockets that stand for other nodes.

use std::{net::SocketAddr, time::Duration};

use peers::{Beacon, DatagramSocket};

use super::Fixture;

/// Time within which the gateway has read the entry of a node.
const READ_TIME: Duration = Duration::from_millis(750);

/// A socket on the loopback interface.
pub async fn bind() -> DatagramSocket {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    DatagramSocket::bind(any_port).await.expect("a port is free")
}

/// A gateway that exchanges datagrams with the returned socket, and the address of the gateway's own
/// socket.
pub async fn fixture_with_peer() -> (Fixture, DatagramSocket, SocketAddr) {
    let (own, peer) = (bind().await, bind().await);
    let addr = own.local_addr().expect("the socket is bound");
    let fixture = Fixture::ready().await;
    let peer_addr = peer.local_addr().expect("the socket is bound");
    fixture.store.write("gypsumrack/nodes/peer", Some(&format!("{peer_addr} b")));
    compio::runtime::spawn(gateway::exchange_datagrams(fixture.gateway.clone(), own)).detach();
    compio::time::sleep(READ_TIME).await;
    (fixture, peer, addr)
}

/// The beacon of an idle node with this version of the routing table.
pub fn idle_beacon(table_version: u64) -> Beacon {
    Beacon {
        node: "peer".into(),
        table_version,
        loads: Vec::new(),
        failing: Vec::new(),
        slow: Vec::new(),
        loaded: Vec::new(),
    }
}
