//! The notes by which a node tells the others what it knows.

use std::{cmp::Reverse, time::Duration};

use clock::Timestamp;
use types::Digest;

use crate::{
    CrashNote, CrashTable, EngineProcess, RefusalKey, Suspect, event::Evidence, note::SuspectNote,
};

/// Time after a crash within which it is repeated to the other nodes.
const REPEAT_TIME: Duration = Duration::from_secs(6);
/// Most refusals that are repeated to another node at once: those whose requests arrived last. A node
/// that starts reads all of them in the key-value service.
const MAX_REPEATED_REFUSALS: usize = 32;
/// Most parts of these refusals. One refusal is repeated whatever its number of parts.
const MAX_REPEATED_PARTS: usize = 128;

impl CrashTable {
    /// Notes on what the other nodes may not know yet: recent crashes, and refusals.
    pub fn notes(&self, now: Timestamp) -> Vec<CrashNote> {
        let mut notes = self.repeated_refusals(now);
        for (process, event) in &self.events {
            if now.since(event.at) < REPEAT_TIME {
                let suspects = event.suspects(Evidence::All);
                notes.push(crash_note(process.clone(), event.at, suspects, now));
                let parts: Vec<Digest> = event.cleared().collect();
                if !parts.is_empty() {
                    notes.push(CrashNote::Begun { process: process.clone(), parts });
                }
                let parts: Vec<Digest> = event.answered().collect();
                if !parts.is_empty() {
                    notes.push(CrashNote::Answered { process: process.clone(), parts });
                }
            }
        }
        notes
    }

    /// The refusals that are repeated to another node: those whose requests arrived last.
    fn repeated_refusals(&self, now: Timestamp) -> Vec<CrashNote> {
        let mut refusals: Vec<_> = self.refusals.iter().collect();
        refusals.sort_by_key(|(key, state)| (Reverse(state.last_seen), **key));
        let mut notes = Vec::new();
        let mut part_count = 0;
        for (key, state) in refusals.into_iter().take(MAX_REPEATED_REFUSALS) {
            part_count += if state.is_in_force() { state.parts.len() } else { 0 };
            if part_count > MAX_REPEATED_PARTS && !notes.is_empty() {
                break;
            }
            notes.extend(self.refusal_note_at(key, now));
        }
        notes
    }

    /// The note on a refusal.
    pub fn refusal_note(&self, key: &RefusalKey) -> Option<CrashNote> {
        let state = self.refusals.get(key)?;
        let has_parts = state.is_in_force();
        let parts = if has_parts { state.parts.to_vec() } else { Vec::new() };
        Some(CrashNote::Refused {
            key: *key,
            part_count: u32::try_from(parts.len()).unwrap_or(u32::MAX),
            parts,
            crashes: state.crashes,
            revision: state.revision,
            age_ms: 0,
        })
    }

    fn refusal_note_at(&self, key: &RefusalKey, now: Timestamp) -> Option<CrashNote> {
        let last_seen = self.refusals.get(key)?.last_seen;
        let mut note = self.refusal_note(key)?;
        if let CrashNote::Refused { age_ms, .. } = &mut note {
            *age_ms = millis(now.since(last_seen));
        }
        Some(note)
    }
}

/// The note on a crash with these requests.
pub(crate) fn crash_note<'a>(
    process: EngineProcess,
    at: Timestamp,
    suspects: impl Iterator<Item = &'a Suspect>,
    now: Timestamp,
) -> CrashNote {
    let suspects = suspects.map(|suspect| SuspectNote {
        organisation: suspect.organisation,
        shared: suspect.shared.clone(),
        fingerprint: suspect.fingerprint,
        age_ms: millis(now.since(suspect.started)),
        silence_ms: millis(now.since(suspect.progress)),
        has_begun: suspect.has_begun,
    });
    CrashNote::Crash { process, age_ms: millis(now.since(at)), suspects: suspects.collect() }
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
