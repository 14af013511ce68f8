use std::{collections::BTreeMap, time::Duration};

use clock::Timestamp;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use types::{LayerRange, Stage};

use crate::{
    EngineState, LoadView, RoutePolicy, RouteRequest,
    path::{Candidate, candidates},
};

/// Replicas of a layer range that are compared. It bounds the work for one choice.
const MAX_SAMPLE: usize = 8;
/// Growth of an engine's step with each session that it has, relative to a step with one.
const SESSION_COST: f64 = 0.25;
/// Largest random change of an engine's estimate. It keeps nodes with the same reports from
/// choosing the same engine.
const JITTER: f64 = 0.2;

/// Uses the route with the smallest estimated time over the whole pipeline.
///
/// The time of a route is that of its stages (steps at the estimated load, and the prefill that
/// the prefix cache does not save) and of the links that each token passes.
#[derive(Debug)]
pub struct LowestLatency {
    random: SmallRng,
    /// Whether the node's own counts are used beside the engines' reports.
    own_counts: bool,
}

/// A replica of a layer range with its estimated time.
struct Choice<'a> {
    candidate: &'a Candidate<'a>,
    seconds: f64,
}

/// The best known way to a layer: its time and its replicas.
type Way<'a> = (f64, Vec<&'a Candidate<'a>>);

impl LowestLatency {
    /// Creates the policy with a seed for its random draws.
    pub fn new(seed: u64) -> LowestLatency {
        LowestLatency { random: SmallRng::seed_from_u64(seed), own_counts: true }
    }

    /// Creates a baseline for measurements that knows only the engines' reports.
    pub fn by_reports(seed: u64) -> LowestLatency {
        LowestLatency { own_counts: false, ..LowestLatency::new(seed) }
    }

    fn draw<'a>(
        &mut self,
        replicas: &'a [Candidate<'a>],
        view: &LoadView,
        request: &RouteRequest,
        now: Timestamp,
    ) -> Vec<Choice<'a>> {
        let mut order: Vec<_> = replicas.iter().collect();
        order.shuffle(&mut self.random);
        order.truncate(MAX_SAMPLE);
        let mut choose = |candidate: &'a Candidate<'a>| {
            let jitter = 1.0 + self.random.random_range(0.0..JITTER);
            let time = stage_time(view, candidate, request, now, self.own_counts);
            Choice { candidate, seconds: time.as_secs_f64() * jitter }
        };
        order.into_iter().map(&mut choose).collect()
    }
}

impl RoutePolicy for LowestLatency {
    fn choose(
        &mut self,
        view: &LoadView,
        request: &RouteRequest,
        now: Timestamp,
    ) -> Option<Vec<Stage>> {
        let ranges = candidates(view, request, now);
        let mut drawn = BTreeMap::new();
        for (range, replicas) in &ranges {
            drawn.insert(*range, self.draw(replicas, view, request, now));
        }
        let heads = drawn.iter().filter(|(range, _)| range.start == 0);
        let heads: Vec<_> =
            heads.flat_map(|(range, choices)| choices.iter().map(|head| (*range, head))).collect();
        let ways = heads
            .into_iter()
            .filter_map(|(range, head)| shortest_from(view, request, &drawn, range, head));
        let (_, best) = ways.min_by(|one, other| one.0.total_cmp(&other.0))?;
        Some(best.into_iter().map(Candidate::stage).collect())
    }
}

/// The shortest way over all layers that starts at `head`, the link back to it included.
fn shortest_from<'a>(
    view: &LoadView,
    request: &RouteRequest,
    drawn: &BTreeMap<LayerRange, Vec<Choice<'a>>>,
    range: LayerRange,
    head: &Choice<'a>,
) -> Option<Way<'a>> {
    let tokens = f64::from(request.output_tokens.max(1));
    let link = |one: &Candidate, other: &Candidate| {
        view.links.cost(&one.state.domain, &other.state.domain).as_secs_f64() * tokens
    };
    // Ways that end before a layer. Ranges are sorted by their start, so all ways to a layer are
    // known when a range that starts there is added.
    let mut ways: BTreeMap<u32, Vec<Way<'a>>> = BTreeMap::new();
    ways.entry(range.end).or_default().push((head.seconds, vec![head.candidate]));
    for (range, choices) in drawn.iter().filter(|(range, _)| range.start > 0) {
        let Some(before) = ways.get(&range.start).cloned() else { continue };
        for choice in choices {
            let extended = before.iter().filter_map(|(seconds, chain)| {
                let last = chain.last()?;
                Some((seconds + choice.seconds + link(last, choice.candidate), chain))
            });
            let best = extended.min_by(|one, other| one.0.total_cmp(&other.0));
            let Some((seconds, chain)) = best else { continue };
            let mut chain = chain.clone();
            chain.push(choice.candidate);
            ways.entry(range.end).or_default().push((seconds, chain));
        }
    }
    let whole = ways.remove(&request.layers)?.into_iter().filter_map(|(seconds, chain)| {
        let back = if chain.len() > 1 { link(chain.last()?, head.candidate) } else { 0.0 };
        Some((seconds + back, chain))
    });
    whole.min_by(|one, other| one.0.total_cmp(&other.0))
}

/// Time that a request is expected to spend in one stage.
fn stage_time(
    view: &LoadView,
    candidate: &Candidate,
    request: &RouteRequest,
    now: Timestamp,
    own_counts: bool,
) -> Duration {
    let engine = candidate.state;
    let Some(report) = &engine.report else { return Duration::MAX };
    let sessions = if own_counts { engine.estimated_sessions() } else { report.running };
    let cached = view.prefixes.cached_blocks(&request.prefixes, candidate.name, now) as u32;
    let saved = (cached * request.block_tokens).min(request.prompt_tokens);
    let prefill = report.prefill * (request.prompt_tokens - saved);
    let step = step_time(engine, sessions).mul_f64(view.links.engine_factor());
    prefill + step * request.output_tokens.max(1) + engine.round_trip / 2
}

/// Time of one step of an engine with `sessions` other sessions.
fn step_time(engine: &EngineState, sessions: u32) -> Duration {
    let Some(report) = &engine.report else { return Duration::ZERO };
    report.step.mul_f64(1.0 + SESSION_COST * f64::from(sessions))
}

impl LoadView {
    /// Takes in the mean token interval of an attempt on a route.
    pub fn observe_interval(&mut self, route: &[Stage], interval: Duration) {
        let engines: Vec<_> =
            route.iter().filter_map(|stage| self.engines.get(&stage.engine)).collect();
        if engines.len() < route.len() {
            return;
        }
        let estimated =
            engines.iter().map(|engine| step_time(engine, engine.estimated_sessions())).sum();
        let domains: Vec<_> = engines.iter().map(|engine| engine.domain.clone()).collect();
        self.links.observe(&domains, estimated, interval);
    }
}
