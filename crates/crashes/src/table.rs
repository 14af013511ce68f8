use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clock::Timestamp;
use types::Digest;

use crate::{
    CrashNote, CrashedRuns, EngineProcess, RefusalSource, RefusedPart, RequestParts, Suspect,
    event::CrashEvent,
    note::SuspectNote,
    part_cause::find_cause,
    refusal::{RefusalState, RefusalTable},
    request_cause,
};

/// Largest number of crashes that are remembered; a full table drops the oldest.
pub const MAX_EVENTS: usize = 64;
/// Largest number of requests that are remembered of one crash.
pub const MAX_SUSPECTS: usize = 48;
/// Largest number of refused parts; a full table drops the one that was not seen for the longest
/// time.
pub const MAX_REFUSALS: usize = 256;
/// Time for which a crash is remembered.
const EVENT_LIFETIME: Duration = Duration::from_secs(60);
/// Time after a crash within which it is repeated to the other nodes.
const REPEAT_TIME: Duration = Duration::from_secs(6);
/// Time since the last request with a part within which the part is in use.
const IN_USE_TIME: Duration = Duration::from_secs(60);
/// Crashes of engines during one request after which it is refused.
const REQUEST_CRASH_LIMIT: usize = 2;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Engines crashed while they ran the same request.
    Request {
        /// Number of the crashes.
        crashes: usize,
    },
    /// Engines crash when they answer a prompt with one of the request's parts.
    Part {
        /// The part.
        refused: RefusedPart,
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
    /// A request began an answer after a crash.
    Begun,
    /// A part is refused.
    Refused(RefusedPart),
    /// A part is no longer refused.
    Withdrawn(RefusedPart),
}

/// What a node knows about crashes and the parts that are refused for them.
#[derive(Debug, Default)]
pub struct CrashTable {
    events: BTreeMap<EngineProcess, CrashEvent>,
    refusals: RefusalTable,
}

