//! Which whole requests are refused, and which of these refusals are kept.

use std::{collections::HashMap, time::Duration};

use clock::Timestamp;
use types::Digest;

use crate::{
    CrashNote, CrashTable, CrashedRuns, RequestParts,
    event::CrashEvent,
    request_cause,
    table::{EVENT_LIFETIME, chain_length},
};

/// Crashes of engines during one request after which it is refused.
const REQUEST_CRASH_LIMIT: usize = 2;
/// Successive crashes of engines after which a request is refused although its answer had begun. More
/// are needed, since a stream goes on for seconds and others may crash its engines meanwhile.
const BEGUN_REQUEST_CHAIN: usize = 4;
/// Successive crashes during a request from which its refusal is kept and told like that of a part.
/// Crashes of engines that are lost together are none.
const KEPT_REQUEST_CHAIN: usize = 2;
/// Least time from the last of these crashes until then, within which other nodes have reported theirs
/// and answers may still clear the request.
const REQUEST_SETTLE_TIME: Duration = Duration::from_millis(500);

impl CrashTable {
    /// Keeps the refusal of a request that has arrived again after it crashed engines, so that it
    /// outlives what is known of the crashes. Returns the note for the other nodes if that is new.
    pub fn keep_request(&mut self, request: &RequestParts, now: Timestamp) -> Option<CrashNote> {
        let runs = self.uncleared_runs(request.fingerprint, now);
        let (last_crash, _) = *runs.last()?;
        let is_settled = now.since(last_crash) >= REQUEST_SETTLE_TIME;
        let chain = chain_length(runs.iter().copied());
        if !is_settled || chain < KEPT_REQUEST_CHAIN {
            return None;
        }
        let organisation = Some(request.organisation);
        let crashes = u32::try_from(runs.len()).unwrap_or(u32::MAX);
        self.refuse(&[request.fingerprint], organisation, crashes, now)
    }

    /// Number of crashes for which a request is refused; zero if it is not refused.
    pub(crate) fn request_crashes(&self, request: &RequestParts, now: Timestamp) -> usize {
        let crashes = self.silent_request_crashes(request.fingerprint, now);
        if crashes > 0 { crashes } else { self.begun_request_crashes(request.fingerprint, now) }
    }

    /// The crashes for which a request is refused if it had begun no answer.
    fn silent_request_crashes(&self, fingerprint: Digest, now: Timestamp) -> usize {
        let runs_on = |event: &&CrashEvent| event.silent.get(fingerprint).is_some();
        if self.events.values().filter(runs_on).count() < REQUEST_CRASH_LIMIT {
            return 0;
        }
        let mut runs: HashMap<Digest, CrashedRuns> = HashMap::new();
        for (process, event) in &self.events {
            if now.since(event.at) >= EVENT_LIFETIME || self.is_explained(event) {
                continue;
            }
            for suspect in event.silent.iter() {
                if !event.is_cleared(suspect.fingerprint, suspect) {
                    let run_time = Some(suspect.run_time(event.at));
                    let crashed_runs = runs.entry(suspect.fingerprint).or_default();
                    crashed_runs.add(process.clone(), run_time);
                }
            }
        }
        let is_poison = request_cause::is_poison(&runs, fingerprint, REQUEST_CRASH_LIMIT);
        if is_poison { runs.get(&fingerprint).map_or(0, CrashedRuns::len) } else { 0 }
    }

    /// The crashes for which a request is refused whether it had begun an answer or not: those
    /// between which it was sent again each time.
    fn begun_request_crashes(&self, fingerprint: Digest, now: Timestamp) -> usize {
        let chain = chain_length(self.uncleared_runs(fingerprint, now).into_iter());
        if chain >= BEGUN_REQUEST_CHAIN { chain } else { 0 }
    }

    /// The crashes that a request took part in and that nothing else explains, in their order: when
    /// each was noticed, and when the request had started there.
    fn uncleared_runs(&self, fingerprint: Digest, now: Timestamp) -> Vec<(Timestamp, Timestamp)> {
        let mut runs: Vec<(Timestamp, Timestamp)> = self
            .events
            .values()
            .filter(|event| {
                event.contains(fingerprint)
                    && !event.is_answered(fingerprint)
                    && now.since(event.at) < EVENT_LIFETIME
                    && !self.is_explained(event)
            })
            .filter_map(|event| {
                let runs = [event.silent.get(fingerprint), event.begun.get(fingerprint)];
                let started = runs.into_iter().flatten().map(|suspect| suspect.started).max()?;
                Some((event.at, started))
            })
            .collect();
        runs.sort_unstable();
        runs
    }
}
