//! Finds the part of a prompt that explains crashes of engines.

use std::{cmp::Reverse, collections::BTreeMap};

use clock::Timestamp;
use types::Digest;

use crate::{
    event::{CrashEvent, Evidence, Suspect},
    table::MAX_EVENTS,
};

/// Successive crashes before the first event of an answer from which a part is refused.
const REFUSAL_CHAIN: usize = 3;
/// Successive crashes, with a new attempt between each two, from which a part is refused if answers
/// had begun. Whole answers take longer to clear a sound part than first events do.
const WHOLE_REFUSAL_CHAIN: usize = 4;
/// The same for crashes that overlap: an answer went on after the crash before. Engines that are lost
/// one shortly after the other show this as well, so more crashes are needed.
const OVERLAPPING_REFUSAL_CHAIN: usize = 6;
/// Successive crashes that must remain for a part when those that a more specific part explains as
/// well are left out. A single further crash may be a coincidence.
const REMAINING_CHAIN: usize = 2;
/// Successive crashes from which a part is refused although an unrelated one explains them equally
/// well.
const TIE_CHAIN: usize = 5;
/// The same if answers had begun.
const WHOLE_TIE_CHAIN: usize = 6;

/// Bits of the events of one cause.
type EventMask = u64;
const _: () = assert!(MAX_EVENTS <= EventMask::BITS as usize);

/// What may explain crashes: a part of the requests of one organisation. The digest of the
/// organisation's name stands for all of its requests, and a fingerprint for a single one.
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

    /// Whether the cause explains a crash.
    pub(crate) fn explains(self, event: &CrashEvent, evidence: Evidence) -> bool {
        event.contains(self.part)
            && event.suspects(evidence).any(|suspect| {
                suspect.organisation == self.organisation
                    && !event.is_cleared(self.part, suspect)
                    && suspect.subjects().any(|subject| subject == self.part)
            })
    }

    /// The part, if the cause is one that can be refused.
    pub(crate) fn refused_part(self) -> Option<Digest> {
        self.is_part().then_some(self.part)
    }
}

/// A crash in which requests with one part took part.
#[derive(Clone, Copy)]
struct Sighting {
    /// Index of the crash.
    event: usize,
    crashed_at: Timestamp,
    /// When the last of the requests had started.
    started: Timestamp,
    /// When the process last sent a part of one of the answers.
    progress: Timestamp,
}

