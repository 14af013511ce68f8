use std::{collections::BTreeMap, time::Duration};

use loadgen::{CallerClient, Completion, Percentiles, Planned, Sample, poisson, run_open_loop};
use settings::{FleetConfig, ModelConfig, Policy};
use standins::{EngineFaults, reference};
use types::Class;

use super::SEED;
use crate::cluster::{Cluster, EngineSpec};

/// The model that all rows run.
const MODEL: &str = "permits";
/// Layers of the model.
const LAYERS: u32 = 24;
/// Layer ranges of the model.
pub(crate) const STAGES: u32 = 3;
/// Repetitions of the sentence that a shared prefix consists of.
const PREFIX_REPEATS: usize = 80;
/// Mean number of tokens of an answer. Lengths are spread from half of it to one and a half of it,
/// since answers of equal length make all sessions of an engine end at the same time.
pub(crate) const TOKENS: u32 = 12;

/// Speed of an engine and the domain that it is in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Engine {
    pub(crate) domain: &'static str,
    /// Time of one step, in microseconds.
    pub(crate) step: u64,
    /// Additional time for each session in a step, in microseconds.
    pub(crate) item: u64,
}

/// What a row runs on.
#[derive(Clone, Debug)]
pub(crate) struct FleetSpec {
    /// Replicas of each stage.
    pub(crate) engines: Vec<Engine>,
    pub(crate) nodes: usize,
    pub(crate) slots: u32,
    /// Delay of a handoff within a domain and between domains.
    pub(crate) links: (Duration, Duration),
    /// Time of the prefill of one token, in microseconds.
    pub(crate) prefill: u64,
    /// Blocks that an engine's prefix cache holds.
    pub(crate) cache_blocks: u32,
    /// Age of load reports.
    pub(crate) lag: Duration,
    pub(crate) policy: Policy,
}

/// Part of a load with a constant rate.
#[derive(Clone, Debug)]
pub(crate) struct Phase {
    pub(crate) start: Duration,
    pub(crate) length: Duration,
    /// Requests per second.
    pub(crate) rate: f64,
    pub(crate) organisation: &'static str,
    pub(crate) deadline: Duration,
    /// Different prefixes that the prompts begin with; zero for short prompts.
    pub(crate) prefixes: u32,
    /// Mean number of tokens of an answer.
    pub(crate) tokens: u32,
}

/// A running fleet.
pub(crate) struct Fleet {
    pub(crate) cluster: Cluster,
    clients: Vec<CallerClient>,
}

impl Default for FleetSpec {
    fn default() -> FleetSpec {
        let link = Duration::from_micros(200);
        FleetSpec {
            engines: Vec::new(),
            nodes: 1,
            slots: 16,
            links: (link, link),
            prefill: 20,
            cache_blocks: 4096,
            lag: Duration::from_millis(200),
            policy: Policy::default(),
        }
    }
}

impl Default for Phase {
    fn default() -> Phase {
        Phase {
            start: Duration::ZERO,
            length: Duration::ZERO,
            rate: 1.0,
            organisation: "users",
            deadline: Duration::from_secs(10),
            prefixes: 0,
            tokens: TOKENS,
        }
    }
}

impl FleetSpec {
    /// Tokens per second that the engines of one stage run when each step is full. All stages are
    /// alike, so this bounds the pipeline.
    pub(crate) fn token_bound(&self) -> f64 {
        let slots = f64::from(self.slots);
        let rate =
            |engine: &Engine| slots * 1e6 / (engine.step as f64 + engine.item as f64 * slots);
        self.engines.iter().map(rate).sum()
    }

    /// Requests per second that the token bound allows.
    pub(crate) fn request_bound(&self) -> f64 {
        self.token_bound() / f64::from(TOKENS)
    }
}

impl Fleet {
    pub(crate) async fn start(name: &str, spec: &FleetSpec) -> Fleet {
        let mut cluster = Cluster::start(&format!("bench-{name}"));
        let mut domains = Vec::new();
        for stage in 0..STAGES {
            for (replica, engine) in spec.engines.iter().enumerate() {
                cluster.add_engine(&engine_spec(spec, stage, replica, engine)).await;
                domains.push(engine.domain);
            }
        }
        let addrs: Vec<_> = cluster.engines.iter().map(|engine| engine.addr()).collect();
        for (engine, own) in cluster.engines.iter().zip(&domains) {
            let delay = |other: &&str| if other == own { spec.links.0 } else { spec.links.1 };
            let micros = domains.iter().map(|other| delay(other).as_micros() as u64);
            let faults = EngineFaults {
                link_micros: addrs.iter().copied().zip(micros).collect(),
                ..EngineFaults::default()
            };
            let set = cluster.control(engine, &faults).await;
            assert!(set.is_ok(), "links were set: {set:?}");
        }
        cluster.configure(&config(&spec.policy)).await;
        for node in 0..spec.nodes {
            let domain = spec.engines[node % spec.engines.len()].domain;
            cluster.add_node(&format!("node-{node}"), domain).await;
        }
        assert!(cluster.wait_ready(domains.len()).await, "nodes of {name} are ready");
        let clients = cluster
            .nodes
            .iter()
            .map(|node| CallerClient::new(cluster.clock.clone(), node.port("callers")))
            .collect();
        Fleet { cluster, clients }
    }

