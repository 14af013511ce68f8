//! Finds the part of a prompt that explains crashes of engines.

use std::{cmp::Reverse, collections::HashMap, slice};

use clock::Timestamp;
use types::Digest;

use crate::{
    event::{CrashEvent, Evidence, Suspect},
    table::{MAX_EVENTS, chain_length},
};

/// Successive crashes before the first event of an answer from which a part is refused.
const REFUSAL_CHAIN: usize = 3;
/// Successive crashes, with a new attempt between each two, from which a part is refused if answers
/// had begun. It takes longer until a whole answer clears a sound part than until a first event does.
const BEGUN_REFUSAL_CHAIN: usize = 4;
/// The same for crashes with answers that overlap: the engine still wrote after the crash before.
/// Engines that are lost shortly after one another show this as well, so more crashes are needed.
const OVERLAPPING_REFUSAL_CHAIN: usize = 6;
/// Successive crashes that must remain for a part when those that a more specific part explains as
/// well are left out. A single further crash may be a coincidence.
const REMAINING_CHAIN: usize = 2;
/// Successive crashes from which a part is refused although an unrelated one explains them equally
/// well.
const TIE_CHAIN: usize = 5;
/// The same if answers had begun.
const BEGUN_TIE_CHAIN: usize = 6;

/// Bits of the events of one subject.
type EventMask = u64;
const _: () = assert!(MAX_EVENTS <= EventMask::BITS as usize);

/// What requests of one organisation may have in common: a part. The digest of the organisation's name
/// stands for all of its requests, and a fingerprint for a single one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Subject {
    organisation: Digest,
    part: Digest,
}

impl Subject {
    /// Whether the subject is a part or a single request, and not all requests of an organisation.
    fn is_part(self) -> bool {
        self.part != self.organisation
    }
}

/// What explains crashes: the requests of one organisation that have certain parts, all of them. If
/// there are several, no crash and no answer has shown which of them it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Cause {
    organisation: Digest,
    /// In ascending order. Empty for all requests of the organisation.
    parts: Vec<Digest>,
}

impl Cause {
    /// The requests that have all of `parts`, which are in ascending order.
    pub(crate) fn new(organisation: Digest, parts: &[Digest]) -> Cause {
        Cause { organisation, parts: parts.to_vec() }
    }

    pub(crate) fn organisation(&self) -> Digest {
        self.organisation
    }

    pub(crate) fn parts(&self) -> &[Digest] {
        &self.parts
    }

    /// Whether the cause is all requests of an organisation, which are not refused.
    pub(crate) fn is_organisation(&self) -> bool {
        self.parts.is_empty()
    }

