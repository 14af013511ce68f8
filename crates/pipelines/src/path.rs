use std::net::SocketAddr;

use rand::Rng;
use types::{Domain, LayerRange, Stage, UpstreamName, check_coverage};

use crate::{
    latency::PathTimes,
    targets::{PathTargets, TimePrice, choose_within_targets},
};

/// Largest number of stages of a path.
const MAX_STAGES: usize = 32;
/// Cost of a transition between failure domains, in units of the time of a decoding step through
/// the whole model on the fastest accelerators. All requests share the links between domains, and
/// prompts pass through them one after another.
pub(crate) const CROSSING_COST: f64 = 4.0;
/// Weight of the share of an engine's KV cache capacity that is reserved, in the engine's cost.
const FILL_WEIGHT: f64 = 3.0;
/// Largest share by which the cost of a path's engines, but not of its crossings, is increased at
/// random. Nodes with the same catalog would otherwise all choose the same path until they receive
/// each other's load, and the requests that arrive within half a second would fill it.
pub(crate) const JITTER: f64 = 1.0;

/// An engine that can run a stage of a path.
#[derive(Clone, Debug)]
pub struct PathCandidate {
    /// The engine.
    pub name: UpstreamName,
    /// Address of its API.
    pub addr: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Domain,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Factor on the duration of its decoding steps.
    pub step_factor: f64,
    /// KV cache that fits into its memory, in tokens times layers.
    pub kv_capacity: f64,
    /// KV cache that is reserved for the requests in flight, in tokens times
    /// layers.
    pub kv_reserved: f64,
    /// Whether the path may begin with it.
    pub can_be_entry: bool,
    /// Number of requests in flight.
    pub requests: u32,
    /// Prompt tokens of these requests that are not prefilled yet, times layers.
    pub unread: f64,
    /// Factor on the time to prefill prompts.
    pub read_factor: f64,
}

/// Engines that together run the whole model.
#[derive(Clone, Debug)]
pub struct Path {
    /// The engines and the layers that each of them runs, in order.
    pub stages: Vec<Stage>,
    /// Number of transitions between failure domains.
    pub crossings: u32,
    /// Predicted times, if the query states targets.
    pub times: Option<PathTimes>,
}

/// Requirements for a path.
#[derive(Clone, Copy, Debug)]
pub struct PathQuery<'a> {
    /// Number of layers of the model.
    pub layers: u32,
    /// Tokens of KV cache that are reserved for the request on each engine.
    pub tokens: u32,
    /// Largest share of an engine's KV cache capacity that may be reserved.
    pub max_fill: f64,
    /// Whether the path may pass through more than one failure domain.
    pub may_cross: bool,
    /// Factor on the cost of a transition between failure domains; 1 unless the links are slow.
    pub crossing_factor: f64,
    /// Engines that must not be used.
    pub avoid: &'a [UpstreamName],
    /// Latency targets. Paths that are predicted to meet them are preferred to those that are not.
    /// Without targets, only the cost decides.
    pub targets: Option<PathTargets<'a>>,
}

/// The cheapest known path that ends with a given candidate.
#[derive(Clone, Copy)]
struct BestPath {
    cost: f64,
    /// Random factor on the cost of the path's engines. It is drawn once for each first engine.
    factor: f64,
    /// Index of the candidate before the last one, if there is one.
    predecessor: Option<usize>,
    stages: usize,
    /// Predicted times; zero if the query states no targets.
    times: PathTimes,
}

/// Chooses the cheapest path whose engines have room for the request, among those that are
/// predicted to meet the targets of the query if there are any. Returns `None` if there is none.
pub fn choose_path(
    candidates: &[PathCandidate],
    query: &PathQuery<'_>,
    rng: &mut impl Rng,
) -> Option<Path> {
    match &query.targets {
        Some(targets) => choose_within_targets(candidates, query, targets, rng),
        None => find_cheapest(candidates, query, None, rng),
    }
}

/// Finds the cheapest path whose engines have room for the request. With `price`, predicted times
/// add to the cost, and paths that `price` does not admit are left out.
pub(crate) fn find_cheapest(
    candidates: &[PathCandidate],
    query: &PathQuery<'_>,
    price: Option<&TimePrice<'_>>,
    rng: &mut impl Rng,
) -> Option<Path> {
    let search = Search { candidates, query, price, domains: number_domains(candidates) };
    let sorted = search.usable();
    let ends: Vec<u32> = sorted.iter().map(|index| candidates[*index].layers.end).collect();
    let mut best: Vec<Option<BestPath>> = vec![None; candidates.len()];
    for &index in &sorted {
        let candidate = &candidates[index];
        if candidate.layers.start == 0 && candidate.can_be_entry {
            let factor = 1.0 + JITTER * rng.random::<f64>();
            best[index] = search.begin(index, factor);
        }
        // The engines whose paths the candidate can extend, in groups that end at the same layer.
        let first = ends.partition_point(|end| *end < candidate.layers.start);
        let last = ends.partition_point(|end| *end < candidate.layers.end);
        let mut stage = (candidate.layers.end, None);
        for (&predecessor, &start) in sorted[first..last].iter().zip(&ends[first..last]) {
            let Some(shorter) = &best[predecessor] else { continue };
            if stage.0 != start {
                stage = (start, stage_cost(candidate, start, query));
            }
            let Some(added) = stage.1 else { continue };
            let Some((cost, times)) = search.extend(shorter, predecessor, index, start, added)
            else {
                continue;
            };
            if best[index].is_none_or(|other| cost < other.cost) {
                let (factor, stages) = (shorter.factor, shorter.stages + 1);
                let predecessor = Some(predecessor);
                best[index] = Some(BestPath { cost, factor, predecessor, stages, times });
            }
        }
    }
    let last = sorted
        .iter()
        .filter(|index| candidates[**index].layers.end == query.layers)
        .filter_map(|index| best[*index].map(|found| (*index, found.cost)))
        .min_by(|one, other| one.1.total_cmp(&other.1))?
        .0;
    let mut path = collect_path(candidates, &best, last);
    path.times = best[last].filter(|_| price.is_some()).map(|found| found.times);
    let ranges = path.stages.iter().map(|stage| stage.layers);
    // Engines do not check the path, so a gap or an overlap would produce a wrong answer.
    assert_eq!(check_coverage(ranges, query.layers), Ok(()), "path covers the model");
    Some(path)
}

