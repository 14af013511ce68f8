//! Updates that nodes send one another: changes in the key-value service, new versions of the
//! routing table, and failed upstreams.

use std::time::Duration;

use crashes::{CrashNote, PlacedPart, SuspectNote};
use peers::{Datagram, DatagramSocket, StoreChange};
use types::Digest;

use crate::support::{Fixture, Step, bind, body, event, fixture_with_peer, idle_beacon};

/// Time within which a datagram arrives and is applied.
const DATAGRAM_TIME: Duration = Duration::from_millis(60);

/// The next datagram that is not a beacon.
async fn next_update(peer: &DatagramSocket) -> Datagram {
    let next = async {
        loop {
            match peer.receive().await.expect("the socket is bound") {
                Some(Datagram::Beacon(_)) | None => {}
                Some(changes) => return changes,
            }
        }
    };
    compio::time::timeout(Duration::from_secs(2), next).await.expect("an update is sent")
}

/// Guards against nodes that learn of a change only by reading it from the key-value service, and
/// therefore have to read often.
#[compio::test]
async fn a_node_sends_changes_that_it_has_read_to_the_other_nodes() {
    let (fixture, peer, _) = fixture_with_peer().await;
    let revision = fixture.store.write("upstreams/r1", Some("registry 10.0.0.1:80 a leaving -"));
    let expected = StoreChange {
        key: "upstreams/r1".into(),
        value: Some(b"registry 10.0.0.1:80 a leaving -".to_vec()),
        revision,
    };
    assert_eq!(next_update(&peer).await, Datagram::StoreChanges(vec![expected]));
}

/// Sockets of nodes that only receive, registered as nodes of `domain`.
async fn register_receivers(fixture: &Fixture, domain: &str, count: usize) -> Vec<DatagramSocket> {
    let mut receivers = Vec::new();
    for number in 0..count {
        let socket = bind().await;
        let addr = socket.local_addr().expect("the socket is bound");
        let key = format!("gypsumrack/nodes/{domain}-{number}");
        fixture.store.write(&key, Some(&format!("{addr} {domain}")));
        receivers.push(socket);
    }
    receivers
}

/// The updates that a socket receives within a short time.
async fn received_updates(socket: &DatagramSocket) -> Vec<Datagram> {
    let mut updates = Vec::new();
    while let Ok(received) = compio::time::timeout(DATAGRAM_TIME, socket.receive()).await {
        match received.expect("the socket is bound") {
            Some(Datagram::Beacon(_) | Datagram::RelayBeacon(_)) | None => {}
            Some(update) => updates.push(update),
        }
    }
    updates
}

/// Guards against nodes that all send every change which they have read at the same time to all
/// nodes of other domains: at the start of 195 nodes that was 1.9 GB between domains in a few
/// seconds.
#[compio::test]
async fn nodes_send_changes_to_a_few_nodes_of_another_domain() {
    const SENDERS: usize = 6;
    const RECEIVERS: usize = 20;
    let first = Fixture::ready().await;
    let receivers = register_receivers(&first, "b", RECEIVERS).await;
    let mut fixtures = vec![first];
    for _ in 1..SENDERS {
        fixtures.push(Fixture::ready_with_store(fixtures[0].store.clone()).await);
    }
    for (number, fixture) in fixtures.iter().enumerate() {
        let own = bind().await;
        let addr = own.local_addr().expect("the socket is bound");
        let key = format!("gypsumrack/nodes/a-{number}");
        fixture.store.write(&key, Some(&format!("{addr} a")));
        compio::runtime::spawn(gateway::exchange_datagrams(fixture.gateway.clone(), own)).detach();
    }
    compio::time::sleep(Duration::from_millis(1500)).await;
    for receiver in &receivers {
        received_updates(receiver).await;
    }
    fixtures[0].store.write("upstreams/r1", Some("registry 10.0.0.1:80 a leaving -"));
    compio::time::sleep(Duration::from_millis(900)).await;
    let mut count = 0;
    for receiver in &receivers {
        count += received_updates(receiver).await.len();
    }
    let each_to_all = SENDERS * RECEIVERS;
    assert!((1..=each_to_all / 10).contains(&count), "{count} datagrams for one change");
}

