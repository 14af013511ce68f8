use std::{collections::BTreeMap, sync::Arc, time::Duration};

use clock::Timestamp;
use types::Digest;

use crate::{
    CrashNote, EngineProcess, RefusalKey, RefusalSource, RequestParts, Suspect,
    event::CrashEvent,
    note::SuspectNote,
    outgoing::crash_note,
    refusal::{RefusalState, RefusalTable},
    sound::SoundParts,
};

/// Largest number of crashes that are remembered; a full table drops the oldest.
pub const MAX_EVENTS: usize = 64;
/// Largest number of refusals; a full table drops the one that was not seen for the longest time, of
/// the organisation that has most of them.
pub const MAX_REFUSALS: usize = 256;
/// Time for which a crash is remembered.
pub(crate) const EVENT_LIFETIME: Duration = Duration::from_secs(60);
/// Time since the last request with a part within which the part is in use.
const IN_USE_TIME: Duration = Duration::from_secs(60);

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Engines crashed while they ran the same request.
    Request {
        /// Number of the crashes.
        crashes: usize,
    },
    /// Engines crash when they answer a prompt with certain parts of the request.
    Part {
        /// The refusal that applies.
        key: RefusalKey,
        /// The parts. Which of them crashes engines is open if there are several.
        parts: Arc<[Digest]>,
        /// Crashes that led to the refusal.
        crashes: u32,
        /// From where this node knows it.
        source: RefusalSource,
        /// Time since this node knows it.
        age: Duration,
    },
}

/// What a note of another node has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Nothing.
    Known,
    /// This node did not know the crash, or not all of its requests.
    Crash(EngineProcess, Timestamp),
    /// Requests have begun an answer, or were answered, after a crash.
    Cleared,
    /// Requests are refused.
    Refused(RefusalKey),
    /// A refusal has ended.
    Withdrawn(RefusalKey),
}

/// What a node knows about crashes and the requests that are refused for them.
#[derive(Debug, Default)]
pub struct CrashTable {
    pub(crate) events: BTreeMap<EngineProcess, CrashEvent>,
    pub(crate) refusals: RefusalTable,
    sound: SoundParts,
}

impl CrashTable {
    /// Records that an engine process has crashed while it ran the given requests. Their parts that
    /// this node knows to be sound are left out. Returns the note for the other nodes if any of that
    /// is new.
    pub fn record_crash(
        &mut self,
        process: EngineProcess,
        suspects: Vec<Suspect>,
        now: Timestamp,
    ) -> Option<CrashNote> {
        self.expire(now);
        let mut suspects = suspects;
        for suspect in &mut suspects {
            suspect.shared.retain(|placed| !self.sound.contains(placed.part, now));
        }
        let at = self.events.get(&process).map_or(now, |event| event.at);
        let is_known = self.events.contains_key(&process);
        if !self.add_crash(&process, at, suspects.clone()) && is_known {
            return None;
        }
        Some(crash_note(process, at, suspects.iter(), now))
    }

    /// When a process crashed, if it is known to have crashed.
    pub fn crashed_at(&self, process: &EngineProcess) -> Option<Timestamp> {
        self.events.get(process).map(|event| event.at)
    }

    /// Records that a request has begun an answer, which clears its parts of the crashes before the
    /// first event of an answer. Returns the notes for the other nodes.
    pub fn record_begin(&mut self, request: &RequestParts) -> Vec<CrashNote> {
        let parts = [request.organisation].into_iter().chain(request.shared.iter().copied());
        self.clear_begun(&parts.collect::<Vec<_>>())
    }

    /// Records that one engine has answered a request from its start to its end, which clears the
    /// request and its parts: a refusal goes on without them, and ends if none is left. Returns the
    /// notes for the other nodes.
    pub fn record_answer(&mut self, request: &RequestParts, now: Timestamp) -> Vec<CrashNote> {
        self.sound.add(&request.shared, now);
        let subjects: Vec<Digest> = request.subjects().collect();
        let mut notes = self.clear_begun(&subjects);
        notes.extend(self.clear_answered(&subjects));
        let mut parts = request.shared.to_vec();
        parts.push(request.fingerprint);
        notes.extend(self.narrow_refusals(&parts, now));
        notes
    }

