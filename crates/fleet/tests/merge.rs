//! Facts must merge to the same table in any order and with any repetitions. Otherwise nodes would
//! disagree permanently and keep exchanging snapshots.

use fleet::{
    Crash, CrashId, Fact, FleetTable, LeavingMark, LeavingSource, Member, MemberState, RunTime,
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

fn fact_strategy() -> impl Strategy<Value = Fact> {
    let states =
        prop::sample::select(vec![MemberState::Alive, MemberState::Suspect, MemberState::Left]);
    let sources = prop::sample::select(vec![
        LeavingSource::VmList,
        LeavingSource::Engine,
        LeavingSource::Operator,
    ]);
    prop_oneof![
        (0..3_u8, 0..3_u64, 0..3_u32, states, 0..3_u64).prop_map(
            |(node, incarnation, refutations, state, since)| Fact::Member(member(
                node,
                incarnation,
                refutations,
                state,
                since
            ))
        ),
        (0..3_u8, sources, 0..3_u64, any::<bool>(), 0..3_u64).prop_map(
            |(engine, source, number, is_leaving, since)| {
                Fact::Leaving(LeavingMark {
                    upstream: format!("engine-{engine}").into(),
                    source,
                    sequence: number,
                    leaving: is_leaving,
                    since_millis: since,
                })
            }
        ),
        (0..4_u64, any::<bool>()).prop_map(|(number, cleared)| {
            Fact::Crash(Crash {
                id: crash_id(number),
                fingerprint: Digest(u128::from(number % 2)),
                engine: "engine-0".into(),
                engine_incarnation: number,
                cleared,
            })
        }),
        (0..4_u64, 0..3_u64).prop_map(|(number, micros)| {
            Fact::RunTime(RunTime { crash: crash_id(number), micros })
        }),
    ]
}

fn crash_id(number: u64) -> CrashId {
    CrashId { at_millis: 1, node: "node-0".into(), incarnation: 1, number }
}

proptest! {
    #[test]
    fn merging_facts_in_any_order_with_repetitions_gives_the_same_table(
        facts in prop::collection::vec(fact_strategy(), 0..24),
        repeated in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
        split in any::<prop::sample::Index>(),
    ) {
        let mut first = FleetTable::default();
        first.merge(facts.clone(), 10);
        let mut second = FleetTable::default();
        let mut shuffled: Vec<Fact> = facts.iter().rev().cloned().collect();
        if !facts.is_empty() {
            shuffled.extend(repeated.iter().map(|index| index.get(&facts).clone()));
            shuffled.rotate_left(split.index(facts.len()));
        }
        second.merge(shuffled, 10);
        prop_assert_eq!(&first, &second);
        prop_assert_eq!(first.digest(), second.digest());
        // Merging one table into another gives the same as merging the facts of both.
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
fn suspect_member_is_alive_again_after_a_refutation_or_a_restart() {
    let own = member(0, 7, 0, MemberState::Alive, 1);
    let mut table = FleetTable::default();
    table.merge([Fact::Member(own.clone())], 1);
    assert!(table.mark_suspect("node-0", 2).is_some());
    assert_eq!(table.live_members().count(), 0);
    let refuted = table.refute(&own, 3).expect("the suspicion is refuted");
    assert_eq!((refuted.refutations, table.live_members().count()), (1, 1));
    // A heartbeat from before the suspicion does not refute it.
    table.mark_suspect("node-0", 4);
    assert!(table.record_heartbeat("node-0", 7, 1, 5).is_none());
    assert!(table.record_heartbeat("node-0", 7, 2, 5).is_some());
    // A new process is alive whatever the state of the process before. It is added by its own
    // member fact, because a heartbeat lacks the address.
    table.mark_suspect("node-0", 6);
    assert!(table.record_heartbeat("node-0", 8, 0, 6).is_none());
    let restarted = Fact::Member(member(0, 8, 0, MemberState::Alive, 6));
    assert_eq!(table.merge([restarted], 6).len(), 1);
    assert_eq!(table.live_members().count(), 1);
}

#[test]
fn upstream_is_leaving_until_each_source_states_the_opposite_with_a_newer_sequence() {
    let engine = UpstreamName::from("engine-0");
    let mut table = FleetTable::default();
    assert!(table.record_leaving(&engine, LeavingSource::VmList, 4, false, 1).is_none());
    assert!(table.record_leaving(&engine, LeavingSource::VmList, 5, true, 1).is_some());
    assert!(
        table.record_leaving(&engine, LeavingSource::VmList, 4, false, 2).is_none(),
        "the list of VMs is older than the mark"
    );
    assert!(table.record_leaving(&engine, LeavingSource::Engine, 100, true, 2).is_some());
    assert!(table.record_leaving(&engine, LeavingSource::Engine, 100, false, 2).is_none());
    assert!(table.record_leaving(&engine, LeavingSource::VmList, 6, false, 2).is_some());
    assert!(table.is_leaving(&engine), "the engine's own mark still holds");
    assert!(table.record_leaving(&engine, LeavingSource::Engine, 101, false, 3).is_some());
    assert!(!table.is_leaving(&engine));
}

#[test]
fn crashes_count_until_they_are_cleared_or_expire() {
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
fn full_table_drops_the_oldest_crashes() {
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
fn rendezvous_choice_replaces_only_the_node_that_has_left() {
    let nodes: Vec<NodeName> = (0..9).map(|n| format!("node-{n}").into()).collect();
    let before = rendezvous_choose("key", &nodes, 3);
    let after = rendezvous_choose("key", nodes.iter().filter(|node| **node != before[0]), 3);
    assert_eq!(after[..2], before[1..]);
}

/// Guards against counting one crash of an engine several times. If several copies of an innocent
/// request run on an engine that another request crashes, they must not reach the crash limit at
/// once.
#[test]
fn copies_of_a_request_on_one_crashed_process_count_as_one_crash() {
    let request = Digest(1);
    let mut table = FleetTable::default();
    table.record_crash(crash_id(1), request, ("engine-0".into(), 1));
    table.record_crash(crash_id(2), request, ("engine-0".into(), 1));
    assert_eq!(table.crash_count(request), 1);
    // The same engine crashes again after its restart.
    table.record_crash(crash_id(3), request, ("engine-0".into(), 2));
    assert_eq!(table.crash_count(request), 2);
}
