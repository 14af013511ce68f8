//! Decides which request caused the crashes of engines. An engine that crashes takes down all
//! requests that it runs, so requests which shared two crashed engines with the cause have as many
//! crashes as the cause itself.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use types::Digest;

use crate::EngineProcess;

/// The engine processes that crashed while they ran a request, each with the time for which the
/// request had run there, if it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashedRuns {
    run_times: BTreeMap<EngineProcess, Option<Duration>>,
}

impl CrashedRuns {
    /// Adds a crash. If several copies of the request ran on one process, the shortest run counts.
    pub fn add(&mut self, process: EngineProcess, run_time: Option<Duration>) {
        let known = self.run_times.entry(process).or_insert(run_time);
        *known = match (*known, run_time) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other),
        };
    }

    /// Number of crashed processes.
    pub fn len(&self) -> usize {
        self.run_times.len()
    }

    /// Whether there is no crash.
    pub fn is_empty(&self) -> bool {
        self.run_times.is_empty()
    }

    /// Whether `other` explains all of these crashes at least as well: it ran on each of the
    /// processes, and did not start there earlier more often than later. A request that crashes
    /// engines mostly does so soon after it has started.
    fn are_explained_by(&self, other: &CrashedRuns) -> bool {
        let mut later_starts = 0_i32;
        for (process, own) in &self.run_times {
            let Some(rival) = other.run_times.get(process) else { return false };
            later_starts += match (own, rival) {
                (Some(own), Some(rival)) if rival < own => 1,
                (Some(own), Some(rival)) if rival > own => -1,
                _ => 0,
            };
        }
        later_starts >= 0
    }
}

/// Whether a request is to be refused: at least `limit` engine processes crashed while they ran it,
/// and no other request explains these crashes as well. A request that shared them with the cause
/// runs again, on engines apart from it, and clears itself by its success. From twice the limit a
/// request is refused in any case, so that two requests cannot excuse each other for ever.
pub fn is_poison(
    crashed_runs: &HashMap<Digest, CrashedRuns>,
    request: Digest,
    limit: usize,
) -> bool {
    let Some(own) = crashed_runs.get(&request).filter(|own| own.len() >= limit) else {
        return false;
    };
    let is_explained =
        crashed_runs.iter().any(|(other, runs)| *other != request && own.are_explained_by(runs));
    own.len() >= 2 * limit || !is_explained
}

/// Whether one of the processes that crashed during a request ran another suspect request as well.
pub fn shares_crash(crashed_runs: &HashMap<Digest, CrashedRuns>, request: Digest) -> bool {
    let Some(own) = crashed_runs.get(&request) else { return false };
    let mut others = crashed_runs.iter().filter(|(other, _)| **other != request);
    others.any(|(_, runs)| runs.run_times.keys().any(|process| own.run_times.contains_key(process)))
}
