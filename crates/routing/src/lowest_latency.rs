use std::{collections::BTreeMap, time::Duration};

use clock::Timestamp;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use types::{LayerRange, Stage};

use crate::{
    EngineState, LoadView, RoutePolicy, RouteRequest,
    candidates::{Candidate, candidates},
};

/// Largest number of replicas of a layer range that are compared. It bounds the work for one
/// choice.
const MAX_SAMPLE: usize = 8;
/// Increase of an engine's step time with each other session on it, relative to the step time with
/// one session.
const SESSION_COST: f64 = 0.25;
/// Largest random increase of the estimated time of an engine, as a share of it. It keeps nodes
/// with the same reports from all choosing the same engine.
const JITTER: f64 = 0.2;

/// Chooses the route with the smallest estimated time for the whole request.
///
/// The time of a route is the sum of the times of its stages (the decoding steps at the estimated
/// load, and the part of the prefill that is not cached) and of the links that each token passes
/// over.
#[derive(Debug)]
pub struct LowestLatency {
    rng: SmallRng,
    /// Whether the node's counts of its own requests are used in addition to the engines' reports.
    own_counts: bool,
}

/// A replica of a layer range and its estimated time.
struct EstimatedReplica<'a> {
    candidate: &'a Candidate<'a>,
    seconds: f64,
}

/// A route for the layers from 0 up to some layer: its time in seconds and its replicas.
type PartialRoute<'a> = (f64, Vec<&'a Candidate<'a>>);

impl LowestLatency {
    /// Creates the policy with a seed for its random numbers.
    pub fn new(seed: u64) -> LowestLatency {
        LowestLatency { rng: SmallRng::seed_from_u64(seed), own_counts: true }
    }

    /// Creates a variant that uses only the engines' reports, as a baseline for measurements.
    pub fn by_reports(seed: u64) -> LowestLatency {
        LowestLatency { own_counts: false, ..LowestLatency::new(seed) }
    }

    /// Chooses at most [`MAX_SAMPLE`] of the replicas at random and estimates their times.
    fn sample_replicas<'a>(
        &mut self,
        replicas: &'a [Candidate<'a>],
        view: &LoadView,
        request: &RouteRequest,
        now: Timestamp,
    ) -> Vec<EstimatedReplica<'a>> {
        let mut shuffled: Vec<_> = replicas.iter().collect();
        shuffled.shuffle(&mut self.rng);
        shuffled.truncate(MAX_SAMPLE);
        let mut estimate = |candidate: &'a Candidate<'a>| {
            let jitter = 1.0 + self.rng.random_range(0.0..JITTER);
            let time = stage_time(view, candidate, request, now, self.own_counts);
            EstimatedReplica { candidate, seconds: time.as_secs_f64() * jitter }
        };
        shuffled.into_iter().map(&mut estimate).collect()
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
        let mut sampled = BTreeMap::new();
        for (range, replicas) in &ranges {
            sampled.insert(*range, self.sample_replicas(replicas, view, request, now));
        }
        let first_replicas = sampled.iter().filter(|(range, _)| range.start == 0);
        let first_replicas: Vec<_> = first_replicas
            .flat_map(|(range, estimates)| estimates.iter().map(|first| (*range, first)))
            .collect();
        let routes = first_replicas
            .into_iter()
            .filter_map(|(range, first)| fastest_route_from(view, request, &sampled, range, first));
        let (_, best) = routes.min_by(|one, other| one.0.total_cmp(&other.0))?;
        Some(best.into_iter().map(Candidate::stage).collect())
    }
}

/// The fastest route for all layers that starts at `first`, including the link from its last stage
/// back to `first`.
fn fastest_route_from<'a>(
    view: &LoadView,
    request: &RouteRequest,
    sampled: &BTreeMap<LayerRange, Vec<EstimatedReplica<'a>>>,
    range: LayerRange,
    first: &EstimatedReplica<'a>,
) -> Option<PartialRoute<'a>> {
    let tokens = f64::from(request.output_tokens.max(1));
    let link = |one: &Candidate, other: &Candidate| {
        view.links.cost(&one.state.domain, &other.state.domain).as_secs_f64() * tokens
    };
    // Partial routes by the layer that follows them. The ranges are sorted by their start, so all
    // partial routes up to a layer are known when a range that starts there is added.
    let mut partial_routes: BTreeMap<u32, Vec<PartialRoute<'a>>> = BTreeMap::new();
    partial_routes.entry(range.end).or_default().push((first.seconds, vec![first.candidate]));
    for (range, estimates) in sampled.iter().filter(|(range, _)| range.start > 0) {
        let Some(shorter) = partial_routes.get(&range.start).cloned() else { continue };
        for replica in estimates {
            let extended = shorter.iter().filter_map(|(seconds, chain)| {
                let last = chain.last()?;
                Some((seconds + replica.seconds + link(last, replica.candidate), chain))
            });
            let best = extended.min_by(|one, other| one.0.total_cmp(&other.0));
            let Some((seconds, chain)) = best else { continue };
            let mut chain = chain.clone();
            chain.push(replica.candidate);
            partial_routes.entry(range.end).or_default().push((seconds, chain));
        }
    }
    let complete =
        partial_routes.remove(&request.layers)?.into_iter().filter_map(|(seconds, chain)| {
            let return_link =
                if chain.len() > 1 { link(chain.last()?, first.candidate) } else { 0.0 };
            Some((seconds + return_link, chain))
        });
    complete.min_by(|one, other| one.0.total_cmp(&other.0))
}

/// Estimated time that a request spends in one stage.
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

/// Time of one decoding step of a request on an engine, if each of `sessions` sessions delays it.
/// For a request that is not running yet, these are the other sessions on the engine. A count of
/// all sessions, as in [`LoadView::observe_interval`], may include the request itself.
fn step_time(engine: &EngineState, sessions: u32) -> Duration {
    let Some(report) = &engine.report else { return Duration::ZERO };
    report.step.mul_f64(1.0 + SESSION_COST * f64::from(sessions))
}

impl LoadView {
    /// Learns the costs of links from the mean token interval of an attempt on a route.
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