impl CrashTable {
    /// Records that an engine process has crashed while it ran the given requests, which had begun
    /// no answer there. Returns the note for the other nodes if any of that is new.
    pub fn record_crash(
        &mut self,
        process: EngineProcess,
        suspects: Vec<Suspect>,
        now: Timestamp,
    ) -> Option<CrashNote> {
        self.expire(now);
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

    /// Records that a request has begun an answer, which clears its parts. Returns the notes for the
    /// other nodes.
    pub fn record_begin(&mut self, request: &RequestParts) -> Vec<CrashNote> {
        let parts = [request.organisation].into_iter().chain(request.shared.iter().copied());
        self.clear(&parts.collect::<Vec<_>>())
    }

    /// Records that a request was answered, which clears the whole request. Returns the notes for
    /// the other nodes.
    pub fn record_success(&mut self, request: &RequestParts) -> Vec<CrashNote> {
        self.clear(&request.subjects().collect::<Vec<_>>())
    }

    fn clear(&mut self, parts: &[Digest]) -> Vec<CrashNote> {
        let mut notes = Vec::new();
        for (process, event) in &mut self.events {
            let is_new = |part: &Digest| event.suspects_with(*part).next().is_some();
            let begun: Vec<Digest> = parts.iter().copied().filter(is_new).collect();
            if !begun.is_empty() {
                event.cleared.extend(begun.iter().copied());
                notes.push(CrashNote::Begun { process: process.clone(), parts: begun });
            }
        }
        let withdrawn = self.refusals.withdraw(parts);
        notes.extend(withdrawn.iter().filter_map(|refused| self.refusal_note(refused)));
        notes
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
                let Some(event) = self.events.get_mut(&process) else { return Applied::Known };
                let known = event.cleared.len();
                // Only parts of the crash are kept, which bounds their number.
                let own =
                    parts.into_iter().filter(|part| event.suspects_with(*part).next().is_some());
                let own: Vec<Digest> = own.collect();
                event.cleared.extend(own);
                if event.cleared.len() > known { Applied::Begun } else { Applied::Known }
            }
            CrashNote::Refused { part, organisation, crashes, withdrawn, age_ms } => {
                let last_seen = before(now, age_ms);
                let state = RefusalState { crashes, source, since: now, last_seen, withdrawn };
                let refused = RefusedPart { part, organisation };
                if !self.refusals.merge(refused, state, MAX_REFUSALS) {
                    return Applied::Known;
                }
                if withdrawn { Applied::Withdrawn(refused) } else { Applied::Refused(refused) }
            }
        }
    }

    /// Refuses the parts that explain the crashes. Returns the notes on those that were not refused
    /// before.
    pub fn decide(&mut self, now: Timestamp) -> Vec<CrashNote> {
        self.expire(now);
        let mut notes = Vec::new();
        let mut explained = Vec::new();
        loop {
            let mut events: Vec<&CrashEvent> = self.events.values().collect();
            events.retain(|event| {
                let is_explained =
                    explained.iter().any(|cause: &crate::part_cause::Cause| cause.explains(event));
                !is_explained && !self.has_refused_part(event)
            });
            events.sort_by_key(|event| event.at);
            let Some((cause, crashes)) = find_cause(&events) else { break };
            explained.push(cause);
            let Some(part) = cause.refused_part() else { continue };
            let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
            let refused = RefusedPart { part, organisation: Some(cause.organisation) };
            notes.extend(self.refuse(refused, crashes, now));
        }
        for (part, crashes) in self.refusals.shared_parts() {
            notes.extend(self.refuse(RefusedPart { part, organisation: None }, crashes, now));
        }
        notes
    }

    /// Refuses a part. Returns the note on it if it was not refused before.
    fn refuse(&mut self, refused: RefusedPart, crashes: u32, now: Timestamp) -> Option<CrashNote> {
        let source = RefusalSource::Decision;
        let state = RefusalState { crashes, source, since: now, last_seen: now, withdrawn: false };
        let is_new = self.refusals.merge(refused, state, MAX_REFUSALS);
        if is_new { self.refusal_note(&refused) } else { None }
    }

    /// Why a request must not be sent, if so.
    pub fn check(&mut self, request: &RequestParts, now: Timestamp) -> Option<Refusal> {
        self.refusals.expire(now);
        if let Some((refused, state)) = self.refusals.check(request, now) {
            let RefusalState { crashes, source, since, .. } = state;
            let age = now.since(since);
            return Some(Refusal::Part { refused, crashes, source, age });
        }
        let crashes = self.request_crashes(request, now);
        (crashes > 0).then_some(Refusal::Request { crashes })
    }

    /// Notes on what the other nodes may not know yet: recent crashes, and the refused parts.
    pub fn notes(&self, now: Timestamp) -> Vec<CrashNote> {
        let mut notes: Vec<CrashNote> = Vec::new();
        notes.extend(
            self.refusals.iter().filter_map(|(refused, _)| self.refusal_note_at(refused, now)),
        );
        for (process, event) in &self.events {
            if now.since(event.at) < REPEAT_TIME {
                let suspects = event.suspects.values();
                notes.push(crash_note(process.clone(), event.at, suspects, now));
                if !event.cleared.is_empty() {
                    let parts = event.cleared.iter().copied().collect();
                    notes.push(CrashNote::Begun { process: process.clone(), parts });
                }
            }
        }
        notes
    }

    /// Crashes that led to the refusal of a part; `None` if it is not refused.
    pub fn refused_crashes(&self, refused: &RefusedPart) -> Option<u32> {
        let state = self.refusals.get(refused)?;
        (!state.withdrawn).then_some(state.crashes)
    }

    /// Whether a part is refused and a request with it has arrived lately.
    pub fn is_in_use(&self, refused: &RefusedPart, now: Timestamp) -> bool {
        let state = self.refusals.get(refused);
        state.is_some_and(|state| !state.withdrawn && now.since(state.last_seen) < IN_USE_TIME)
    }

    /// The note on a refused part.
    pub fn refusal_note(&self, refused: &RefusedPart) -> Option<CrashNote> {
        let state = self.refusals.get(refused)?;
        Some(CrashNote::Refused {
            part: refused.part,
            organisation: refused.organisation,
            crashes: state.crashes,
            withdrawn: state.withdrawn,
            age_ms: 0,
        })
    }

    fn refusal_note_at(&self, refused: &RefusedPart, now: Timestamp) -> Option<CrashNote> {
        let last_seen = self.refusals.get(refused)?.last_seen;
        let mut note = self.refusal_note(refused)?;
        if let CrashNote::Refused { age_ms, .. } = &mut note {
            *age_ms = millis(now.since(last_seen));
        }
        Some(note)
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
            has_new |= event.add(process, suspect, MAX_SUSPECTS);
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

    fn has_refused_part(&self, event: &CrashEvent) -> bool {
        event.suspects.values().any(|suspect| {
            let organisation = suspect.parts.organisation;
            suspect.parts.shared.iter().any(|part| self.refusals.is_refused(*part, organisation))
        })
    }

    /// Number of crashes for which a request is refused; zero if it is not refused.
    fn request_crashes(&self, request: &RequestParts, now: Timestamp) -> usize {
        let fingerprint = request.fingerprint;
        let runs_on = |event: &&CrashEvent| event.suspects.contains_key(&fingerprint);
        if self.events.values().filter(runs_on).count() < REQUEST_CRASH_LIMIT {
            return 0;
        }
        let mut runs: HashMap<Digest, CrashedRuns> = HashMap::new();
        for (process, event) in &self.events {
            if now.since(event.at) >= EVENT_LIFETIME || self.has_refused_part(event) {
                continue;
            }
            for (fingerprint, suspect) in &event.suspects {
                if !event.cleared.contains(fingerprint) {
                    let run_time = Some(suspect.run_time(event.at));
                    runs.entry(*fingerprint).or_default().add(process.clone(), run_time);
                }
            }
        }
        let is_poison = request_cause::is_poison(&runs, fingerprint, REQUEST_CRASH_LIMIT);
        if is_poison { runs.get(&fingerprint).map_or(0, CrashedRuns::len) } else { 0 }
    }

    fn expire(&mut self, now: Timestamp) {
        self.events.retain(|_, event| now.since(event.at) < EVENT_LIFETIME);
        self.refusals.expire(now);
    }
}

fn crash_note<'a>(
    process: EngineProcess,
    at: Timestamp,
    suspects: impl Iterator<Item = &'a Suspect>,
    now: Timestamp,
) -> CrashNote {
    let suspects = suspects.map(|suspect| SuspectNote {
        organisation: suspect.parts.organisation,
        shared: suspect.parts.shared.to_vec(),
        fingerprint: suspect.parts.fingerprint,
        age_ms: millis(now.since(suspect.started)),
    });
    CrashNote::Crash { process, age_ms: millis(now.since(at)), suspects: suspects.collect() }
}

fn decode_suspect(note: SuspectNote, now: Timestamp) -> Suspect {
    let SuspectNote { organisation, shared, fingerprint, age_ms } = note;
    let parts = RequestParts { organisation, shared: shared.into(), fingerprint };
    Suspect { parts, started: before(now, age_ms) }
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

fn before(now: Timestamp, age_ms: u32) -> Timestamp {
    now - Duration::from_millis(u64::from(age_ms))
}
