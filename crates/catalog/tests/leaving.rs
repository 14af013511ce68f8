//! Upstreams that are marked as leaving, whatever their entries say.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use catalog::{CatalogState, LeavingMark, LeavingSource, Phase, UpdateOutcome, Upstream};
use clock::Timestamp;
use proptest::prelude::*;
use types::UpstreamName;

fn upstream(name: &str, incarnation: u64, phase: Phase) -> Upstream {
    Upstream {
        name: name.into(),
        incarnation,
        service: "drafts".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "a".into(),
        capacity: 4,
        phase,
        accelerator_kind: None,
        layers: None,
    }
}

fn mark(millis: u64) -> LeavingMark {
    let since = Timestamp::from_origin(Duration::from_millis(millis));
    LeavingMark { source: LeavingSource::Answer, since }
}

/// Guards against a mark that the registry's own word repeats to the other nodes.
#[test]
fn a_mark_of_an_upstream_whose_entry_says_that_it_leaves_changes_nothing() {
    let mut state = CatalogState::default();
    let name = "one".into();
    state.apply_upstream(&name, Some(upstream("one", 1, Phase::Leaving)), 1);
    assert_eq!(state.mark_leaving(&name, 1, mark(0)), UpdateOutcome::Ignored);
    state.apply_upstream(&name, Some(upstream("one", 1, Phase::Serving)), 2);
    assert_eq!(state.upstream("one").unwrap().phase, Phase::Leaving);
}

/// Guards against memory that grows with each name that another node has ever called leaving, and
/// against the loss of a mark that is in use.
#[test]
fn the_marks_of_unknown_upstreams_are_bounded() {
    let mut state = CatalogState::default();
    let known: UpstreamName = "known".into();
    state.apply_upstream(&known, Some(upstream("known", 1, Phase::Serving)), 1);
    state.mark_leaving(&known, 1, mark(0));
    let name = |number: u64| UpstreamName::from(format!("unknown-{number}"));
    for number in 0..5000 {
        state.mark_leaving(&name(number), 1, mark(1 + number));
    }
    let kept = (0..5000).filter(|number| state.leaving_mark(&name(*number), 1).is_some()).count();
    assert_eq!(kept, 1024);
    assert!(state.leaving_mark(&name(4999), 1).is_some());
    assert_eq!(state.upstream("known").unwrap().phase, Phase::Leaving);
}

/// What happens to an upstream, and what this node hears of it.
#[derive(Clone, Debug)]
enum Event {
    /// The process starts again under its name and registers.
    Restart,
    /// The process writes its entry.
    Write(Phase),
    /// The entry is removed.
    Remove,
    /// This node reads the entry as it was that many writes ago.
    ReadOlder(usize),
    /// This node reads a list of all entries, and drops the upstreams that are missing in it.
    ReadList,
    /// An answer, or another node, says that the process which started that many starts ago is
    /// leaving.
    Say(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => Just(Event::Restart),
        3 => prop_oneof![Just(Phase::Serving), Just(Phase::Leaving)].prop_map(Event::Write),
        1 => Just(Event::Remove),
        4 => (0..6_usize).prop_map(Event::ReadOlder),
        1 => Just(Event::ReadList),
        2 => (0..3_u64).prop_map(Event::Say),
    ]
}

proptest! {
    /// Guards against a leaving process that is taken back because of an entry that arrives late,
    /// lapses or still says that it serves, and against a restarted one that is shut out.
    #[test]
    fn an_upstream_leaves_exactly_if_its_process_or_its_entry_says_so(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let name: UpstreamName = "one".into();
        let mut state = CatalogState::default();
        let mut incarnation = 1;
        // The entry after each write: incarnation and phase.
        let mut entries: Vec<Option<(u64, Phase)>> = vec![None];
        let mut said = BTreeSet::new();
        let mut phases: BTreeMap<u64, Phase> = BTreeMap::new();
        for event in events {
            match event {
                Event::Restart => {
                    incarnation += 1;
                    entries.push(Some((incarnation, Phase::Serving)));
                }
                Event::Write(phase) => entries.push(Some((incarnation, phase))),
                Event::Remove => entries.push(None),
                Event::ReadOlder(age) => {
                    let revision = entries.len().saturating_sub(1 + age);
                    let entry = entries[revision];
                    let read = entry.map(|(number, phase)| upstream("one", number, phase));
                    if state.apply_upstream(&name, read, revision as u64) == UpdateOutcome::Applied
                        && let Some((number, phase)) = entry
                    {
                        phases.insert(number, phase);
                    }
                }
                Event::ReadList => {
                    let names: Vec<UpstreamName> =
                        entries.last().unwrap().iter().map(|_| name.clone()).collect();
                    let missing = state.apply_list(&names, entries.len() as u64 - 1);
                    state.remove_missing(&missing);
                }
                Event::Say(age) => {
                    let number = incarnation.saturating_sub(age).max(1);
                    said.insert(number);
                    state.mark_leaving(&name, number, mark(0));
                }
            }
            if let Some(known) = state.upstream("one") {
                let says_so = said.contains(&known.incarnation)
                    || phases[&known.incarnation] == Phase::Leaving;
                prop_assert_eq!(known.phase == Phase::Leaving, says_so);
            }
        }
    }
}
