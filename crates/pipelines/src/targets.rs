//! Chooses paths that are predicted to meet the latency targets of a route.

use catalog::LatencyModel;
use rand::Rng;

use crate::{
    latency::{EngineTimes, EngineWork, PathTimes},
    path::{Path, PathCandidate, PathQuery, find_cheapest},
};

/// Share of a target that the predicted times of a path should take. The rest is for the network,
/// and for requests of other nodes that this node does not know of yet.
const TARGET_SHARE: f64 = 0.7;
/// Shares of the targets up to which predicted times are admitted, in the order of the searches.
const TARGET_SHARES: [f64; 2] = [TARGET_SHARE, 1.0];
/// Cost of a predicted time that is as long as its target, in the unit of the cost of paths. It
/// makes a wait of a twentieth of the target for the first event about as costly as the difference
/// between a full engine and an empty one, so that prompts do not wait behind others while another
/// path is free.
const TIME_COST: f64 = 64.0;

/// Latency targets of a request.
#[derive(Clone, Copy, Debug)]
pub struct PathTargets<'a> {
    /// Times of the engines.
    pub model: &'a LatencyModel,
    /// Number of prompt tokens of the request.
    pub prompt: f64,
    /// Longest time between two events, in milliseconds; above zero, infinite if there is no limit.
    pub gap_ms: f64,
    /// Longest time until the first event, in milliseconds; above zero.
    pub first_event_ms: f64,
}

impl PathTargets<'_> {
    /// Whether a path with these predicted times meets `share` of the targets.
    pub fn are_met(&self, times: &PathTimes, share: f64) -> bool {
        times.event_ms <= self.gap_ms * share
            && times.first_event_ms() <= self.first_event_ms * share
    }

    /// Position of a path with these predicted times in the order of preference: 0 if it meets the
    /// targets with a margin, 1 if it meets them, 2 if it does not or has no predicted times.
    pub(crate) fn preference(&self, times: Option<&PathTimes>) -> usize {
        let is_met = |share: &f64| times.is_some_and(|times| self.are_met(times, *share));
        TARGET_SHARES.iter().position(is_met).unwrap_or(TARGET_SHARES.len())
    }

    /// Whether streams through an engine are predicted to miss the target for gaps with one more
    /// request on it.
    pub(crate) fn is_too_slow(&self, candidate: &PathCandidate) -> bool {
        predict_engine(candidate, self).decode_ms > self.gap_ms
    }

    /// Cost of a part of the predicted time until the first event.
    pub(crate) fn time_cost(&self, time_ms: f64) -> f64 {
        TIME_COST * time_ms / self.first_event_ms
    }
}

/// The costs of predicted times in a search for paths.
pub(crate) struct TimePrice<'a> {
    targets: &'a PathTargets<'a>,
    /// Times of each candidate.
    engines: &'a [EngineTimes],
    /// Share of the targets that the predicted times of an admitted path may take.
    share: f64,
}

impl TimePrice<'_> {
    /// Whether the search may use a candidate. An engine that decodes so slowly with one more
    /// request that streams through such engines miss their targets takes none.
    pub(crate) fn admits_engine(&self, candidate: usize) -> bool {
        self.engines[candidate].decode_ms <= self.targets.gap_ms * self.share
    }

    /// Predicts the times of a path with `times` after a further stage, on a candidate that runs
    /// `share` of the layers. Returns them and the cost that they add; `None` if the path is not
    /// admitted.
    #[inline]
    pub(crate) fn extend(
        &self,
        times: PathTimes,
        candidate: usize,
        share: f64,
        crosses: bool,
    ) -> Option<(PathTimes, f64)> {
        let targets = self.targets;
        let next =
            times.then(targets.model, &self.engines[candidate], share, targets.prompt, crosses);
        let added = next.first_event_ms() - times.first_event_ms();
        targets.are_met(&next, self.share).then(|| (next, targets.time_cost(added)))
    }
}

/// Chooses the cheapest path that is predicted to meet the targets, with a margin if there is one.
/// A request that is late on every path takes the cheapest one, as without targets: spread over the
/// paths with the least delay, such requests would make others late there.
pub(crate) fn choose_within_targets(
    candidates: &[PathCandidate],
    query: &PathQuery<'_>,
    targets: &PathTargets<'_>,
    rng: &mut impl Rng,
) -> Option<Path> {
    let predict = |candidate| predict_engine(candidate, targets);
    let engines: Vec<EngineTimes> = candidates.iter().map(predict).collect();
    for share in TARGET_SHARES {
        let price = TimePrice { targets, engines: &engines, share };
        if let Some(path) = find_cheapest(candidates, query, Some(&price), rng) {
            return Some(path);
        }
    }
    find_cheapest(candidates, query, None, rng)
}

fn predict_engine(candidate: &PathCandidate, targets: &PathTargets<'_>) -> EngineTimes {
    let held = f64::from(candidate.layers.len().max(1));
    let work = EngineWork {
        step_factor: candidate.step_factor,
        read_factor: candidate.read_factor,
        requests: f64::from(candidate.requests),
        context: candidate.kv_reserved / held,
        unread: candidate.unread / held,
    };
    EngineTimes::predict(targets.model, &work, targets.prompt)
}
