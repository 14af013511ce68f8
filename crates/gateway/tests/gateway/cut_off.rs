//! A node that has lost its links to all upstreams, while the other nodes reach them.

use std::time::Duration;

use peers::{Datagram, DatagramSocket};

use crate::support::{Step, fixture_with_peer};

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