    /// Whether the cause explains a crash.
    pub(crate) fn explains(&self, event: &CrashEvent, evidence: Evidence) -> bool {
        let subjects =
            if self.is_organisation() { slice::from_ref(&self.organisation) } else { &self.parts };
        subjects.iter().all(|subject| event.contains(*subject))
            && event.suspects(evidence).any(|suspect| {
                let has = |subject| subject == self.organisation || suspect.has_part(subject);
                suspect.organisation == self.organisation
                    && subjects
                        .iter()
                        .all(|subject| has(*subject) && !event.is_cleared(*subject, suspect))
            })
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

/// The crashes that a subject explains.
struct Record {
    subject: Subject,
    /// Whether the subject is a single request. Those are judged by themselves.
    is_request: bool,
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
/// that explain crashes, the most specific one is chosen, with those that all requests with it have.
pub(crate) fn find_cause(events: &[&CrashEvent], evidence: Evidence) -> Option<(Cause, usize)> {
    Crashes::index(events, evidence, |_| true).find_cause(evidence)
}

/// The cause among some parts of the requests of one organisation.
pub(crate) fn find_cause_among(
    events: &[&CrashEvent],
    evidence: Evidence,
    organisation: Digest,
    parts: &[Digest],
) -> Option<(Cause, usize)> {
    let is_candidate = |subject: Subject| {
        subject.organisation == organisation && parts.binary_search(&subject.part).is_ok()
    };
    Crashes::index(events, evidence, is_candidate).find_cause(evidence)
}

/// The crashes and what may explain them.
struct Crashes {
    /// What each organisation, each part and each whole request takes part in. What takes part in one
    /// crash only, as most parts do, explains nothing and is left out.
    records: Vec<Record>,
    /// The suspects of each crash, each as the indices of its records by place in the request.
    suspects: Vec<Vec<Vec<usize>>>,
}

impl Crashes {
    /// Collects what takes part in the crashes, as far as it may explain them.
    fn index(
        events: &[&CrashEvent],
        evidence: Evidence,
        is_candidate: impl Fn(Subject) -> bool,
    ) -> Crashes {
        let mut event_counts: HashMap<Digest, usize> = HashMap::new();
        for subject in events.iter().flat_map(|event| event.subjects()) {
            *event_counts.entry(subject).or_default() += 1;
        }
        let is_repeated =
            |subject: &Digest| event_counts.get(subject).is_some_and(|count| *count > 1);
        let mut indices: HashMap<Subject, usize> = HashMap::new();
        let mut crashes = Crashes { records: Vec::new(), suspects: vec![Vec::new(); events.len()] };
        for (number, event) in events.iter().enumerate() {
            for suspect in event.suspects(evidence) {
                let organisation = suspect.organisation;
                let mut subjects = Vec::new();
                for part in suspect.subjects().filter(is_repeated) {
                    let subject = Subject { organisation, part };
                    if event.is_cleared(part, suspect) || !is_candidate(subject) {
                        continue;
                    }
                    let index = *indices.entry(subject).or_insert_with(|| {
                        let is_request = part == suspect.fingerprint;
                        crashes.records.push(Record::new(subject, is_request));
                        crashes.records.len() - 1
                    });
                    crashes.records[index].add(number, event.at, suspect);
                    subjects.push(index);
                }
                crashes.suspects[number].push(subjects);
            }
        }
        crashes
    }

    /// The cause that explains most of the crashes.
    fn find_cause(&self, evidence: Evidence) -> Option<(Cause, usize)> {
        let mut candidates: Vec<(Weight, &Record)> = self
            .records
            .iter()
            .filter(|record| {
                !record.is_request
                    && is_suspicious(record, evidence)
                    && !self.has_specific_cause(record, evidence)
            })
            .map(|record| (weigh(record, evidence), record))
            .collect();
        candidates.sort_by_key(|(weight, record)| {
            (Reverse(*weight), !record.subject.is_part(), record.suspects, record.subject)
        });
        let (_, Record { subject, .. }) = *candidates.first()?;
        if !subject.is_part() {
            // The requests of an organisation explain the crashes better than any part of another one.
            // A part of its own is better still.
            candidates.retain(|(_, other)| {
                other.subject.organisation == subject.organisation
                    && (other.subject.is_part() || other.subject == *subject)
            });
            candidates
                .sort_by_key(|(weight, record)| (!record.subject.is_part(), Reverse(*weight)));
        }
        let (weight, chosen) = *candidates.first()?;
        let cause = self.cause_of(chosen.subject);
        // The other parts of the cause explain the same crashes.
        let is_rival = |other: &Record| {
            other.subject.organisation != chosen.subject.organisation
                || !cause.parts.contains(&other.subject.part)
        };
        let mut rivals = candidates.iter().skip(1);
        let has_rival = rivals.any(|(other, record)| *other == weight && is_rival(record));
        let tie_chain = match evidence {
            Evidence::Silent => TIE_CHAIN,
            Evidence::All => BEGUN_TIE_CHAIN,
        };
        let is_open = has_rival && weight.chain < tie_chain;
        (!is_open).then_some((cause, weight.crashes))
    }

    /// The requests that have the subject, by all that they have in common. Which of these parts crashes
    /// engines is open, so that one of them alone says nothing about a request.
    fn cause_of(&self, subject: Subject) -> Cause {
        let organisation = subject.organisation;
        if !subject.is_part() {
            return Cause::new(organisation, &[]);
        }
        let suspects = self.suspects.iter().flatten();
        let mut with_subject =
            suspects.filter(|subjects| self.place_of(subject, subjects).is_some());
        let mut common: Vec<usize> = with_subject.next().cloned().unwrap_or_default();
        for subjects in with_subject {
            common.retain(|index| subjects.contains(index));
        }
        let records = common.into_iter().map(|index| &self.records[index]);
        let parts = records.filter(|record| record.subject.is_part() && !record.is_request);
        let mut parts: Vec<Digest> = parts.map(|record| record.subject.part).collect();
        parts.sort_unstable();
        parts.dedup();
        Cause { organisation, parts }
    }

    /// Whether something more specific than a subject explains its crashes, but for a coincidence:
    /// another part of the same prompts that fewer requests have, or a single request that was sent
    /// repeatedly.
    fn has_specific_cause(&self, record: &Record, evidence: Evidence) -> bool {
        let suspects = record.sightings.iter().flat_map(|one| &self.suspects[one.event]);
        suspects
            .filter_map(|subjects| Some((subjects, self.place_of(record.subject, subjects)?)))
            .any(|(subjects, place)| {
                subjects.iter().enumerate().any(|(other_place, index)| {
                    let rival = &self.records[*index];
                    is_more_specific(rival, record, other_place > place, evidence)
                        && !has_remaining_chain(record, rival, evidence)
                })
            })
    }

    /// Place of a subject among those of a suspect.
    fn place_of(&self, subject: Subject, subjects: &[usize]) -> Option<usize> {
        subjects.iter().position(|index| self.records[*index].subject == subject)
    }
}

/// Whether a rival from the same request is more specific than a subject: fewer requests have it. Of
/// parts that as many requests have, the later one is, while no answer has begun: prompts are alike
/// from their start on. Later, it is open which of the two it is. If the same requests have them, they
/// are parts of one cause whichever is chosen.
fn is_more_specific(rival: &Record, record: &Record, is_later: bool, evidence: Evidence) -> bool {
    let breaks_tie = evidence == Evidence::Silent || rival.is_request || !record.subject.is_part();
    rival.suspects < record.suspects
        || (rival.suspects == record.suspects && is_later && breaks_tie)
}

impl Record {
    fn new(subject: Subject, is_request: bool) -> Record {
        Record { subject, is_request, sightings: Vec::new(), events: 0, suspects: 0 }
    }

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

/// Whether enough crashes speak against a subject.
fn is_suspicious(record: &Record, evidence: Evidence) -> bool {
    let started_chain = started_chain(&record.sightings);
    match evidence {
        Evidence::Silent => started_chain >= REFUSAL_CHAIN,
        Evidence::All => {
            started_chain >= BEGUN_REFUSAL_CHAIN
                || overlapping_chain(&record.sightings) >= OVERLAPPING_REFUSAL_CHAIN
        }
    }
}

fn weigh(record: &Record, evidence: Evidence) -> Weight {
    Weight { chain: chain(&record.sightings, evidence), crashes: record.sightings.len() }
}

fn chain(sightings: &[Sighting], evidence: Evidence) -> usize {
    match evidence {
        Evidence::Silent => started_chain(sightings),
        Evidence::All => overlapping_chain(sightings),
    }
}

/// The largest number of crashes before each of which the engine still sent a part of an answer after
/// the one before it.
fn overlapping_chain(sightings: &[Sighting]) -> usize {
    chain_length(sightings.iter().map(|sighting| (sighting.crashed_at, sighting.progress)))
}

/// The largest number of crashes before each of which a request started after the one before it.
fn started_chain(sightings: &[Sighting]) -> usize {
    chain_length(sightings.iter().map(|sighting| (sighting.crashed_at, sighting.started)))
}

/// Whether enough crashes of a subject remain without those that a rival explains.
fn has_remaining_chain(record: &Record, rival: &Record, evidence: Evidence) -> bool {
    let remaining = record.sightings.iter().filter(|one| rival.events & (1 << one.event) == 0);
    let remaining: Vec<Sighting> = remaining.copied().collect();
    chain(&remaining, evidence) >= REMAINING_CHAIN
}
