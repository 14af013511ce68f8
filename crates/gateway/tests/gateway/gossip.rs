//! What nodes tell one another of changes in the key-value service.

use std::{net::SocketAddr, time::Duration};

use peers::{Beacon, Datagram, DatagramSocket, StoreChange};

use crate::support::{Step, World, body, event};

/// Time in which a datagram arrives and is taken over.
const DATAGRAM_TIME: Duration = Duration::from_millis(60);
const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

async fn bind() -> DatagramSocket {
    DatagramSocket::bind(SocketAddr::from(LOOPBACK)).await.expect("a port is free")
}

/// A gateway that exchanges datagrams with the returned socket, and the gateway's address.
async fn world_with_peer() -> (World, DatagramSocket, SocketAddr) {
    let (own, peer) = (bind().await, bind().await);
    let addr = own.local_addr().expect("the socket is bound");
    let world = World::ready().await;
    let peer_addr = peer.local_addr().expect("the socket is bound");
    world.store.write("gypsumrack/nodes/peer", Some(&format!("{peer_addr} b")));
    compio::runtime::spawn(gateway::exchange_datagrams(world.gateway.clone(), own)).detach();
    compio::time::sleep(Duration::from_millis(750)).await;
    (world, peer, addr)
}

/// The next datagram that is no beacon.
async fn next_changes(peer: &DatagramSocket) -> Datagram {
    let next = async {
        loop {
            match peer.receive().await.expect("the socket is bound") {
                Some(Datagram::Beacon(_)) | None => {}
                Some(changes) => return changes,
            }
        }
    };
    compio::time::timeout(Duration::from_secs(2), next).await.expect("news is sent")
}

/// Guards against nodes that must each read a change from the store to know it, and so read often.
#[compio::test]
async fn a_node_tells_the_others_of_a_change() {
    let (world, peer, _) = world_with_peer().await;
    let revision = world.store.write("upstreams/r1", Some("registry 10.0.0.1:80 a leaving -"));
    let told = StoreChange {
        key: "upstreams/r1".into(),
        value: Some(b"registry 10.0.0.1:80 a leaving -".to_vec()),
        revision,
    };
    assert_eq!(next_changes(&peer).await, Datagram::StoreChanges(vec![told]));
}

/// Guards against a node that the store turns away and that goes on sending to a leaving upstream.
#[compio::test]
async fn a_change_is_in_force_by_the_word_of_another_node() {
    let (world, peer, addr) = world_with_peer().await;
    world.store.is_down.set(true);
    let leaving = |name: &str, revision| StoreChange {
        key: format!("upstreams/{name}").into(),
        value: Some(b"registry 10.0.0.1:80 a leaving -".to_vec()),
        revision,
    };
    peer.send_changes(vec![leaving("r1", 100)], &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    world.script(vec![Step::Answer(200, "done"); 5]);
    for _ in 0..4 {
        world.send("/any/1").await.expect("an upstream is left");
    }
    assert_eq!(world.called(), ["r2"; 4]);
    // News of a revision that is older than what is known changes nothing.
    peer.send_changes(vec![leaving("r2", 1)], &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    world.send("/any/1").await.expect("an upstream is left");
    assert_eq!(world.called(), ["r2"; 5]);
}

/// Guards against a configuration that comes into force as late as a node's next regular read.
#[compio::test]
async fn a_newer_configuration_is_read_at_once() {
    let (world, peer, addr) = world_with_peer().await;
    world.store.write("upstreams/r1", Some("registry 10.0.0.1:80 a up -"));
    compio::time::sleep(DATAGRAM_TIME).await;
    world.store.write("table", Some("2"));
    let beacon = Beacon {
        node: "peer".into(),
        table_version: 2,
        loads: Vec::new(),
        failing: Vec::new(),
        slow: Vec::new(),
        loaded: Vec::new(),
        crashes: Vec::new(),
    };
    peer.send(&Datagram::Beacon(beacon), &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    let metrics = String::from_utf8(callers::Router::metrics(&*world.gateway).to_vec());
    let metrics = metrics.expect("metrics are text");
    assert!(metrics.lines().any(|line| line.ends_with("table_version 2")), "{metrics}");
}

/// Guards against streams of all nodes that must each fall silent and look before they leave an
/// engine that has ended.
#[compio::test]
async fn a_node_tells_the_others_of_an_engine_that_has_ended() {
    let (world, peer, _) = world_with_peer().await;
    let (reply, ended) = world.send_silent().await;
    world.script.ended.borrow_mut().push(ended.into());
    assert_eq!(body(reply).await, Some(event(0) + &event(1)));
    assert_eq!(next_changes(&peer).await, Datagram::Failed(vec![(ended.into(), 1)]));
}

/// Guards against one node, whose own path to an engine is cut, that takes the engine from all.
#[compio::test]
async fn a_node_checks_what_another_says_of_an_engine() {
    let (world, peer, addr) = world_with_peer().await;
    let failed = Datagram::Failed(vec![("e1".into(), 1)]);
    peer.send(&failed, &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    let mut tries = 0;
    while send_draft(&world).await != ["e1", "e2"] {
        tries += 1;
        assert!(tries < 64, "an engine that takes connections is avoided");
    }
    world.script.ended.borrow_mut().push("e1".into());
    peer.send(&failed, &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    for _ in 0..16 {
        assert_eq!(send_draft(&world).await, ["e3", "e4"]);
    }
}

/// Sends a draft. Returns the engines of its path.
async fn send_draft(world: &World) -> Vec<String> {
    world.script([Step::Events(vec![0])]);
    body(world.send("/drafts/x").await.expect("the stream begins")).await;
    let calls = world.script.calls.borrow();
    let (_, call) = calls.last().expect("the draft was sent");
    call.stages.iter().map(|stage| stage.engine.to_string()).collect()
}