/// The crashes that a cause explains.
#[derive(Default)]
struct Record {
    sightings: Vec<Sighting>,
    events: EventMask,
    /// Number of requests with the part, over all crashes.
    suspects: usize,
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
pub(crate) fn find_cause(events: &[&CrashEvent], evidence: Evidence) -> Option<(Cause, usize)> {
    let records = records_by_cause(events, evidence);
    let mut candidates: Vec<(Weight, &Record, Cause)> = records
        .iter()
        .filter(|(cause, record)| {
            !is_single_request(**cause, events, record)
                && is_suspicious(record, evidence)
                && !has_specific_cause(**cause, record, &records, events, evidence)
        })
        .map(|(cause, record)| (weigh(record, evidence), record, *cause))
        .collect();
    candidates.sort_by_key(|(weight, record, cause)| {
        (Reverse(*weight), !cause.is_part(), record.suspects, *cause)
    });
    let (_, _, cause) = *candidates.first()?;
    if !cause.is_part() {
        // The requests of an organisation explain the crashes better than any part of another one.
        // A part of its own is better still.
        candidates.retain(|(_, _, other)| {
            other.organisation == cause.organisation && (other.is_part() || *other == cause)
        });
        candidates.sort_by_key(|(weight, _, cause)| (!cause.is_part(), Reverse(*weight)));
    }
    let (weight, _, cause) = *candidates.first()?;
    let rivals = candidates.iter().skip(1).filter(|(other, _, _)| *other == weight);
    let tie_chain = match evidence {
        Evidence::Beginning => TIE_CHAIN,
        Evidence::Whole => WHOLE_TIE_CHAIN,
    };
    let is_open = rivals.count() > 0 && weight.chain < tie_chain;
    (!is_open).then_some((cause, weight.crashes))
}

/// The crashes that each organisation, each part and each whole request takes part in.
fn records_by_cause(events: &[&CrashEvent], evidence: Evidence) -> BTreeMap<Cause, Record> {
    let mut records: BTreeMap<Cause, Record> = BTreeMap::new();
    for (index, event) in events.iter().enumerate() {
        for suspect in event.suspects(evidence) {
            let organisation = suspect.organisation;
            for part in suspect.subjects() {
                if !event.is_cleared(part, suspect) {
                    let record = records.entry(Cause { organisation, part }).or_default();
                    record.add(index, event.at, suspect);
                }
            }
        }
    }
    records
}

impl Record {
    /// Adds a suspect of the event with this index. Events are added in their order.
    fn add(&mut self, event: usize, crashed_at: Timestamp, suspect: &Suspect) {
        self.suspects += 1;
        self.events |= 1 << event;
        let (started, progress) = (suspect.started, suspect.progress);
        match self.sightings.last_mut().filter(|last| last.event == event) {
            Some(last) => {
                last.started = last.started.max(started);
                last.progress = last.progress.max(progress);
            }
            None => self.sightings.push(Sighting { event, crashed_at, started, progress }),
        }
    }
}

/// Whether the cause is the fingerprint of one request. Those are judged by themselves.
fn is_single_request(cause: Cause, events: &[&CrashEvent], record: &Record) -> bool {
    let is_fingerprint = |sighting: &Sighting| {
        let event = events[sighting.event];
        event.silent.get(cause.part).is_some() || event.begun.get(cause.part).is_some()
    };
    record.sightings.first().is_some_and(is_fingerprint)
}

/// Whether enough crashes speak against a cause.
fn is_suspicious(record: &Record, evidence: Evidence) -> bool {
    let started_chain = chain_length(&record.sightings, |sighting| sighting.started);
    match evidence {
        Evidence::Beginning => started_chain >= REFUSAL_CHAIN,
        Evidence::Whole => {
            started_chain >= WHOLE_REFUSAL_CHAIN
                || overlapping_chain(&record.sightings) >= OVERLAPPING_REFUSAL_CHAIN
        }
    }
}

fn weigh(record: &Record, evidence: Evidence) -> Weight {
    Weight { chain: chain(&record.sightings, evidence), crashes: record.sightings.len() }
}

fn chain(sightings: &[Sighting], evidence: Evidence) -> usize {
    match evidence {
        Evidence::Beginning => chain_length(sightings, |sighting| sighting.started),
        Evidence::Whole => overlapping_chain(sightings),
    }
}

/// The largest number of crashes before each of which the engine still sent a part of an answer after
/// the one before it.
fn overlapping_chain(sightings: &[Sighting]) -> usize {
    chain_length(sightings, |sighting| sighting.progress)
}

/// The largest number of crashes of which each has a request whose time is after the one before it.
fn chain_length(sightings: &[Sighting], time: impl Fn(&Sighting) -> Timestamp) -> usize {
    let mut last: Option<Timestamp> = None;
    let mut length = 0;
    for sighting in sightings {
        if last.is_none_or(|last| time(sighting) > last) {
            length += 1;
            last = Some(sighting.crashed_at);
        }
    }
    length
}

/// Whether something more specific than this cause explains its crashes, but for a coincidence:
/// another part of the same prompts that fewer requests have, or a single request that was sent
/// repeatedly.
fn has_specific_cause(
    cause: Cause,
    record: &Record,
    records: &BTreeMap<Cause, Record>,
    events: &[&CrashEvent],
    evidence: Evidence,
) -> bool {
    record.sightings.iter().any(|sighting| {
        let own = events[sighting.event].suspects(evidence).filter(|suspect| {
            suspect.organisation == cause.organisation
                && suspect.subjects().any(|subject| subject == cause.part)
        });
        own.flat_map(|suspect| more_specific(cause, record, suspect, records, evidence))
            .any(|rival| !has_remaining_chain(record, rival, evidence))
    })
}

/// What is more specific than a cause among the subjects of a request that has it: what fewer requests
/// have. Of parts that as many requests have, the later one is, while no answer has begun: prompts are
/// alike from their start on. Later, it is open which of the two it is.
fn more_specific<'a>(
    cause: Cause,
    record: &'a Record,
    suspect: &'a Suspect,
    records: &'a BTreeMap<Cause, Record>,
    evidence: Evidence,
) -> impl Iterator<Item = &'a Record> {
    let place = suspect.subjects().position(|subject| subject == cause.part).unwrap_or_default();
    suspect.subjects().enumerate().filter_map(move |(other_place, part)| {
        let rival = records.get(&Cause { organisation: cause.organisation, part })?;
        let breaks_tie =
            evidence == Evidence::Beginning || part == suspect.fingerprint || !cause.is_part();
        let is_later = other_place > place && rival.suspects == record.suspects;
        (rival.suspects < record.suspects || (is_later && breaks_tie)).then_some(rival)
    })
}

/// Whether enough crashes of a cause remain without those that a rival explains.
fn has_remaining_chain(record: &Record, rival: &Record, evidence: Evidence) -> bool {
    let remaining = record.sightings.iter().filter(|one| rival.events & (1 << one.event) == 0);
    let remaining: Vec<Sighting> = remaining.copied().collect();
    chain(&remaining, evidence) >= REMAINING_CHAIN
}
