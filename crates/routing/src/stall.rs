use std::time::Duration;

use clock::Timestamp;
use types::{Stage, UpstreamName};

use crate::LoadView;

/// Time in which the contribution of a stall to the score halves.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Lowest score at which an engine is a suspect for all requests of the node. Two stalls within one
/// half-life, on routes that share only this engine, reach it.
const SUSPECT_SCORE: f64 = 1.5;
/// Smallest difference to the lowest score on the route for which an engine is singled out.
const MIN_SCORE_DISTANCE: f64 = 0.5;

/// Progress and stalls of the streams that pass through one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StallRecord {
    /// Time of the last token that passed through the engine.
    pub last_progress: Option<Timestamp>,
    /// Score at the time `scored_at`.
    score: f64,
    /// Time of the last stall.
    scored_at: Timestamp,
}

/// Which engines to avoid after a stall of a route whose engines all answer probes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnosis {
    /// Engines that the stalled request must avoid.
    pub avoid: Vec<UpstreamName>,
    /// Engines that all requests of the node must avoid for some time.
    pub suspects: Vec<UpstreamName>,
}

impl StallRecord {
    /// Number of stalls, with an exponential decay of older ones.
    pub fn score(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.scored_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.score * 0.5_f64.powf(half_lives)
    }

    fn record_stall(&mut self, now: Timestamp) {
        self.score = self.score(now) + 1.0;
        self.scored_at = now;
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

    /// Counts a stall of a route that has made no progress since `since`, and decides which engines
    /// may have caused it.
    ///
    /// Engines through which tokens of other streams have passed in the second half of the time
    /// since then are excluded, unless that applies to all engines of the route. Tokens that
    /// arrived in the first half prove nothing: they may have left the stalled engine before it
    /// stalled.
    pub fn diagnose_stall(
        &mut self,
        route: &[Stage],
        since: Timestamp,
        now: Timestamp,
    ) -> Diagnosis {
        let middle = since + now.since(since) / 2;
        let made_no_progress = |stage: &&Stage| {
            let record = self.engines.get(&stage.engine).map(|state| state.stalls);
            record.and_then(|record| record.last_progress).is_none_or(|last| last <= middle)
        };
        let mut candidates: Vec<UpstreamName> =
            route.iter().filter(made_no_progress).map(|stage| stage.engine.clone()).collect();
        let is_single = candidates.len() == 1 && route.len() > 1;
        if candidates.is_empty() {
            candidates = route.iter().map(|stage| stage.engine.clone()).collect();
        }
        for name in &candidates {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.stalls.record_stall(now);
            }
        }
        if is_single {
            return Diagnosis { suspects: candidates.clone(), avoid: candidates };
        }
        let most_stalled = self.most_stalled(&candidates, now);
        if most_stalled.is_empty() {
            return Diagnosis { avoid: candidates, suspects: Vec::new() };
        }
        Diagnosis { avoid: most_stalled.clone(), suspects: most_stalled }
    }

    /// The engines with a clearly higher score than the one with the lowest score, or none if no
    /// score reaches [`SUSPECT_SCORE`].
    fn most_stalled(&self, names: &[UpstreamName], now: Timestamp) -> Vec<UpstreamName> {
        let score = |name: &UpstreamName| {
            self.engines.get(name).map_or(0.0, |engine| engine.stalls.score(now))
        };
        let least = names.iter().map(score).fold(f64::INFINITY, f64::min);
        let most = names.iter().map(score).fold(0.0, f64::max);
        if most < SUSPECT_SCORE || most < least + MIN_SCORE_DISTANCE {
            return Vec::new();
        }
        let near = |name: &&UpstreamName| score(name) > most - MIN_SCORE_DISTANCE / 2.0;
        names.iter().filter(near).cloned().collect()
    }
}
