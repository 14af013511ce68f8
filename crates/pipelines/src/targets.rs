//! Chooses paths that are predicted to meet the latency targets of a route.

use catalog::LatencyModel;
use rand::Rng;

use crate::{
    latency::{EngineTimes, EngineWork, PathTimes},
    path::{Path, PathCandidate, PathQuery, find_cheapest},
};

/// Share of a target that the predicted times of a path may take. The rest is for the network, and
/// for requests of other nodes that this node does not know of yet.
const TARGET_SHARE: f64 = 0.8;
/// Cost of a predicted time to the first event that is as long as its target, in the unit of the
/// cost of paths. With this term, prompts do not wait behind others while another path is free.
const FIRST_EVENT_COST: f64 = 16.0;
/// Cost of a predicted time that is as long as its target, while no path meets all targets. It
/// outweighs the other costs, so that the path is chosen that exceeds its targets the least.
const LATE_COST: f64 = 64.0;

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
    /// Whether a path with these predicted times meets the targets.
    pub fn are_met(&self, times: &PathTimes) -> bool {
        times.event_ms <= self.gap_ms * TARGET_SHARE
            && times.first_event_ms() <= self.first_event_ms * TARGET_SHARE
    }
}

/// The costs of predicted times in a search for paths.
pub(crate) struct TimePrice<'a> {
    targets: &'a PathTargets<'a>,
    /// Times of each candidate.
    engines: &'a [EngineTimes],
    /// Whether only paths that meet the targets are admitted.
    is_strict: bool,
}

impl TimePrice<'_> {
    /// Whether the search may use a candidate. An engine that decodes so slowly with one more
    /// request that streams through such engines miss their targets takes none.
    pub(crate) fn admits_engine(&self, candidate: usize) -> bool {
        let limit = self.targets.gap_ms * TARGET_SHARE;
        !self.is_strict || self.engines[candidate].decode_ms <= limit
    }

    /// Predicts the times of a path with `times` after a further stage, on a candidate that runs
    /// `share` of the layers. Returns them and the cost that they add; `None` if the path is not
    /// admitted.
    pub(crate) fn extend(
        &self,
        times: PathTimes,
        candidate: usize,
        share: f64,
        crosses: bool,
    ) -> Option<(PathTimes, f64)> {
        let targets = self.targets;
        let next = times.then(targets.model, &self.engines[candidate], share, crosses);
        let first = (next.first_event_ms() - times.first_event_ms()) / targets.first_event_ms;
        if self.is_strict {
            return targets.are_met(&next).then_some((next, first * FIRST_EVENT_COST));
        }
        let event = (next.event_ms - times.event_ms) / targets.gap_ms;
        Some((next, (first + event) * LATE_COST))
    }
}

/// Chooses the cheapest path that is predicted to meet the targets. If the search finds none,
/// chooses the one that exceeds them the least.
pub(crate) fn choose_within_targets(
    candidates: &[PathCandidate],
    query: &PathQuery<'_>,
    targets: &PathTargets<'_>,
    rng: &mut impl Rng,
) -> Option<Path> {
    let predict = |candidate| predict_engine(candidate, targets);
    let engines: Vec<EngineTimes> = candidates.iter().map(predict).collect();
    let strict = TimePrice { targets, engines: &engines, is_strict: true };
    find_cheapest(candidates, query, Some(&strict), rng).or_else(|| {
        let lenient = TimePrice { is_strict: false, ..strict };
        find_cheapest(candidates, query, Some(&lenient), rng)
    })
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
