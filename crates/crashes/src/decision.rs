//! Decides which parts are refused for the crashes that are known, and which refusals end for that.

use clock::Timestamp;

use crate::{
    CrashNote, CrashTable, RefusedPart,
    event::{CrashEvent, Evidence},
    part_cause::{Cause, find_cause},
};

impl CrashTable {
    /// Refuses the parts that explain the crashes. Returns the notes on those that were not refused
    /// before.
    pub fn decide(&mut self, now: Timestamp) -> Vec<CrashNote> {
        self.expire(now);
        let mut notes = Vec::new();
        let mut explained: Vec<(Cause, Evidence)> = Vec::new();
        loop {
            let mut events: Vec<&CrashEvent> = self.events.values().collect();
            events.retain(|event| {
                let is_explained =
                    explained.iter().any(|(cause, evidence)| cause.explains(event, *evidence));
                !is_explained && !self.is_explained_by_part(event)
            });
            events.sort_by_key(|event| event.at);
            let found = [Evidence::Silent, Evidence::All].into_iter().find_map(|evidence| {
                find_cause(&events, evidence).map(|(cause, crashes)| (cause, crashes, evidence))
            });
            let Some((cause, crashes, evidence)) = found else { break };
            explained.push((cause, evidence));
            let Some(part) = cause.refused_part() else { continue };
            let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
            let refused = RefusedPart { part, organisation: Some(cause.organisation) };
            notes.extend(self.refuse(refused, crashes, now));
            notes.extend(self.withdraw_explained(cause, evidence));
        }
        for (part, crashes) in self.refusals.shared_parts() {
            notes.extend(self.refuse(RefusedPart { part, organisation: None }, crashes, now));
        }
        notes
    }

    /// Ends the refusals of parts whose crashes a cause explains too: their requests only ran on the same
    /// engines. Returns the notes on them.
    fn withdraw_explained(&mut self, cause: Cause, evidence: Evidence) -> Vec<CrashNote> {
        let refused: Vec<RefusedPart> = self.refusals.iter().map(|(refused, _)| *refused).collect();
        let mut notes = Vec::new();
        for other in refused {
            if self.is_refused_by_chance(&other, cause, evidence)
                && self.refusals.withdraw_one(&other)
            {
                notes.extend(self.refusal_note(&other));
            }
        }
        notes
    }

    /// Whether a cause explains all crashes for which another part is refused.
    fn is_refused_by_chance(
        &self,
        refused: &RefusedPart,
        cause: Cause,
        evidence: Evidence,
    ) -> bool {
        let Some(organisation) = refused.organisation else { return false };
        let other = Cause { organisation, part: refused.part };
        let mut crashes = self.events.values().filter(|event| {
            other.explains(event, Evidence::All)
                && self.refusals.explains(other.part, organisation, event.at)
        });
        let Some(first) = crashes.next() else { return false };
        other != cause
            && cause.explains(first, evidence)
            && crashes.all(|event| cause.explains(event, evidence))
    }

    /// Whether a refused part, or a refused request, explains a crash.
    pub(crate) fn is_explained(&self, event: &CrashEvent) -> bool {
        self.is_explained_by_part(event)
            || event.suspects(Evidence::All).any(|suspect| {
                self.refusals.explains(suspect.fingerprint, suspect.organisation, event.at)
            })
    }

    /// Whether a refused part explains a crash. Refused single requests are left out: one may have run on
    /// the engine by chance, and would hide the part that crashed it.
    fn is_explained_by_part(&self, event: &CrashEvent) -> bool {
        event.suspects(Evidence::All).any(|suspect| {
            let mut parts = suspect.parts();
            parts.any(|part| self.refusals.explains(part, suspect.organisation, event.at))
        })
    }
}
