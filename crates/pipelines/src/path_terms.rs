//! What the cost of a path consists of, for explanations.

use std::cmp::Ordering;

use rand::RngCore;

use crate::{
    Path, PathCandidate, PathQuery, choose_path,
    path::{CROSSING_COST, JITTER, stage_cost},
};

/// A path with the terms of its cost, without the random part.
#[derive(Clone, Debug)]
pub struct CostedPath {
    /// The path.
    pub path: Path,
    /// Cost of the decoding steps on empty engines.
    pub decoding: f64,
    /// What the load of its engines adds to that.
    pub load: f64,
    /// Cost of the transitions between failure domains.
    pub crossing: f64,
    /// Cost of the predicted time until the first event; 0 without targets that it meets.
    pub time: f64,
    /// Position in the order of preference by the latency targets. Cost decides among equals.
    preference: usize,
}

impl CostedPath {
    /// The whole cost.
    pub fn cost(&self) -> f64 {
        self.decoding + self.load + self.time + self.crossing
    }

    /// The most that the cost may be with the random part.
    fn max_cost(&self) -> f64 {
        (self.decoding + self.load + self.time) * (1.0 + JITTER) + self.crossing
    }

    /// Whether the path may be chosen among `paths`, given the random part of the costs.
    pub fn is_eligible(&self, paths: &[CostedPath]) -> bool {
        paths.iter().all(|other| match self.preference.cmp(&other.preference) {
            Ordering::Less => true,
            Ordering::Equal => self.cost() <= other.max_cost(),
            Ordering::Greater => false,
        })
    }
}

/// For each engine that a path may begin with, the path that is chosen from there: those that are
/// preferred for the latency targets first, and among equals the cheapest.
pub fn costed_paths(candidates: &[PathCandidate], query: &PathQuery<'_>) -> Vec<CostedPath> {
    let mut candidates = candidates.to_vec();
    let entries: Vec<bool> = candidates.iter().map(|candidate| candidate.can_be_entry).collect();
    candidates.iter_mut().for_each(|candidate| candidate.can_be_entry = false);
    let mut paths = Vec::new();
    for (index, _) in entries.iter().enumerate().filter(|(_, can_be_entry)| **can_be_entry) {
        if candidates[index].layers.start > 0 {
            continue;
        }
        candidates[index].can_be_entry = true;
        let path = choose_path(&candidates, query, &mut NoJitter);
        paths.extend(path.map(|path| cost_path(path, &candidates, query)));
        candidates[index].can_be_entry = false;
    }
    paths.sort_by(|one, other| {
        let by_targets = one.preference.cmp(&other.preference);
        by_targets.then_with(|| one.cost().total_cmp(&other.cost()))
    });
    paths
}

fn cost_path(path: Path, candidates: &[PathCandidate], query: &PathQuery<'_>) -> CostedPath {
    let times = path.times.as_ref();
    let targets = query.targets.as_ref();
    let mut costed = CostedPath {
        crossing: f64::from(path.crossings) * CROSSING_COST * query.crossing_factor,
        time: targets
            .zip(times)
            .map_or(0.0, |(targets, times)| targets.time_cost(times.first_event_ms())),
        preference: targets.map_or(0, |targets| targets.preference(times)),
        decoding: 0.0,
        load: 0.0,
        path,
    };
    for stage in &costed.path.stages {
        let engine = candidates.iter().find(|candidate| candidate.name == stage.engine);
        let Some(engine) = engine else { continue };
        let share = f64::from(stage.layers.len()) / f64::from(query.layers);
        let decoding = share * engine.step_factor;
        let cost = stage_cost(engine, stage.layers.start, query).unwrap_or(decoding);
        costed.decoding += decoding;
        costed.load += cost - decoding;
    }
    costed
}

/// The first reason for which no path goes through an engine.
pub fn reason_against(candidate: &PathCandidate, query: &PathQuery<'_>) -> &'static str {
    if candidate.layers.is_empty() {
        return "it holds no layers";
    }
    if candidate.layers.end > query.layers {
        return "its layers are not those of the model";
    }
    if query.avoid.contains(&candidate.name) {
        return "an earlier attempt failed there";
    }
    if stage_cost(candidate, candidate.layers.start, query).is_none() {
        return "its KV cache has no room";
    }
    if candidate.layers.start == 0 && !candidate.can_be_entry {
        return "it takes no more requests that begin with it";
    }
    if query.targets.is_some_and(|targets| targets.is_too_slow(candidate)) {
        return "events through it would be late with one more request";
    }
    "no path goes through it, or all of them cost more"
}

/// Source of zeros: the random part of all costs is left out.
struct NoJitter;

impl RngCore for NoJitter {
    fn next_u32(&mut self) -> u32 {
        0
    }

    fn next_u64(&mut self) -> u64 {
        0
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        bytes.fill(0);
    }
}