    /// Records that an engine has written the rest of an answer that others had begun. That clears
    /// the request, but not its parts: they may crash engines later in an answer. Returns the notes
    /// for the other nodes.
    pub fn record_resumed_answer(
        &mut self,
        request: &RequestParts,
        now: Timestamp,
    ) -> Vec<CrashNote> {
        let mut notes = self.clear_begun(&request.subjects().collect::<Vec<_>>());
        notes.extend(self.clear_answered(&[request.fingerprint]));
        notes.extend(self.narrow_refusals(&[request.fingerprint], now));
        notes
    }

    /// Leaves parts that were answered out of the refusals. Returns the notes on those that have begun
    /// or ended by this.
    fn narrow_refusals(&mut self, answered: &[Digest], now: Timestamp) -> Vec<CrashNote> {
        let keys = self.refusals.of_parts(answered);
        keys.into_iter().flat_map(|key| self.narrow_refusal(&key, answered, now)).collect()
    }

    /// Leaves parts that were answered out of one refusal. It goes on under the key of the others.
    pub(crate) fn narrow_refusal(
        &mut self,
        key: &RefusalKey,
        answered: &[Digest],
        now: Timestamp,
    ) -> Vec<CrashNote> {
        let Some(state) = self.refusals.get(key) else { return Vec::new() };
        let crashes = state.crashes;
        let is_left = |part: &&Digest| !answered.contains(*part);
        let left: Vec<Digest> = state.parts.iter().filter(is_left).copied().collect();
        let mut notes = Vec::new();
        if !left.is_empty() {
            notes.extend(self.refuse(&left, key.organisation, crashes, now));
        }
        notes.extend(self.withdraw(key));
        notes
    }

    /// Ends a refusal. Returns the note on it if it was in force.
    pub(crate) fn withdraw(&mut self, key: &RefusalKey) -> Option<CrashNote> {
        if self.refusals.withdraw_one(key) { self.refusal_note(key) } else { None }
    }

    fn clear_begun(&mut self, subjects: &[Digest]) -> Vec<CrashNote> {
        let clear = |(process, event): (&EngineProcess, &mut CrashEvent)| {
            let parts = event.clear_begun(subjects);
            (!parts.is_empty()).then(|| CrashNote::Begun { process: process.clone(), parts })
        };
        self.events.iter_mut().filter_map(clear).collect()
    }

    fn clear_answered(&mut self, subjects: &[Digest]) -> Vec<CrashNote> {
        let clear = |(process, event): (&EngineProcess, &mut CrashEvent)| {
            let parts = event.clear_answered(subjects);
            (!parts.is_empty()).then(|| CrashNote::Answered { process: process.clone(), parts })
        };
        self.events.iter_mut().filter_map(clear).collect()
    }

    /// Merges a note of another node.
    pub fn apply(&mut self, note: CrashNote, source: RefusalSource, now: Timestamp) -> Applied {
        match note {
            CrashNote::Crash { process, age_ms, suspects } => {
                let at = before(now, age_ms);
                if now.since(at) >= EVENT_LIFETIME {
                    return Applied::Known;
                }
                let suspects = suspects.into_iter().map(|suspect| decode_suspect(suspect, now));
                let is_known = self.events.contains_key(&process);
                let has_new = self.add_crash(&process, at, suspects.collect());
                if is_known && !has_new {
                    return Applied::Known;
                }
                let at = self.events.get(&process).map_or(at, |event| event.at);
                Applied::Crash(process, at)
            }
            CrashNote::Begun { process, parts } => {
                let event = self.events.get_mut(&process);
                let new = event.map(|event| event.clear_begun(&parts)).unwrap_or_default();
                if new.is_empty() { Applied::Known } else { Applied::Cleared }
            }
            CrashNote::Answered { process, parts } => {
                let event = self.events.get_mut(&process);
                let new = event.map(|event| event.clear_answered(&parts)).unwrap_or_default();
                if new.is_empty() { Applied::Known } else { Applied::Cleared }
            }
            CrashNote::Refused { key, parts, part_count, crashes, revision, age_ms } => {
                let last_seen = before(now, age_ms);
                let state = RefusalState {
                    parts: sorted(parts),
                    part_count: part_count as usize,
                    crashes,
                    source,
                    since: now,
                    last_seen,
                    revision,
                };
                if !self.refusals.merge(key, state, MAX_REFUSALS) {
                    return Applied::Known;
                }
                match self.refusals.get(&key) {
                    Some(state) if state.is_in_force() => Applied::Refused(key),
                    Some(state) if state.is_withdrawn() => Applied::Withdrawn(key),
                    _ => Applied::Known,
                }
            }
        }
    }