/// A search for the cheapest path.
struct Search<'a> {
    candidates: &'a [PathCandidate],
    query: &'a PathQuery<'a>,
    price: Option<&'a TimePrice<'a>>,
    /// Numbers of the candidates' failure domains.
    domains: Vec<usize>,
}

impl Search<'_> {
    /// Indices of the candidates that may be used, in the order of their last layers.
    fn usable(&self) -> Vec<usize> {
        let mut sorted: Vec<usize> = (0..self.candidates.len())
            .filter(|index| {
                let candidate = &self.candidates[*index];
                !candidate.layers.is_empty()
                    && candidate.layers.end <= self.query.layers
                    && !self.query.avoid.contains(&candidate.name)
                    && self.price.is_none_or(|price| price.admits_engine(*index))
            })
            .collect();
        sorted.sort_by_key(|index| self.candidates[*index].layers.end);
        sorted
    }

    /// The path that consists of the candidate `index` only.
    fn begin(&self, index: usize, factor: f64) -> Option<BestPath> {
        let cost = stage_cost(&self.candidates[index], 0, self.query)?;
        let (times, time_cost) = self.predict(PathTimes::default(), index, 0, false)?;
        let cost = (cost + time_cost) * factor;
        Some(BestPath { cost, factor, predecessor: None, stages: 1, times })
    }

    /// Cost and predicted times of the path `shorter`, which ends with the candidate `predecessor`,
    /// after a further stage that costs `added`, on the candidate `index` from layer `start` on.
    #[inline]
    fn extend(
        &self,
        shorter: &BestPath,
        predecessor: usize,
        index: usize,
        start: u32,
        added: f64,
    ) -> Option<(f64, PathTimes)> {
        let crosses = self.domains[predecessor] != self.domains[index];
        if shorter.stages == MAX_STAGES || (crosses && !self.query.may_cross) {
            return None;
        }
        let (times, time_cost) = self.predict(shorter.times, index, start, crosses)?;
        let crossing = if crosses { CROSSING_COST * self.query.crossing_factor } else { 0.0 };
        Some((shorter.cost + (added + time_cost) * shorter.factor + crossing, times))
    }

    /// Predicted times of a path with `times` after a further stage on the candidate `index` from
    /// layer `start` on, and what they cost. `None` if the path is not admitted.
    #[inline]
    fn predict(
        &self,
        times: PathTimes,
        index: usize,
        start: u32,
        crosses: bool,
    ) -> Option<(PathTimes, f64)> {
        let Some(price) = self.price else { return Some((times, 0.0)) };
        let layers = self.candidates[index].layers.end - start;
        let share = f64::from(layers) / f64::from(self.query.layers);
        price.extend(times, index, share, crosses)
    }
}

/// Cost of running the layers from `start` to the end of the candidate's range, or `None` if the
/// candidate has no room for the request.
pub(crate) fn stage_cost(
    candidate: &PathCandidate,
    start: u32,
    query: &PathQuery<'_>,
) -> Option<f64> {
    let layers = f64::from(candidate.layers.end - start);
    let reserved = candidate.kv_reserved + layers * f64::from(query.tokens);
    if candidate.kv_capacity <= 0.0 || reserved > candidate.kv_capacity * query.max_fill {
        return None;
    }
    let filled = reserved / candidate.kv_capacity;
    let share = layers / f64::from(query.layers);
    Some(share * candidate.step_factor * (1.0 + FILL_WEIGHT * filled * filled))
}

/// Numbers the failure domains of the candidates, since names are slow to compare.
fn number_domains(candidates: &[PathCandidate]) -> Vec<usize> {
    let mut known: Vec<&Domain> = Vec::new();
    let mut numbers = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let number = known.iter().position(|domain| **domain == candidate.domain);
        numbers.push(number.unwrap_or(known.len()));
        if number.is_none() {
            known.push(&candidate.domain);
        }
    }
    numbers
}

/// Follows the links of `best` back from the candidate `last` to the first one.
fn collect_path(candidates: &[PathCandidate], best: &[Option<BestPath>], last: usize) -> Path {
    let mut stages = Vec::new();
    let mut crossings = 0;
    let mut next = Some(last);
    while let Some(index) = next {
        let candidate = &candidates[index];
        next = best[index].and_then(|found| found.predecessor);
        let previous = next.map(|predecessor| &candidates[predecessor]);
        crossings +=
            u32::from(previous.is_some_and(|predecessor| predecessor.domain != candidate.domain));
        let start = previous.map_or(0, |predecessor| predecessor.layers.end);
        let layers = LayerRange { start, end: candidate.layers.end };
        stages.push(Stage { engine: candidate.name.clone(), addr: candidate.addr, layers });
    }
    stages.reverse();
    Path { stages, crossings, times: None }
}
