//! Replays arrivals of prompts on engines that prefill them in the order of their choice. Several
//! nodes choose the paths; each learns of the others' load with a delay.

use std::{collections::HashMap, time::Duration};

use catalog::LatencyModel;
use clock::Timestamp;
use pipelines::{
    Load, LoadTable, PathCandidate, RequestSize, UnreadTable, UpstreamLoad, choose_path,
    unread_share,
};
use rand::{SeedableRng, rngs::StdRng};
use types::Stage;

use crate::support::{LAYERS, query, targets};

/// Time between two beacons, in milliseconds.
const BEACON_MS: f64 = 500.0;
/// Output tokens of each request.
const OUTPUT: u32 = 230;

/// The engines and nodes of a replay.
pub struct Replay {
    /// Engines when nothing runs.
    pub engines: Vec<PathCandidate>,
    /// Times that the nodes assume.
    pub model: LatencyModel,
    /// Factor on the real time to prefill prompts.
    pub read_error: f64,
    /// Factor on the load that beacons carry.
    pub beacon_error: f64,
    /// Engine that is lost, and when.
    pub lost: Option<(usize, f64)>,
    /// Seed of the nodes' random choices.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Whether the nodes know the targets.
    pub has_targets: bool,
}

/// How the requests of one kind fared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub requests: u32,
    pub without_path: u32,
    pub late_first: u32,
    pub late_gap: u32,
}

impl Served {
    /// Share of the requests that met all targets.
    pub fn in_time(&self) -> f64 {
        let late = self.without_path + self.late_first.max(self.late_gap);
        1.0 - f64::from(late) / f64::from(self.requests.max(1))
    }
}

#[derive(Default)]
struct Node {
    load: LoadTable,
    unread: UnreadTable,
    active: Vec<Active>,
}

struct Active {
    stages: Vec<Stage>,
    loads: Vec<UpstreamLoad>,
    size: RequestSize,
    event_ms: f64,
    first_at: f64,
    end_at: f64,
    is_read: bool,
}

impl Node {
    /// Records the first events and ends of this node's requests until `now`.
    fn settle(&mut self, now: f64) -> Vec<Active> {
        let (ended, active) =
            std::mem::take(&mut self.active).into_iter().partition(|item| item.end_at <= now);
        self.active = active;
        let unread = &mut self.unread;
        for item in &mut self.active {
            if !item.is_read && item.first_at <= now {
                unread.record_first_event(&item.stages, item.size);
                item.is_read = true;
            }
        }
        for item in &ended {
            if !item.is_read {
                unread.record_first_event(&item.stages, item.size);
            }
            unread.remove(&item.stages, item.size);
            self.load.remove(&item.loads);
        }
        ended
    }
}

