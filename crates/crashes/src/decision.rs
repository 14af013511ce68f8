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

    /// Ends the refusals of other parts whose crashes a cause explains too. They were refused since their
    /// requests ran on the same engines. Returns the notes on them.
    fn withdraw_explained(&mut self, cause: Cause, evidence: Evidence) -> Vec<CrashNote> {
        let is_explained = |refused: &RefusedPart| {
            let Some(organisation) = refused.organisation else { return false };
            let other = Cause { organisation, part: refused.part };
            let mut crashes = self
                .events
                .values()
                .filter(|event| {
                    other.explains(event, Evidence::All)
                        && self.refusals.explains(other.part, organisation, event.at)
                })
                .peekable();
            other != cause
                && crashes.peek().is_some()
                && crashes.all(|event| cause.explains(event, evidence))
        };
        let others: Vec<RefusedPart> = self.refusals.iter().map(|(refused, _)| *refused).collect();
        let wrong: Vec<RefusedPart> = others.into_iter().filter(is_explained).collect();
        wrong
            .into_iter()
            .filter(|refused| self.refusals.withdraw_one(refused))
            .collect::<Vec<_>>()
            .iter()
            .filter_map(|refused| self.refusal_note(refused))
            .collect()
    }

    /// Whether a refused part, or a refused request, explains a crash.
    pub(crate) fn is_explained(&self, event: &CrashEvent) -> bool {
        self.is_explained_by_part(event)
            || event.suspects(Evidence::All).any(|suspect| {
                self.refusals.explains(suspect.fingerprint, suspect.organisation, event.at)
            })
    }

    /// Whether a refused part explains a crash. A single request that is refused explains none of those
    /// that show a part: it may have been running by chance.
    fn is_explained_by_part(&self, event: &CrashEvent) -> bool {
        event.suspects(Evidence::All).any(|suspect| {
            let mut parts = suspect.parts();
            parts.any(|part| self.refusals.explains(part, suspect.organisation, event.at))
        })
    }
}
