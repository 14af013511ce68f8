//! Facts must merge to the same table in any order and with any repetition; otherwise nodes would
//! disagree for ever and exchange snapshots without end.

use fleet::{
    Crash, CrashId, Fact, FleetTable, LeavingMark, LeavingSource, Member, MemberState,
    rendezvous_choose,
};
use proptest::prelude::*;
use types::{Digest, NodeName, UpstreamName};

fn member(node: u8, incarnation: u64, refutations: u32, state: MemberState, since: u64) -> Member {
    Member {
        node: format!("node-{node}").into(),
        incarnation,
        refutations,
        state,
        since_millis: since,
        addr: ([127, 0, 0, 1], 1).into(),
        region: "r".into(),
    }
}

fn any_fact() -> impl Strategy<Value = Fact> {
    let states =
        prop::sample::select(vec![MemberState::Alive, MemberState::Suspect, MemberState::Left]);
    let sources = prop::sample::select(vec![
        LeavingSource::VmList,
        LeavingSource::Engine,
        LeavingSource::Operator,
    ]);
    prop_oneof![
        (0..3_u8, 0..3_u64, 0..3_u32, states, 0..3_u64)
            .prop_map(|(n, i, r, s, t)| Fact::Member(member(n, i, r, s, t))),
        (0..3_u8, sources, 0..3_u64, any::<bool>(), 0..3_u64).prop_map(|(u, source, q, l, t)| {
            Fact::Leaving(LeavingMark {
                upstream: format!("engine-{u}").into(),
                source,
                sequence: q,
                leaving: l,
                since_millis: t,
            })
        }),
        (0..4_u64, any::<bool>()).prop_map(|(number, cleared)| {
            Fact::Crash(Crash {
                id: crash_id(number),
                fingerprint: Digest(u128::from(number % 2)),
                engine: "engine-0".into(),
                ended: number,
                cleared,
            })
        }),
    ]
}

fn crash_id(number: u64) -> CrashId {
    CrashId { at_millis: 1, node: "node-0".into(), incarnation: 1, number }
}

proptest! {
    #[test]
    fn order_and_repetition_do_not_matter(
        facts in prop::collection::vec(any_fact(), 0..24),
        again in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
        split in any::<prop::sample::Index>(),
    ) {
        let mut first = FleetTable::default();
        first.merge(facts.clone(), 10);
        let mut second = FleetTable::default();
        let mut shuffled: Vec<Fact> = facts.iter().rev().cloned().collect();
        if !facts.is_empty() {
            shuffled.extend(again.iter().map(|index| index.get(&facts).clone()));
            shuffled.rotate_left(split.index(facts.len()));
        }
        second.merge(shuffled, 10);
        prop_assert_eq!(&first, &second);
        prop_assert_eq!(first.digest(), second.digest());
        // Merging whole tables gives the same as merging their facts.
        let mut third = FleetTable::default();
        let (left, right) = facts.split_at(split.index(facts.len() + 1));
        third.merge(left.to_vec(), 10);
        let mut fourth = FleetTable::default();
        fourth.merge(right.to_vec(), 10);
        third.merge(fourth.facts(), 10);
        prop_assert_eq!(&first, &third);
        prop_assert!(third.merge(first.facts(), 10).is_empty());
    }
}

#[test]
fn a_suspect_refutes_the_suspicion() {
    let own = member(0, 7, 0, MemberState::Alive, 1);
    let mut table = FleetTable::default();
    table.merge([Fact::Member(own.clone())], 1);
    assert!(table.mark_suspect("node-0", 2).is_some());
    assert_eq!(table.live_members().count(), 0);
    let fresh = table.refute(&own, 3).expect("the suspicion is refuted");
    assert_eq!((fresh.refutations, table.live_members().count()), (1, 1));
    // A heartbeat older than the suspicion proves nothing.
    table.mark_suspect("node-0", 4);
    assert!(table.record_heartbeat("node-0", 7, 1, 5).is_none());
    assert!(table.record_heartbeat("node-0", 7, 2, 5).is_some());
    // A new process is alive, whatever was said about the one before. Only its own fact has its
    // address.
    table.mark_suspect("node-0", 6);
    assert!(table.record_heartbeat("node-0", 8, 0, 6).is_none());
    let restarted = Fact::Member(member(0, 8, 0, MemberState::Alive, 6));
    assert_eq!(table.merge([restarted], 6).len(), 1);
    assert_eq!(table.live_members().count(), 1);
}

#[test]
fn a_leaving_mark_ends_only_with_a_newer_statement_of_its_source() {
    let engine = UpstreamName::from("engine-0");
    let mut table = FleetTable::default();
    assert!(table.record_leaving(&engine, LeavingSource::VmList, 4, false, 1).is_none());
    assert!(table.record_leaving(&engine, LeavingSource::VmList, 5, true, 1).is_some());
    assert!(
        table.record_leaving(&engine, LeavingSource::VmList, 4, false, 2).is_none(),
        "lagging list"
    );
    assert!(table.record_leaving(&engine, LeavingSource::Engine, 100, true, 2).is_some());
    assert!(table.record_leaving(&engine, LeavingSource::Engine, 100, false, 2).is_none());
    assert!(table.record_leaving(&engine, LeavingSource::VmList, 6, false, 2).is_some());
    assert!(table.is_leaving(&engine), "the engine's own mark still holds");
    assert!(table.record_leaving(&engine, LeavingSource::Engine, 101, false, 3).is_some());
    assert!(!table.is_leaving(&engine));
}

#[test]
fn only_crashes_that_are_not_cleared_count_and_old_ones_expire() {
    let mut table = FleetTable::default();
    let request = Digest(9);
    table.record_crash(crash_id(1), request, ("engine-0".into(), 1));
    let cleared = table.clear_crashes(request);
    table.record_crash(crash_id(2), request, ("engine-1".into(), 1));
    assert_eq!((cleared.len(), table.crash_count(request)), (1, 1));
    table.expire(fleet::FACT_TTL_MILLIS + 2);
    assert!(!table.is_suspect_request(request));
}

#[test]
fn a_full_table_keeps_the_newest_crashes() {
    let mut table = FleetTable::default();
    let count = fleet::MAX_CRASHES as u64 + 10;
    for number in 0..count {
        table.record_crash(crash_id(number), Digest(u128::from(number)), ("engine-0".into(), 1));
    }
    assert!(
        !table.is_suspect_request(Digest(0))
            && table.is_suspect_request(Digest(u128::from(count - 1)))
    );
    assert_eq!(table.facts().len(), fleet::MAX_CRASHES);
}

#[test]
fn a_choice_changes_only_for_the_node_that_is_gone() {
    let nodes: Vec<NodeName> = (0..9).map(|n| format!("node-{n}").into()).collect();
    let before = rendezvous_choose("key", &nodes, 3);
    let after = rendezvous_choose("key", nodes.iter().filter(|node| **node != before[0]), 3);
    assert_eq!(after[..2], before[1..]);
}

/// Guards against counting one end of an engine several times: copies of an innocent request that
/// shared an engine with the request that crashed it must not reach the limit at once.
#[test]
fn copies_that_saw_one_end_count_once() {
    let request = Digest(1);
    let mut table = FleetTable::default();
    table.record_crash(crash_id(1), request, ("engine-0".into(), 1));
    table.record_crash(crash_id(2), request, ("engine-0".into(), 1));
    assert_eq!(table.crash_count(request), 1);
    // The same engine ends again after its restart.
    table.record_crash(crash_id(3), request, ("engine-0".into(), 2));
    assert_eq!(table.crash_count(request), 2);
}