    /// Refuses requests that have all of `parts`. Returns the note on that if they were not refused
    /// before.
    pub(crate) fn refuse(
        &mut self,
        parts: &[Digest],
        organisation: Option<Digest>,
        crashes: u32,
        now: Timestamp,
    ) -> Option<CrashNote> {
        let parts = sorted(parts.to_vec());
        let key = RefusalKey::new(&parts, organisation);
        // Crashes since the refusal ended begin it again.
        let known = self.refusals.get(&key);
        let revision = known.map_or(0, |known| known.revision.next_multiple_of(2));
        let state = RefusalState {
            part_count: parts.len(),
            parts,
            crashes,
            source: RefusalSource::Decision,
            since: now,
            last_seen: now,
            revision,
        };
        let is_new = self.refusals.merge(key, state, MAX_REFUSALS);
        if is_new { self.refusal_note(&key) } else { None }
    }

    /// Why a request must not be sent, if so.
    pub fn check(&mut self, request: &RequestParts, now: Timestamp) -> Option<Refusal> {
        self.refusals.expire(now);
        if let Some((key, state)) = self.refusals.check(request, now) {
            let RefusalState { parts, crashes, source, since, .. } = state;
            if key.id == request.fingerprint {
                return Some(Refusal::Request { crashes: crashes as usize });
            }
            let age = now.since(since);
            return Some(Refusal::Part { key, parts, crashes, source, age });
        }
        let crashes = self.request_crashes(request, now);
        (crashes > 0).then_some(Refusal::Request { crashes })
    }

    /// The parts that a request must have to be refused, and the crashes that led to the refusal;
    /// `None` if it is not in force.
    pub fn refused_parts(&self, key: &RefusalKey) -> Option<(Arc<[Digest]>, u32)> {
        let state = self.refusals.get(key).filter(|state| state.is_in_force())?;
        Some((state.parts.clone(), state.crashes))
    }

    /// Whether a refusal is in force and a request that it applies to has arrived lately.
    pub fn is_in_use(&self, key: &RefusalKey, now: Timestamp) -> bool {
        let state = self.refusals.get(key);
        state.is_some_and(|state| state.is_in_force() && now.since(state.last_seen) < IN_USE_TIME)
    }

    /// Adds a crash. Returns whether a request of it is new.
    fn add_crash(
        &mut self,
        process: &EngineProcess,
        at: Timestamp,
        suspects: Vec<Suspect>,
    ) -> bool {
        let event = self.events.entry(process.clone()).or_insert_with(|| CrashEvent::new(at));
        event.at = event.at.min(at);
        let mut has_new = false;
        for suspect in suspects {
            has_new |= event.add(process, suspect);
        }
        if self.events.len() > MAX_EVENTS {
            let oldest =
                self.events.iter().min_by_key(|(process, event)| (event.at, (*process).clone()));
            if let Some(oldest) = oldest.map(|(process, _)| process.clone()) {
                self.events.remove(&oldest);
            }
        }
        has_new
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.events.retain(|_, event| now.since(event.at) < EVENT_LIFETIME);
        self.refusals.expire(now);
    }
}

/// The largest number of crashes of which each has a run that started after the one before it. Each
/// pair is the time of a crash and the start of the run.
pub(crate) fn chain_length(runs: impl Iterator<Item = (Timestamp, Timestamp)>) -> usize {
    let mut last: Option<Timestamp> = None;
    let mut length = 0;
    for (crashed_at, started) in runs {
        if last.is_none_or(|last| started > last) {
            length += 1;
            last = Some(crashed_at);
        }
    }
    length
}

fn decode_suspect(note: SuspectNote, now: Timestamp) -> Suspect {
    let SuspectNote { organisation, shared, fingerprint, age_ms, silence_ms, has_begun } = note;
    let (started, progress) = (before(now, age_ms), before(now, silence_ms));
    Suspect { organisation, shared, fingerprint, started, progress, has_begun }
}

fn sorted(mut parts: Vec<Digest>) -> Arc<[Digest]> {
    parts.sort_unstable();
    parts.dedup();
    parts.into()
}

fn before(now: Timestamp, age_ms: u32) -> Timestamp {
    now - Duration::from_millis(u64::from(age_ms))
}
