//! Links between nodes over sockets on loopback.

mod harness;

use std::{rc::Rc, time::Duration};

use claims::{ClaimId, HolderStatus};
use clock::{Clock, RuntimeClock};
use fleet::{Fact, MemberState};
use harness::{Proxy, TestNode, run, wait};
use peers::{
    ANSWER_LIMIT, HEARTBEAT_INTERVAL, Kind, MAX_DELTA_FACTS, MAX_FRAME_BYTES, Message,
    SUSPECT_AFTER, decode, encode,
};
use types::Digest;

const SECOND: Duration = Duration::from_secs(1);

/// An open connection that no longer carries anything must be found and replaced (F9), or the
/// two nodes would stop telling each other news.
#[test]
fn a_silent_connection_is_replaced() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let (a, b) = (TestNode::start(&clock, "a").await, TestNode::start(&clock, "b").await);
        let proxy = Proxy::start(b.addr).await;
        a.link_to("b", proxy.addr());
        wait(&clock, SECOND, || a.knows("b") && b.knows("a")).await;
        proxy.silence_open_connections();
        a.crash(Digest(1), 1);
        let limit = HEARTBEAT_INTERVAL + ANSWER_LIMIT + SECOND;
        let took = wait(&clock, limit, || b.table.borrow().is_suspect_request(Digest(1))).await;
        println!("silent connection was replaced after {took:?}");
        assert_eq!(proxy.accepted(), 2);
        // The replacement came before either node was suspected.
        clock.sleep(SUSPECT_AFTER + SECOND).await;
        for node in [&a, &b] {
            assert_eq!(node.table.borrow().live_members().count(), 2);
        }
    });
}

/// A node that ends without a word must become suspect on nodes that it has linked to and on
/// nodes that have linked to it.
#[test]
fn a_node_that_ends_is_suspected_and_one_that_leaves_a_link_is_not() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let a = TestNode::start(&clock, "a").await;
        let b = TestNode::start(&clock, "b").await;
        let c = TestNode::start(&clock, "c").await;
        a.link_to("b", b.addr);
        c.link_to("a", a.addr);
        c.link_to_both(("a", a.addr), ("b", b.addr));
        wait(&clock, SECOND, || [&a, &b, &c].iter().all(|node| node.live() == 3)).await;
        // The link is closed on purpose.
        c.unlink();
        clock.sleep(SUSPECT_AFTER + 2 * SECOND).await;
        assert_eq!((a.live(), b.live()), (3, 3));
        a.end();
        let limit = SUSPECT_AFTER + 2 * SECOND;
        let took = wait(&clock, limit, || b.state("a") == Some(MemberState::Suspect)).await;
        println!("ended node was suspected after {took:?}");
    });
}

/// Facts that were lost on a link must arrive with a snapshot, because the digests differ.
#[test]
fn a_snapshot_brings_what_deltas_did_not() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let (a, b) = (TestNode::start(&clock, "a").await, TestNode::start(&clock, "b").await);
        for number in 0..2 * MAX_DELTA_FACTS as u64 {
            a.crash(Digest(3), number);
        }
        a.link_to("b", b.addr);
        wait(&clock, SECOND, || b.table.borrow().digest() == a.table.borrow().digest()).await;
        assert_eq!(b.table.borrow().crash_count(Digest(3)), 2 * MAX_DELTA_FACTS);
        let (snapshots, rest) = (b.received(Kind::Snapshot), Duration::from_secs(5));
        clock.sleep(rest).await;
        assert_eq!(b.received(Kind::Snapshot), snapshots, "equal digests need no snapshot");
    });
}

/// Any node can ask another one about a claim, a trace and the status.
#[test]
fn questions_are_answered_and_end_at_their_deadline() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let (a, b) = (TestNode::start(&clock, "a").await, TestNode::start(&clock, "b").await);
        let claim = ClaimId { node: "b".into(), incarnation: 1, number: 5 };
        let answer = a.peers.ask(b.addr, &Message::ClaimQuery(claim), SECOND).await;
        assert!(matches!(answer, Ok(Message::ClaimAnswer(HolderStatus::Relinquished))));
        let answer = a.peers.ask(b.addr, &Message::TraceQuery("r".into()), SECOND).await;
        assert!(matches!(answer, Ok(Message::TraceAnswer(traces)) if traces.is_empty()));
        let answer = a.peers.ask(b.addr, &Message::StatusQuery, SECOND).await;
        assert!(matches!(answer, Ok(Message::StatusAnswer(status)) if status.revision == 0));
        // A message that is no question is refused.
        let answer = a.peers.ask(b.addr, &Message::StatusAnswer(b.own_status()), SECOND).await;
        assert!(matches!(answer, Ok(Message::Refused(_))));
        let proxy = Proxy::start(b.addr).await;
        proxy.silence_all();
        let limit = Duration::from_millis(200);
        let start = clock.now();
        assert!(a.peers.ask(proxy.addr(), &Message::StatusQuery, limit).await.is_err());
        assert!(clock.now().since(start) < limit * 3);
    });
}

/// During a rolling replacement a newer node sends kinds that an older one does not know. They
/// must not end the connection, while input that breaks a bound must.
#[test]
fn unknown_kinds_are_refused_and_bounds_are_kept() {
    assert!(matches!(decode(&[9, 250, 1, 2, 3]), Ok(Err(250))));
    let heartbeat = encode(&Message::Refused(7)).expect("message is small");
    assert!(matches!(decode(&heartbeat[4..]), Ok(Ok(Message::Refused(7)))));
    // A later release may add fields at the end of a payload.
    let mut longer = heartbeat[4..].to_vec();
    longer.extend([1, 2, 3]);
    assert!(matches!(decode(&longer), Ok(Ok(Message::Refused(7)))));
    assert!(decode(&[]).is_err() && decode(&[1, Kind::Heartbeat as u8, 255]).is_err());
    let facts = vec![harness::crash(Digest(1), 1); MAX_DELTA_FACTS + 1];
    let deltas = encode(&Message::Deltas(peers::Deltas { revision: 1, facts }));
    assert!(decode(&deltas.expect("frame is within its bound")[4..]).is_err());
    let name = "n".repeat(MAX_FRAME_BYTES);
    assert!(encode(&Message::TraceQuery(name.into())).is_err());
    let mut long = harness::crash(Digest(1), 1);
    if let Fact::Crash(crash) = &mut long {
        crash.engine = "e".repeat(65).into();
    }
    let deltas = encode(&Message::Deltas(peers::Deltas { revision: 1, facts: vec![long] }));
    assert!(decode(&deltas.expect("frame is within its bound")[4..]).is_err());
}

/// A link must outlive a message of a kind that one side does not know.
#[test]
fn a_link_survives_an_unknown_kind() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let b = TestNode::start(&clock, "b").await;
        let kinds = harness::send_unknown_kind(b.addr).await;
        assert!(kinds.contains(&Kind::Refused), "{kinds:?}");
        assert!(kinds.contains(&Kind::HeartbeatAnswer), "{kinds:?}");
    });
}
