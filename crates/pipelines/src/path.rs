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
pub struct Holder {
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
    pub room: f64,
    /// Tokens times layers that requests in flight may come to hold.
    pub used: f64,
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
    pub fill: f64,
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
pub fn choose_path(holders: &[Holder], query: &PathQuery<'_>, rng: &mut impl Rng) -> Option<Path> {
    let mut order: Vec<usize> = (0..holders.len())
        .filter(|index| {
            let holder = &holders[*index];
            !holder.layers.is_empty()
                && holder.layers.end <= query.layers
                && !query.avoid.contains(&holder.name)
        })
        .collect();
    order.sort_by_key(|index| holders[*index].layers.end);
    let mut best: Vec<Option<Best>> = vec![None; holders.len()];
    for (place, &index) in order.iter().enumerate() {
        let holder = &holders[index];
        if holder.layers.start == 0 && holder.has_slot {
            let factor = 1.0 + JITTER * rng.random::<f64>();
            best[index] = stage_cost(holder, 0, query).map(|cost| Best {
                cost: cost * factor,
                factor,
                before: None,
                stages: 1,
            });
        }
        for &before in &order[..place] {
            let previous = &holders[before];
            let Some(known) = best[before] else { continue };
            let joins = previous.layers.end >= holder.layers.start
                && previous.layers.end < holder.layers.end;
            let crosses = previous.domain != holder.domain;
            if !joins || known.stages == MAX_STAGES || (crosses && !query.may_cross) {
                continue;
            }
            let Some(part) = stage_cost(holder, previous.layers.end, query) else { continue };
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
        .filter(|index| holders[**index].layers.end == query.layers)
        .filter_map(|index| best[*index].map(|found| (*index, found.cost)))
        .min_by(|one, other| one.1.total_cmp(&other.1))?
        .0;
    let path = collect_path(holders, &best, last);
    let ranges = path.stages.iter().map(|stage| stage.layers);
    // Engines do not check the path, so a gap or an overlap would give a wrong answer.
    assert_eq!(check_coverage(ranges, query.layers), Ok(()), "path covers the model");
    Some(path)
}

/// Cost of running the layers from `start` to the end of the holder's range, if it has room.
fn stage_cost(holder: &Holder, start: u32, query: &PathQuery<'_>) -> Option<f64> {
    let layers = f64::from(holder.layers.end - start);
    let used = holder.used + layers * f64::from(query.tokens);
    if holder.room <= 0.0 || used > holder.room * query.fill {
        return None;
    }
    let filled = used / holder.room;
    let share = layers / f64::from(query.layers);
    Some(share * holder.step_factor * (1.0 + FILL_WEIGHT * filled * filled))
}

fn collect_path(holders: &[Holder], best: &[Option<Best>], last: usize) -> Path {
    let mut stages = Vec::new();
    let mut crossings = 0;
    let mut next = Some(last);
    while let Some(index) = next {
        let holder = &holders[index];
        next = best[index].and_then(|found| found.before);
        let previous = next.map(|before| &holders[before]);
        crossings += u32::from(previous.is_some_and(|before| before.domain != holder.domain));
        let start = previous.map_or(0, |before| before.layers.end);
        let layers = LayerRange { start, end: holder.layers.end };
        stages.push(Stage { engine: holder.name.clone(), addr: holder.addr, layers });
    }
    stages.reverse();
    Path { stages, crossings }
}
