use std::{collections::BTreeMap, time::Duration};

use clock::Timestamp;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use types::Stage;

use crate::{
    EngineState, LoadView, RoutePolicy, RouteRequest,
    path::{Candidate, candidates, cheapest_chain},
};

/// Uses the route with the smallest estimated time over the whole pipeline.
///
/// For each layer range, two replicas are drawn at random and the better one is used, so that
/// nodes with the same old reports do not all choose the same engine.
#[derive(Debug)]
pub struct Estimate {
    random: SmallRng,
}

impl Estimate {
    /// Creates the policy with a seed for its random draws.
    pub fn new(seed: u64) -> Estimate {
        Estimate { random: SmallRng::seed_from_u64(seed) }
    }

    fn draw<'a, 'b>(
        &mut self,
        replicas: &'b [Candidate<'a>],
        request: &RouteRequest,
    ) -> Option<(&'b Candidate<'a>, Duration)> {
        let first = self.random.random_range(0..replicas.len().max(1));
        let second = self.random.random_range(0..replicas.len().max(1));
        [first, second]
            .into_iter()
            .filter_map(|index| replicas.get(index))
            .map(|candidate| (candidate, estimate(candidate.state, request)))
            .min_by_key(|(_, time)| *time)
    }
}

impl RoutePolicy for Estimate {
    fn choose(
        &mut self,
        view: &LoadView,
        request: &RouteRequest,
        now: Timestamp,
    ) -> Option<Vec<Stage>> {
        let ranges = candidates(view, request, now);
        let mut drawn = BTreeMap::new();
        for (range, replicas) in &ranges {
            if let Some((candidate, time)) = self.draw(replicas, request) {
                drawn.insert(*range, (candidate.stage(), time));
            }
        }
        let costs: Vec<_> =
            drawn.iter().map(|(range, (_, time))| (*range, time.as_micros() as u64)).collect();
        let chain = cheapest_chain(&costs, request.layers)?;
        Some(chain.iter().map(|range| drawn[range].0.clone()).collect())
    }
}

/// Time that a request is expected to spend in one stage.
fn estimate(engine: &EngineState, request: &RouteRequest) -> Duration {
    let Some(report) = &engine.report else { return Duration::MAX };
    let sessions = engine.estimated_sessions();
    let slots = report.slots.max(1);
    let load = 1.0 + f64::from(sessions) / f64::from(slots);
    // Beyond its slots an engine makes sessions wait, so the time grows faster than the load.
    let load = if sessions >= slots { load * load } else { load };
    let decode = report.step * request.output_tokens.max(1);
    let prefill = report.prefill * request.prompt_tokens;
    (decode + prefill).mul_f64(load)
}
