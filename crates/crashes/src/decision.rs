//! Decides which requests are refused for the crashes that are known, and which refusals end for that.

use clock::Timestamp;
use types::Digest;

use crate::{
    CrashNote, CrashTable, RefusalKey,
    event::{CrashEvent, Evidence},
    part_cause::{Cause, find_cause, find_cause_among},
};

/// The kinds of evidence, in the order in which they are looked at.
const EVIDENCE: [Evidence; 2] = [Evidence::Silent, Evidence::All];

impl CrashTable {
    /// Refuses the requests that explain the crashes. Returns the notes on those that were not refused
    /// before.
    pub fn decide(&mut self, now: Timestamp) -> Vec<CrashNote> {
        self.expire(now);
        let mut notes = self.leave_out_answered(now);
        notes.extend(self.narrow_combinations(now));
        let mut explained: Vec<(Cause, Evidence)> = Vec::new();
        loop {
            let mut events = self.unexplained_events();
            events.retain(|event| {
                !explained.iter().any(|(cause, evidence)| cause.explains(event, *evidence))
            });
            let found = EVIDENCE.into_iter().find_map(|evidence| {
                find_cause(&events, evidence).map(|(cause, crashes)| (cause, crashes, evidence))
            });
            let Some((cause, crashes, evidence)) = found else { break };
            notes.extend(self.refuse_cause(&cause, crashes, evidence, now));
            explained.push((cause, evidence));
        }
        for (parts, crashes) in self.refusals.shared_parts() {
            notes.extend(self.refuse(&parts, None, crashes, now));
        }
        notes
    }

    /// Leaves out of the refusals the parts that were answered since the last crash which each explains.
    /// Other nodes may have seen the answers, and may not have known the refusal.
    fn leave_out_answered(&mut self, now: Timestamp) -> Vec<CrashNote> {
        let mut notes = Vec::new();
        for (key, parts) in self.refusals.all_in_force() {
            let crashes = self.explained_events(&key);
            let is_answered = |part: &&Digest| {
                !crashes.is_empty() && crashes.iter().all(|event| event.is_answered(**part))
            };
            let answered: Vec<Digest> = parts.iter().filter(is_answered).copied().collect();
            if !answered.is_empty() {
                notes.extend(self.narrow_refusal(&key, &answered, now));
            }
        }
        notes
    }

    /// Refuses what further crashes have in common with a refused combination of parts. That leaves out
    /// parts which requests that crash engines do not need to have. Returns the notes on it.
    fn narrow_combinations(&mut self, now: Timestamp) -> Vec<CrashNote> {
        let mut notes = Vec::new();
        for (key, parts) in self.refusals.all_in_force() {
            if let Some((cause, crashes, evidence)) = self.find_narrower_cause(&key, &parts) {
                notes.extend(self.refuse_cause(&cause, crashes, evidence, now));
            }
        }
        notes
    }

    /// The cause, with some of the parts of a refused combination, that explains further crashes beside
    /// those for which the combination is refused.
    fn find_narrower_cause(
        &self,
        key: &RefusalKey,
        parts: &[Digest],
    ) -> Option<(Cause, usize, Evidence)> {
        let organisation = key.organisation.filter(|_| parts.len() > 1)?;
        let mut events = self.unexplained_events();
        if events.is_empty() {
            return None;
        }
        events.extend(self.explained_events(key));
        events.sort_by_key(|event| event.at);
        EVIDENCE.into_iter().find_map(|evidence| {
            let (cause, crashes) = find_cause_among(&events, evidence, organisation, parts)?;
            let is_narrower = cause.parts().len() < parts.len();
            is_narrower.then_some((cause, crashes, evidence))
        })
    }

    /// The crashes that a refusal explains.
    fn explained_events(&self, key: &RefusalKey) -> Vec<&CrashEvent> {
        let Some(state) = self.refusals.get(key) else { return Vec::new() };
        self.events.values().filter(|event| key.explains(state, event)).collect()
    }

    /// Refuses the requests that have all parts of a cause, and ends the refusals that it shows to be
    /// wrong. Returns the notes on that.
    fn refuse_cause(
        &mut self,
        cause: &Cause,
        crashes: usize,
        evidence: Evidence,
        now: Timestamp,
    ) -> Vec<CrashNote> {
        if cause.is_organisation() {
            return Vec::new();
        }
        let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
        let refused = self.refuse(cause.parts(), Some(cause.organisation()), crashes, now);
        let mut notes: Vec<CrashNote> = refused.into_iter().collect();
        notes.extend(self.withdraw_explained(cause, evidence));
        notes
    }

    /// The crashes that no refusal explains, by time.
    fn unexplained_events(&self) -> Vec<&CrashEvent> {
        let mut events: Vec<&CrashEvent> =
            self.events.values().filter(|event| !self.refusals.explains(event)).collect();
        events.sort_by_key(|event| event.at);
        events
    }

    /// Ends the refusals whose crashes a cause explains too: their requests only ran on the same
    /// engines, or did so with parts that do not matter. Returns the notes on them.
    fn withdraw_explained(&mut self, cause: &Cause, evidence: Evidence) -> Vec<CrashNote> {
        let keys: Vec<RefusalKey> = self.refusals.iter().map(|(key, _)| *key).collect();
        let mut notes = Vec::new();
        for key in keys {
            if self.is_refused_by_chance(&key, cause, evidence) {
                notes.extend(self.withdraw(&key));
            }
        }
        notes
    }

    /// Whether a cause explains all crashes for which other requests are refused.
    fn is_refused_by_chance(&self, key: &RefusalKey, cause: &Cause, evidence: Evidence) -> bool {
        let Some((organisation, state)) = key.organisation.zip(self.refusals.get(key)) else {
            return false;
        };
        let other = Cause::new(organisation, &state.parts);
        let mut crashes = self.explained_events(key);
        crashes.retain(|event| other.explains(event, Evidence::All));
        other != *cause
            && !crashes.is_empty()
            && crashes.iter().all(|event| cause.explains(event, evidence))
    }

    /// Whether refused parts, or a refused request, explain a crash. Elsewhere refused requests are left
    /// out: one may have run on the engine by chance, and would hide the part that crashed it.
    pub(crate) fn is_explained(&self, event: &CrashEvent) -> bool {
        self.refusals.explains(event)
            || event
                .suspects(Evidence::All)
                .any(|suspect| self.refusals.explains_request(suspect, event.at))
    }
}
