use std::time::Duration;

use clock::Timestamp;
use types::{Stage, UpstreamName};

use crate::LoadView;

/// Time in which the weight of a counted stall halves.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Stalls, after decay, that make an engine a suspect for the whole node. Two stalls within a
/// half-life on routes that share only this engine reach it.
const SUSPECT_STALLS: f64 = 1.5;
/// Distance from the least stalled engine of a route that singles an engine out.
const CLEAR_DISTANCE: f64 = 0.5;

/// What streams have shown about one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StallRecord {
    /// Time of the last token that passed through the engine.
    pub last_progress: Option<Timestamp>,
    /// Number of stalls at `counted`.
    stalls: f64,
    counted: Timestamp,
}

/// Which engines to avoid after a stall that no probe explains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnosis {
    /// Engines that the request is to avoid.
    pub avoid: Vec<UpstreamName>,
    /// Engines that no request of the node is to use for a while.
    pub suspects: Vec<UpstreamName>,
}

impl StallRecord {
    /// Number of stalls, of which older ones count less.
    pub fn score(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.counted).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.stalls * 0.5_f64.powf(half_lives)
    }

    fn count(&mut self, now: Timestamp) {
        self.stalls = self.score(now) + 1.0;
        self.counted = now;
    }
}

impl LoadView {
    /// Records that a token passed through all stages of a route.
    pub fn record_progress(&mut self, route: &[Stage], now: Timestamp) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.stalls.last_progress = Some(now);
            }
        }
    }

    /// Counts a stall of a route that made no progress after `since`, and decides who is to
    /// blame. Engines that have served other streams in the second half of the time since then are
    /// not, unless all have. In the first half, tokens that had left the stalled engine may still
    /// have arrived.
    pub fn diagnose_stall(
        &mut self,
        route: &[Stage],
        since: Timestamp,
        now: Timestamp,
    ) -> Diagnosis {
        let middle = since + now.since(since) / 2;
        let idle = |stage: &&Stage| {
            let record = self.engines.get(&stage.engine).map(|state| state.stalls);
            record.and_then(|record| record.last_progress).is_none_or(|last| last <= middle)
        };
        let mut candidates: Vec<UpstreamName> =
            route.iter().filter(idle).map(|stage| stage.engine.clone()).collect();
        let single = candidates.len() == 1 && route.len() > 1;
        if candidates.is_empty() {
            candidates = route.iter().map(|stage| stage.engine.clone()).collect();
        }
        for name in &candidates {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.stalls.count(now);
            }
        }
        if single {
            return Diagnosis { suspects: candidates.clone(), avoid: candidates };
        }
        let common = self.most_stalled(&candidates, now);
        if common.is_empty() {
            return Diagnosis { avoid: candidates, suspects: Vec::new() };
        }
        Diagnosis { avoid: common.clone(), suspects: common }
    }

    /// The engines with clearly more stalls than the least stalled one.
    fn most_stalled(&self, names: &[UpstreamName], now: Timestamp) -> Vec<UpstreamName> {
        let score = |name: &UpstreamName| {
            self.engines.get(name).map_or(0.0, |engine| engine.stalls.score(now))
        };
        let least = names.iter().map(score).fold(f64::INFINITY, f64::min);
        let most = names.iter().map(score).fold(0.0, f64::max);
        if most < SUSPECT_STALLS || most < least + CLEAR_DISTANCE {
            return Vec::new();
        }
        let near = |name: &&UpstreamName| score(name) > most - CLEAR_DISTANCE / 2.0;
        names.iter().filter(near).cloned().collect()
    }
}
