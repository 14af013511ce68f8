//! Links and queries between nodes that are connected over the loopback interface.

mod harness;

use std::{rc::Rc, time::Duration};

use claims::{ClaimId, HolderStatus};
use clock::{Clock, RuntimeClock};
use fleet::{Fact, MemberState};
use harness::{Proxy, TestNode, run, wait_until};
use peers::{
    ANSWER_TIMEOUT, HEARTBEAT_INTERVAL, Kind, MAX_DELTA_FACTS, MAX_FRAME_BYTES, Message,
    PROTOCOL_VERSION, SUSPECT_AFTER, decode, encode,
};
use types::Digest;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a link whose connection stays open but no longer carries data (fault F9): the
/// nodes would no longer exchange facts. The link must be replaced.
#[test]
fn link_on_a_silent_connection_is_replaced_before_a_node_is_suspect() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let (a, b) = (TestNode::start(&clock, "a").await, TestNode::start(&clock, "b").await);
        let proxy = Proxy::start(b.addr).await;
        a.link_to("b", proxy.addr());
        wait_until(&clock, SECOND, || a.knows("b") && b.knows("a")).await;
        proxy.silence_open_connections();
        a.record_crash(Digest(1), 1);
        let limit = HEARTBEAT_INTERVAL + ANSWER_TIMEOUT + SECOND;
        let took =
            wait_until(&clock, limit, || b.table.borrow().is_suspect_request(Digest(1))).await;
        println!("silent connection was replaced after {took:?}");
        assert_eq!(proxy.accepted(), 2);
        // The link was replaced before either node became suspect.
        clock.sleep(SUSPECT_AFTER + SECOND).await;
        for node in [&a, &b] {
            assert_eq!(node.table.borrow().live_members().count(), 2);
        }
    });
}

/// Guards against a killed node that does not become suspect on the node to which it had opened a
/// link, and against a node that becomes suspect because it has closed its links on purpose.
#[test]
fn killed_node_becomes_suspect_and_node_that_closes_its_links_does_not() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let a = TestNode::start(&clock, "a").await;
        let b = TestNode::start(&clock, "b").await;
        let c = TestNode::start(&clock, "c").await;
        a.link_to("b", b.addr);
        c.link_to("a", a.addr);
        c.link_to_two(("a", a.addr), ("b", b.addr));
        wait_until(&clock, SECOND, || [&a, &b, &c].iter().all(|node| node.live_count() == 3)).await;
        // Node `c` closes its links on purpose.
        c.close_links();
        clock.sleep(SUSPECT_AFTER + 2 * SECOND).await;
        assert_eq!((a.live_count(), b.live_count()), (3, 3));
        a.kill();
        let limit = SUSPECT_AFTER + 2 * SECOND;
        let took =
            wait_until(&clock, limit, || b.member_state("a") == Some(MemberState::Suspect)).await;
        println!("killed node became suspect after {took:?}");
    });
}

/// Guards against facts that a node never gets because their deltas were lost. The digests differ,
/// so the node must query a snapshot.
#[test]
fn facts_whose_deltas_were_not_received_arrive_with_a_snapshot() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let (a, b) = (TestNode::start(&clock, "a").await, TestNode::start(&clock, "b").await);
        for number in 0..2 * MAX_DELTA_FACTS as u64 {
            a.record_crash(Digest(3), number);
        }
        a.link_to("b", b.addr);
        wait_until(&clock, SECOND, || b.table.borrow().digest() == a.table.borrow().digest()).await;
        assert_eq!(b.table.borrow().crash_count(Digest(3)), 2 * MAX_DELTA_FACTS);
        let (snapshots, rest) = (b.received_count(Kind::Snapshot), Duration::from_secs(5));
        clock.sleep(rest).await;
        assert_eq!(b.received_count(Kind::Snapshot), snapshots, "equal digests need no snapshot");
    });
}

/// Guards against a query that is not answered, and against one that waits beyond its time limit.
#[test]
fn queries_are_answered_or_fail_at_their_time_limit() {
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
        // A message that is not a query is refused.
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

/// During a rolling update, nodes of a newer release send kinds of messages that older ones do not
/// know. Guards against an error that would close the connection for such a message, and against a
/// message beyond the bounds that is decoded or encoded without an error.
#[test]
fn unknown_kind_is_decoded_as_its_number_and_message_beyond_a_bound_is_an_error() {
    assert!(matches!(decode(&[9, 250, 1, 2, 3]), Ok(Err(250))));
    let frame = encode(&Message::Refused(7)).expect("message is small");
    assert!(matches!(decode(&frame[4..]), Ok(Ok(Message::Refused(7)))));
    // A later release may add fields at the end of a payload.
    let mut longer = frame[4..].to_vec();
    longer.extend([1, 2, 3]);
    assert!(matches!(decode(&longer), Ok(Ok(Message::Refused(7)))));
    assert!(
        decode(&[]).is_err() && decode(&[PROTOCOL_VERSION, Kind::Heartbeat as u8, 255]).is_err()
    );
    let facts = vec![harness::crash_fact(Digest(1), 1); MAX_DELTA_FACTS + 1];
    let deltas = encode(&Message::Deltas(peers::Deltas { revision: 1, facts }));
    assert!(decode(&deltas.expect("frame is within its bound")[4..]).is_err());
    let name = "n".repeat(MAX_FRAME_BYTES);
    assert!(encode(&Message::TraceQuery(name.into())).is_err());
    let mut long_name = harness::crash_fact(Digest(1), 1);
    if let Fact::Crash(crash) = &mut long_name {
        crash.engine = "e".repeat(65).into();
    }
    let deltas = encode(&Message::Deltas(peers::Deltas { revision: 1, facts: vec![long_name] }));
    assert!(decode(&deltas.expect("frame is within its bound")[4..]).is_err());
}

/// Guards against a link that is closed because of a message of an unknown kind.
#[test]
fn link_stays_open_after_a_message_of_an_unknown_kind() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let b = TestNode::start(&clock, "b").await;
        let kinds = harness::send_unknown_kind(b.addr).await;
        assert!(kinds.contains(&Kind::Refused), "{kinds:?}");
        assert!(kinds.contains(&Kind::HeartbeatAnswer), "{kinds:?}");
    });
}