impl Replay {
    /// Replays prompts of the given sizes that arrive at the given times, in milliseconds, and
    /// returns how the short and the long ones fared.
    pub fn run(&self, arrivals: &[(f64, u32)], long: u32) -> [Served; 2] {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut nodes: Vec<Node> = (0..self.nodes).map(|_| Node::default()).collect();
        let mut free_at = vec![0.0_f64; self.engines.len()];
        let mut reads: HashMap<&str, Vec<(f64, f64, f64)>> = HashMap::new();
        let mut served = [Served::default(); 2];
        let mut ended = Vec::new();
        let mut next_beacon = 0.0;
        for (number, (now, prompt)) in arrivals.iter().copied().enumerate() {
            for node in &mut nodes {
                ended.extend(node.settle(now));
            }
            if now >= next_beacon {
                next_beacon = now + BEACON_MS;
                self.send_beacons(&mut nodes, now);
            }
            let kind = &mut served[usize::from(prompt >= long)];
            kind.requests += 1;
            let sender = number % self.nodes;
            let candidates = self.candidates(&nodes[sender], now);
            let goals = self.has_targets.then(|| targets(&self.model, f64::from(prompt)));
            let size = RequestSize { prompt, tokens: prompt + OUTPUT };
            let mut needs = query(goals);
            needs.tokens = size.tokens;
            let Some(path) = choose_path(&candidates, &needs, &mut rng) else {
                kind.without_path += 1;
                continue;
            };
            let (mut at, mut event_ms) = (now, 0.0);
            for stage in &path.stages {
                let index =
                    self.engines.iter().position(|engine| engine.name == stage.engine).unwrap();
                let engine = &self.engines[index];
                let share = f64::from(stage.layers.len()) / f64::from(LAYERS);
                let token_ms =
                    1000.0 / self.model.read_rate * engine.read_factor * share * self.read_error;
                let start = free_at[index].max(at);
                at = start + f64::from(prompt) * token_ms;
                free_at[index] = at;
                let chunk_ms = f64::from(prompt).min(self.model.chunk) * token_ms;
                reads.entry(engine.name.as_str()).or_default().push((start, at, chunk_ms));
                let decoding: u32 =
                    nodes.iter().map(|node| own_requests(node, &stage.engine)).sum();
                event_ms += share
                    * self.model.event_steps
                    * engine.step_factor
                    * (self.model.step_ms + self.model.sequence_ms * f64::from(decoding + 1));
            }
            kind.late_first += u32::from(at + event_ms - now > 500.0);
            let loads: Vec<UpstreamLoad> =
                path.stages.iter().map(|stage| load_of(stage, size)).collect();
            let node = &mut nodes[sender];
            node.load.add(&loads);
            node.unread.add(&path.stages, size);
            let first_at = at + event_ms;
            let end_at = first_at + event_ms * f64::from(OUTPUT) / self.model.event_steps;
            node.active.push(Active {
                stages: path.stages,
                loads,
                size,
                event_ms,
                first_at,
                end_at,
                is_read: false,
            });
        }
        for node in &mut nodes {
            ended.extend(node.settle(f64::INFINITY));
            assert!(node.unread.is_empty(), "unread tokens are left over");
        }
        for item in &ended {
            let delays = item.stages.iter().map(|stage| {
                let overlaps = reads[stage.engine.as_str()]
                    .iter()
                    .filter(|(start, end, _)| *start < item.end_at && *end > item.first_at);
                overlaps.map(|(_, _, chunk_ms)| *chunk_ms).fold(0.0, f64::max)
            });
            let is_late = item.event_ms + delays.sum::<f64>() > 250.0;
            served[usize::from(item.size.prompt >= long)].late_gap += u32::from(is_late);
        }
        served
    }

    fn candidates(&self, node: &Node, now: f64) -> Vec<PathCandidate> {
        let mut candidates = self.engines.clone();
        for candidate in &mut candidates {
            let total = node.load.total(&candidate.name);
            let share = unread_share(&self.model, candidate.step_factor, candidate.read_factor);
            candidate.requests = total.requests;
            candidate.kv_reserved = total.token_layers;
            candidate.unread = node.unread.unread(&candidate.name, total.token_layers, share);
        }
        if let Some((lost, _)) = self.lost.filter(|(_, at)| now >= *at) {
            candidates.remove(lost);
        }
        candidates
    }

    fn send_beacons(&self, nodes: &mut [Node], now: f64) {
        let now = Timestamp::from_origin(Duration::from_secs_f64(now / 1000.0));
        let loads: Vec<Vec<_>> = nodes
            .iter()
            .map(|node| {
                node.load.own().map(|(name, load)| (name.clone(), self.reported(*load))).collect()
            })
            .collect();
        for (receiver, node) in nodes.iter_mut().enumerate() {
            for (sender, load) in loads.iter().enumerate().filter(|(sender, _)| *sender != receiver)
            {
                node.load.set_peer(format!("node-{sender}").into(), load.clone(), now);
            }
        }
    }

    /// The load as the beacons carry it.
    fn reported(&self, load: Load) -> Load {
        let requests = (f64::from(load.requests) * self.beacon_error) as u32;
        Load { requests, token_layers: load.token_layers * self.beacon_error, ..load }
    }
}

fn own_requests(node: &Node, engine: &str) -> u32 {
    node.load.own().find(|(name, _)| name.as_str() == engine).map_or(0, |(_, load)| load.requests)
}

fn load_of(stage: &Stage, size: RequestSize) -> UpstreamLoad {
    let token_layers = f64::from(stage.layers.len()) * f64::from(size.tokens);
    let load = Load { requests: 1, entered: 0, token_layers };
    UpstreamLoad { upstream: stage.engine.clone(), load }
}
