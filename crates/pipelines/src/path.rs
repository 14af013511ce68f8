use std::net::SocketAddr;

use rand::Rng;
use types::{Domain, LayerRange, Stage, UpstreamName, check_coverage};

/// Parts that a path may have.
const MAX_STAGES: usize = 32;
/// Cost of a step from one failure domain to another, in units of a whole model's step on the
/// fastest accelerators. Prompts cross a pipe that all requests share, one after another.
const CROSSING_COST: f64 = 4.0;
/// Weight of the share of memory in use in the cost of an engine.
const FILL_WEIGHT: f64 = 3.0;
/// Largest share by which the cost of a path is raised at random. Nodes with the same catalog must not
/// all choose the same path before they hear of each other: all requests of half a second fill it.
const JITTER: f64 = 1.0;

/// An engine that can run a part of a path.
#[derive(Clone, Debug)]
pub struct PathCandidate {
    /// The engine.
    pub name: UpstreamName,
    /// Address of its API.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Factor on the time of its steps.
    pub step_factor: f64,
    /// Tokens times layers that fit into its memory.
    pub kv_capacity: f64,
    /// Tokens times layers that requests in flight may come to hold.
    pub kv_used: f64,
    /// Whether it can take one more request that enters through it.
    pub has_slot: bool,
}

/// Engines that together run the whole model.
#[derive(Clone, Debug)]
pub struct Path {
    /// The engines and the layers that each of them runs, in order.
    pub stages: Vec<Stage>,
    /// Steps from one failure domain to another.
    pub crossings: u32,
}

/// What a path is needed for.
#[derive(Clone, Copy, Debug)]
pub struct PathQuery<'a> {
    /// Number of layers of the model.
    pub layers: u32,
    /// Tokens that the request may come to hold.
    pub tokens: u32,
    /// Share of an engine's memory that requests may fill.
    pub max_fill: f64,
    /// Whether it may lead from one failure domain to another.
    pub may_cross: bool,
    /// Engines that are not to be used.
    pub avoid: &'a [UpstreamName],
}

#[derive(Clone, Copy)]
struct Best {
    cost: f64,
    /// Random factor on the cost of the path's engines, by its first one.
    factor: f64,
    before: Option<usize>,
    stages: usize,
}

/// Chooses the cheapest path whose engines have room, or `None` if there is none.
pub fn choose_path(
    candidates: &[PathCandidate],
    query: &PathQuery<'_>,
    rng: &mut impl Rng,
) -> Option<Path> {
    let mut order: Vec<usize> = (0..candidates.len())
        .filter(|index| {
            let candidate = &candidates[*index];
            !candidate.layers.is_empty()
                && candidate.layers.end <= query.layers
                && !query.avoid.contains(&candidate.name)
        })
        .collect();
    order.sort_by_key(|index| candidates[*index].layers.end);
    let mut best: Vec<Option<Best>> = vec![None; candidates.len()];
    for (place, &index) in order.iter().enumerate() {
        let candidate = &candidates[index];
        if candidate.layers.start == 0 && candidate.has_slot {
            let factor = 1.0 + JITTER * rng.random::<f64>();
            best[index] = stage_cost(candidate, 0, query).map(|cost| Best {
                cost: cost * factor,
                factor,
                before: None,
                stages: 1,
            });
        }
        for &before in &order[..place] {
            let previous = &candidates[before];
            let Some(known) = best[before] else { continue };
            let joins = previous.layers.end >= candidate.layers.start
                && previous.layers.end < candidate.layers.end;
            let crosses = previous.domain != candidate.domain;
            if !joins || known.stages == MAX_STAGES || (crosses && !query.may_cross) {
                continue;
            }
            let Some(part) = stage_cost(candidate, previous.layers.end, query) else { continue };
            let crossing = if crosses { CROSSING_COST } else { 0.0 };
            let cost = known.cost + part * known.factor + crossing;
            if best[index].is_none_or(|other| cost < other.cost) {
                let (factor, stages) = (known.factor, known.stages + 1);
                best[index] = Some(Best { cost, factor, before: Some(before), stages });
            }
        }
    }
    let last = order
        .iter()
        .filter(|index| candidates[**index].layers.end == query.layers)
        .filter_map(|index| best[*index].map(|found| (*index, found.cost)))
        .min_by(|one, other| one.1.total_cmp(&other.1))?
        .0;
    let path = collect_path(candidates, &best, last);
    let ranges = path.stages.iter().map(|stage| stage.layers);
    // Engines do not check the path, so a gap or an overlap would give a wrong answer.
    assert_eq!(check_coverage(ranges, query.layers), Ok(()), "path covers the model");
    Some(path)
}

/// Cost of running the layers from `start` to the end of the candidate's range, if it has room.
fn stage_cost(candidate: &PathCandidate, start: u32, query: &PathQuery<'_>) -> Option<f64> {
    let layers = f64::from(candidate.layers.end - start);
    let used = candidate.kv_used + layers * f64::from(query.tokens);
    if candidate.kv_capacity <= 0.0 || used > candidate.kv_capacity * query.max_fill {
        return None;
    }
    let filled = used / candidate.kv_capacity;
    let share = layers / f64::from(query.layers);
    Some(share * candidate.step_factor * (1.0 + FILL_WEIGHT * filled * filled))
}

fn collect_path(candidates: &[PathCandidate], best: &[Option<Best>], last: usize) -> Path {
    let mut stages = Vec::new();
    let mut crossings = 0;
    let mut next = Some(last);
    while let Some(index) = next {
        let candidate = &candidates[index];
        next = best[index].and_then(|found| found.before);
        let previous = next.map(|before| &candidates[before]);
        crossings += u32::from(previous.is_some_and(|before| before.domain != candidate.domain));
        let start = previous.map_or(0, |before| before.layers.end);
        let layers = LayerRange { start, end: candidate.layers.end };
        stages.push(Stage { engine: candidate.name.clone(), addr: candidate.addr, layers });
    }
    stages.reverse();
    Path { stages, crossings }
}