/// Guards against a change that reaches only the node of a domain that was chosen to pass it on.
#[compio::test]
async fn a_relayed_change_is_passed_on_within_the_domain_once() {
    let (fixture, peer, addr) = fixture_with_peer().await;
    let mates = register_receivers(&fixture, "a", 2).await;
    compio::time::sleep(Duration::from_millis(750)).await;
    let change = StoreChange {
        key: "upstreams/r1".into(),
        value: Some(b"registry 10.0.0.1:80 a leaving -".to_vec()),
        revision: 100,
    };
    for _ in 0..2 {
        peer.send(&Datagram::RelayStoreChanges(vec![change.clone()]), &[addr]).await;
    }
    for mate in &mates {
        assert_eq!(received_updates(mate).await, [Datagram::StoreChanges(vec![change.clone()])]);
    }
    assert_eq!(received_updates(&peer).await, []);
}

/// Guards against a node that cannot reach the key-value service and keeps sending requests to a
/// leaving upstream.
#[compio::test]
async fn a_change_from_another_node_is_applied_during_a_store_outage() {
    let (fixture, peer, addr) = fixture_with_peer().await;
    fixture.store.is_down.set(true);
    let leaving = |name: &str, revision| StoreChange {
        key: format!("upstreams/{name}").into(),
        value: Some(b"registry 10.0.0.1:80 a leaving -".to_vec()),
        revision,
    };
    peer.send(&Datagram::StoreChanges(vec![leaving("r1", 100)]), &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    fixture.push_steps(vec![Step::Answer(200, "done"); 5]);
    for _ in 0..4 {
        fixture.send("/any/1").await.expect("an upstream is left");
    }
    assert_eq!(fixture.called_upstreams(), ["r2"; 4]);
    // A received change with an older revision than the known one is ignored.
    peer.send(&Datagram::StoreChanges(vec![leaving("r2", 1)]), &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    fixture.send("/any/1").await.expect("an upstream is left");
    assert_eq!(fixture.called_upstreams(), ["r2"; 5]);
}

/// Guards against a new configuration that comes into force only at a node's next regular read.
#[compio::test]
async fn a_newer_table_version_in_a_beacon_triggers_a_read() {
    let (fixture, peer, addr) = fixture_with_peer().await;
    fixture.store.write("upstreams/r1", Some("registry 10.0.0.1:80 a up -"));
    compio::time::sleep(DATAGRAM_TIME).await;
    fixture.store.write("table", Some("2"));
    peer.send(&Datagram::Beacon(idle_beacon(2)), &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    let metrics = String::from_utf8(callers::Router::metrics(&*fixture.gateway).to_vec());
    let metrics = metrics.expect("metrics are text");
    assert!(metrics.lines().any(|line| line.ends_with("table_version 2")), "{metrics}");
}

/// Guards against an engine failure that each node has to find out by itself: without the
/// announcement, streams of every node fall silent and are probed before they leave the engine.
#[compio::test]
async fn a_node_announces_an_engine_that_refuses_connections() {
    let (fixture, peer, _) = fixture_with_peer().await;
    let (response, stopped) = fixture.start_silent_stream().await;
    fixture.upstreams.stopped.borrow_mut().push(stopped.into());
    assert_eq!(body(response).await, Some(event(0) + &event(1)));
    assert_eq!(next_update(&peer).await, Datagram::Failed(vec![(stopped.into(), 1)]));
}

/// Guards against a node with a broken path to an engine that makes all other nodes avoid the
/// engine.
#[compio::test]
async fn an_announced_engine_failure_is_verified_before_the_engine_is_avoided() {
    let (fixture, peer, addr) = fixture_with_peer().await;
    let failed = Datagram::Failed(vec![("e1".into(), 1)]);
    peer.send(&failed, &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    let mut attempts = 0;
    while send_stream(&fixture).await != ["e1", "e2"] {
        attempts += 1;
        assert!(attempts < 64, "an engine that accepts connections is avoided");
    }
    fixture.upstreams.stopped.borrow_mut().push("e1".into());
    peer.send(&failed, &[addr]).await;
    compio::time::sleep(DATAGRAM_TIME).await;
    for _ in 0..16 {
        assert_eq!(send_stream(&fixture).await, ["e3", "e4"]);
    }
}

/// Sends a request for a stream and reads the stream. Returns the engines of the request's path.
async fn send_stream(fixture: &Fixture) -> Vec<String> {
    fixture.push_steps([Step::Events(vec![0])]);
    body(fixture.send("/drafts/x").await.expect("the stream begins")).await;
    let calls = fixture.upstreams.calls.borrow();
    let (_, call) = calls.last().expect("the request was sent");
    call.stages.iter().map(|stage| stage.engine.to_string()).collect()
}

/// Guards against a crash with many requests whose note exceeds a datagram and is never sent.
#[compio::test]
async fn a_crash_with_many_requests_reaches_another_node_whole() {
    let suspect = |number: u128| SuspectNote {
        organisation: Digest(u128::MAX),
        shared: (0..8)
            .map(|place| PlacedPart { place, part: Digest(u128::MAX - u128::from(place)) })
            .collect(),
        fingerprint: Digest(u128::MAX - number),
        age_ms: u32::MAX,
        silence_ms: u32::MAX,
        has_begun: true,
    };
    let suspects: Vec<SuspectNote> = (0..48).map(suspect).collect();
    let process = ("an-upstream-with-a-long-name-of-more-than-forty-bytes".into(), u64::MAX);
    let note = CrashNote::Crash { process, age_ms: 1000, suspects: suspects.clone() };
    let (sender, receiver) = (bind().await, bind().await);
    let addr = receiver.local_addr().expect("the socket is bound");
    for datagram in Datagram::of_crash_notes(vec![note]) {
        assert_eq!(sender.send(&datagram, &[addr]).await, 0);
    }
    let mut arrived = Vec::new();
    for datagram in received_updates(&receiver).await {
        let Datagram::Crashes(notes) = datagram else { panic!("{datagram:?} is no crash") };
        arrived.extend(notes.into_iter().flat_map(|note| match note {
            CrashNote::Crash { suspects, .. } => suspects,
            note => panic!("{note:?} is no crash"),
        }));
    }
    assert_eq!(arrived, suspects);
}

/// Guards against a stream that was cut off by a crash and counts as started when it broke: it then
/// seemed the likelier cause and excused the request that had crashed the engine, which crashed two
/// more.
#[compio::test]
async fn a_note_about_a_crash_says_when_a_stream_that_it_cut_off_had_started() {
    const RUN_TIME: Duration = Duration::from_millis(150);
    let (fixture, peer, _) = fixture_with_peer().await;
    let crash = Step::EventsThenCrash { numbers: vec![0], pause: RUN_TIME };
    fixture.push_steps([crash, Step::Events(vec![1])]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    assert!(body(response).await.is_some(), "the stream is resumed");
    let mut ages = Vec::new();
    while ages.is_empty() {
        let Datagram::Crashes(notes) = next_update(&peer).await else { continue };
        for note in notes {
            let CrashNote::Crash { suspects, .. } = note else { continue };
            ages.extend(suspects.iter().filter(|one| !one.has_begun).map(|one| one.age_ms));
        }
    }
    let run_ms = RUN_TIME.as_millis() as u32;
    assert!(ages.iter().all(|age| *age >= run_ms), "{ages:?}");
}