    /// Switches the faults of an engine.
    pub(crate) async fn set_faults(&self, engine: usize, faults: &EngineFaults) {
        let set = self.cluster.control(&self.cluster.engines[engine], faults).await;
        assert!(set.is_ok(), "faults were set: {set:?}");
    }

    /// Sum of a metric without labels over all nodes, read after some time.
    pub(crate) async fn metric_after(&self, name: &str, time: Duration) -> f64 {
        self.cluster.clock.sleep(time).await;
        let mut sum = 0.0;
        for node in &self.cluster.nodes {
            let text = self.cluster.metrics(node).await;
            let lines = text.lines().filter_map(|line| line.strip_prefix(name));
            sum += lines.filter_map(|value| value.trim().parse::<f64>().ok()).sum::<f64>();
        }
        sum
    }

    /// Sends the load of all phases.
    pub(crate) async fn run(&self, phases: &[Phase]) -> Vec<Sample> {
        let mut plan = Vec::new();
        for (index, phase) in phases.iter().enumerate() {
            let arrivals = poisson(SEED + index as u64, phase.rate, phase.length);
            plan.extend(arrivals.into_iter().enumerate().map(|(number, at)| Planned {
                at: phase.start + at,
                completion: completion(phase, number, format!("{index}-{number}")),
            }));
        }
        plan.sort_by_key(|planned| planned.at);
        run_open_loop(&self.cluster.clock, &self.clients, plan).await
    }
}

/// Tokens per second that arrived in a part of the load.
pub(crate) fn throughput(samples: &[Sample], phase: &Phase) -> f64 {
    let end = phase.start + phase.length;
    let times = samples.iter().flat_map(Sample::token_times);
    let count = times.filter(|time| (phase.start..end).contains(time)).count();
    count as f64 / phase.length.as_secs_f64()
}

/// Times to the first token of the requests that were sent in a phase. A request without a token
/// counts with its deadline.
pub(crate) fn first_tokens(samples: &[Sample], phase: &Phase) -> Percentiles {
    let end = phase.start + phase.length;
    let sent = samples.iter().filter(|sample| {
        (phase.start..end).contains(&sample.at)
            && sample.completion.organisation == phase.organisation
    });
    Percentiles::of(sent.map(first_token))
}

/// Time to the first token; the deadline if there was none.
pub(crate) fn first_token(sample: &Sample) -> Duration {
    match sample.outcome.tokens {
        0 => sample.completion.deadline,
        _ => sample.outcome.first_token,
    }
}

/// Whether an answer is whole, correct and in time.
pub(crate) fn is_good(sample: &Sample) -> bool {
    let completion = &sample.completion;
    let expected =
        reference::completion(&completion.model, LAYERS, &completion.prompt, completion.max_tokens);
    sample.outcome.is_correct(&expected) && sample.outcome.total <= completion.deadline
}

/// A time in milliseconds.
pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn engine_spec(spec: &FleetSpec, stage: u32, replica: usize, engine: &Engine) -> EngineSpec {
    let layers = LAYERS / STAGES;
    EngineSpec {
        name: format!("{MODEL}-{stage}-{replica}"),
        domain: engine.domain.into(),
        args: vec![
            format!("--model={MODEL}"),
            format!("--first-layer={}", stage * layers),
            format!("--end-layer={}", (stage + 1) * layers),
            format!("--slots={}", spec.slots),
            format!("--step-micros={}", engine.step),
            format!("--item-micros={}", engine.item),
            format!("--prefill-micros={}", spec.prefill),
            format!("--cache-blocks={}", spec.cache_blocks),
            format!("--report-lag-millis={}", spec.lag.as_millis()),
        ],
    }
}

fn config(policy: &Policy) -> FleetConfig {
    let model =
        ModelConfig { version: "1".into(), layers: LAYERS, replicas: 2, stages: Some(STAGES) };
    FleetConfig {
        revision: 1,
        author: "xtask".into(),
        defaults: policy.clone(),
        models: BTreeMap::from([(MODEL.into(), model)]),
        ..FleetConfig::default()
    }
}

fn completion(phase: &Phase, number: usize, id: String) -> Completion {
    let prefix = match phase.prefixes {
        0 => String::new(),
        prefixes => {
            // Multiplying by an odd number mixes the prefixes; every fourth completion has the first.
            let prefix = if number.is_multiple_of(4) { 0 } else { number * 37 % prefixes as usize };
            format!("Guideline {prefix} for permits. ").repeat(PREFIX_REPEATS)
        }
    };
    Completion {
        prompt: format!("{prefix}Draft {id} about gravel from the river bar at kilometre {id}"),
        id,
        organisation: phase.organisation.into(),
        class: Class::Interactive,
        model: MODEL.into(),
        max_tokens: phase.tokens / 2 + number as u32 * 7 % (phase.tokens + 1),
        deadline: phase.deadline,
    }
}
