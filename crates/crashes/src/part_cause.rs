//! Finds the part of a prompt that explains crashes of engines.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use clock::Timestamp;
use types::Digest;

use crate::event::{CrashEvent, Suspect};

/// Successive crashes from which a part is refused.
const REFUSAL_CHAIN: usize = 3;
/// Successive crashes that must remain for a part when those that a more specific part explains as
/// well are left out. A single further crash may be a coincidence.
const REMAINING_CHAIN: usize = 2;
/// Successive crashes from which a part is refused although an unrelated one explains them equally
/// well.
const TIE_CHAIN: usize = 5;

/// What may explain crashes: a part of the requests of one organisation. The digest of the
/// organisation's name stands for all of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Cause {
    pub(crate) organisation: Digest,
    pub(crate) part: Digest,
}

impl Cause {
    /// Whether the cause is a part that can be refused, and not all requests of an organisation.
    fn is_part(self) -> bool {
        self.part != self.organisation
    }
}

/// A crash in which requests with one part took part.
#[derive(Clone, Copy)]
struct Sighting<'a> {
    event: &'a CrashEvent,
    /// When the last of the requests had started.
    started: Timestamp,
}

/// How well a part explains crashes: the number of successive ones, then the number of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Weight {
    chain: usize,
    crashes: usize,
}

/// The cause that explains most of the given crashes, with their number; `None` if there is none or
/// if the choice is open. Events are ordered by time and have no explanation yet.
///
/// Crashes count as successive if a request had started after the crash before it. Engines that
/// are lost together are thus one crash, however long it takes to notice all of them. Of the parts
/// that explain the same crashes, the most specific one is chosen.
pub(crate) fn find_cause(events: &[&CrashEvent]) -> Option<(Cause, usize)> {
    let mut candidates: Vec<(Weight, Cause)> = sightings_by_cause(events)
        .into_iter()
        .filter_map(|(cause, sightings)| {
            let weight = weigh(&sightings);
            let is_cause = weight.chain >= REFUSAL_CHAIN && !has_specific_cause(cause, &sightings);
            is_cause.then_some((weight, cause))
        })
        .collect();
    candidates.sort_by_key(|(weight, cause)| (Reverse(*weight), !cause.is_part(), *cause));
    let (_, cause) = *candidates.first()?;
    if !cause.is_part() {
        // The requests of an organisation explain the crashes better than any part of another one.
        // A part of its own is better still.
        candidates.retain(|(_, other)| {
            other.organisation == cause.organisation && (other.is_part() || *other == cause)
        });
        candidates.sort_by_key(|(weight, cause)| (!cause.is_part(), Reverse(*weight)));
    }
    let (weight, cause) = *candidates.first()?;
    let rivals = candidates.iter().skip(1).filter(|(other, _)| *other == weight);
    let is_open = rivals.count() > 0 && weight.chain < TIE_CHAIN;
    (!is_open).then_some((cause, weight.crashes))
}

impl Cause {
    /// Whether the cause explains a crash.
    pub(crate) fn explains(self, event: &CrashEvent) -> bool {
        event
            .suspects_with(self.part)
            .any(|suspect| suspect.parts.organisation == self.organisation)
    }

    /// The part, if the cause is one that can be refused.
    pub(crate) fn refused_part(self) -> Option<Digest> {
        self.is_part().then_some(self.part)
    }
}

/// The crashes that each organisation and each part takes part in, except whole requests, which are
/// judged by themselves.
fn sightings_by_cause<'a>(events: &[&'a CrashEvent]) -> BTreeMap<Cause, Vec<Sighting<'a>>> {
    let mut sightings: BTreeMap<Cause, Vec<Sighting<'a>>> = BTreeMap::new();
    for event in events {
        let mut started: BTreeMap<Cause, Timestamp> = BTreeMap::new();
        for suspect in event.suspects.values() {
            let organisation = suspect.parts.organisation;
            let shared = suspect.parts.shared.iter().copied();
            for part in [organisation].into_iter().chain(shared) {
                if !event.cleared.contains(&part) {
                    let latest =
                        started.entry(Cause { organisation, part }).or_insert(suspect.started);
                    *latest = (*latest).max(suspect.started);
                }
            }
        }
        for (cause, started) in started {
            sightings.entry(cause).or_default().push(Sighting { event, started });
        }
    }
    sightings
}

fn weigh(sightings: &[Sighting<'_>]) -> Weight {
    Weight { chain: chain_length(sightings), crashes: sightings.len() }
}

/// The largest number of crashes of which each has a request that started after the one before it.
fn chain_length(sightings: &[Sighting<'_>]) -> usize {
    let mut last: Option<Timestamp> = None;
    let mut length = 0;
    for sighting in sightings {
        if last.is_none_or(|last| sighting.started > last) {
            length += 1;
            last = Some(sighting.event.at);
        }
    }
    length
}

/// Whether something more specific than this cause explains its crashes, but for a coincidence: a
/// later part of the prompts, or a single request that was sent repeatedly.
fn has_specific_cause(cause: Cause, sightings: &[Sighting<'_>]) -> bool {
    let own = |suspect: &&Suspect| suspect.parts.organisation == cause.organisation;
    let specific: BTreeSet<Digest> = sightings
        .iter()
        .flat_map(|sighting| sighting.event.suspects_with(cause.part).filter(own))
        .flat_map(|suspect| suspect.parts.subjects().skip_while(|part| *part != cause.part).skip(1))
        .collect();
    specific.into_iter().any(|part| {
        let rival = Cause { organisation: cause.organisation, part };
        let remaining: Vec<Sighting<'_>> =
            sightings.iter().filter(|sighting| !rival.explains(sighting.event)).copied().collect();
        chain_length(&remaining) < REMAINING_CHAIN
    })
}
