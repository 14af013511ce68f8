//! Sends completions through the cluster of a case and checks the answers.

use std::{cell::Cell, time::Duration};

use clock::Timestamp;
use futures_util::future::join_all;
use loadgen::{Completion, CompletionOutcome};
use standins::EngineFaults;
use transport::HttpClient;
use types::Class;

use crate::{
    cluster::{CONTROL_TIMEOUTS, EngineSpec, Process},
    faults::testbed::{ORGANISATION, Testbed},
    workload::{self, RANGES},
};

/// Model that the completions ask for.
pub(crate) const MODEL: &str = "permits";
/// Tokens of a completion. With the step time below, it streams for about half a second.
pub(crate) const TOKENS: u32 = 48;
/// Duration of one step of an engine. It is long enough to inject a fault into a running stream.
const STEP_MICROS: u32 = 3000;
/// Deadline of a completion.
const DEADLINE: Duration = Duration::from_secs(10);
/// Time after which a case stops waiting for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which another process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Completions that run concurrently while a fault is injected.
const CONCURRENT_COMPLETIONS: u32 = 4;

/// The outcomes of a series of completions.
#[derive(Debug, Default)]
pub(crate) struct CompletionTally {
    pub(crate) completions: u32,
    /// Completions whose text was incomplete or wrong.
    pub(crate) wrong: u32,
    /// Completions that needed more than one attempt.
    pub(crate) retried: u32,
    /// Longest wait for a token in each completion.
    pub(crate) stalls: Vec<Duration>,
    /// Total time of each completion.
    pub(crate) totals: Vec<Duration>,
}

/// Position of a stage in a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Position {
    First,
    Middle,
    Last,
}

/// Specifications of `replicas` engines for each layer range of `MODEL`.
pub(crate) fn engine_specs(replicas: u32) -> Vec<EngineSpec> {
    let mut specs = workload::engine_specs(replicas);
    specs.retain(|spec| spec.name.starts_with(MODEL));
    for spec in &mut specs {
        spec.args.push(format!("--step-micros={STEP_MICROS}"));
    }
    specs
}

/// Creates a completion whose prompt contains `number`.
pub(crate) fn completion(number: u32) -> Completion {
    Completion {
        id: String::new(),
        organisation: ORGANISATION.into(),
        class: Class::Interactive,
        model: MODEL.into(),
        prompt: format!("Draft {number} about gravel from the bar at kilometre {number}"),
        max_tokens: TOKENS,
        deadline: DEADLINE,
    }
}

impl Position {
    /// Name of the engine that is the given replica of the stage at this position.
    pub(crate) fn engine(self, replica: u32) -> String {
        let range = match self {
            Position::First => 0,
            Position::Middle => 1,
            Position::Last => RANGES - 1,
        };
        format!("{MODEL}-{range}-{replica}")
    }
}

impl CompletionTally {
    /// Adds the outcome of a completion.
    pub(crate) fn add(&mut self, outcome: &CompletionOutcome, correct: bool) {
        self.completions += 1;
        self.wrong += u32::from(!correct);
        self.retried += u32::from(outcome.attempts > 1);
        self.stalls.push(stall(outcome));
        self.totals.push(outcome.total);
    }

    /// 95th percentile of the total times.
    pub(crate) fn total_p95(&self) -> Duration {
        let mut totals = self.totals.clone();
        totals.sort();
        totals.get(totals.len() * 95 / 100).copied().unwrap_or_default()
    }
}

impl Testbed {
    /// Requests a completion and checks that it is complete and correct.
    pub(crate) async fn completion(
        &self,
        node: usize,
        completion: &Completion,
    ) -> CompletionOutcome {
        let (outcome, correct) = self.try_completion(node, completion).await;
        self.check(correct, || format!("completion is not complete and correct: {outcome:?}"));
        outcome
    }

    /// Requests a completion. Also returns whether it is complete and correct.
    pub(crate) async fn try_completion(
        &self,
        node: usize,
        completion: &Completion,
    ) -> (CompletionOutcome, bool) {
        let outcome = self.callers[node].completion(completion).await;
        let correct = outcome.is_correct(&workload::expected_text(completion));
        (outcome, correct)
    }

    /// Runs `CONCURRENT_COMPLETIONS` completions through a node and checks them. Records the
    /// longest wait for a token as a recovery time.
    pub(crate) async fn completions(&self, node: usize) -> CompletionTally {
        let mut load = CompletionTally::default();
        let all = (0..CONCURRENT_COMPLETIONS)
            .map(|number| async move { self.completion(node, &completion(number)).await });
        for outcome in join_all(all).await {
            load.add(&outcome, true);
        }
        if let Some(longest) = load.stalls.iter().max() {
            self.record_recovery(*longest);
        }
        load
    }

    /// Runs completions through all nodes until `stop` is set or `limit` of them were sent. Each of
    /// the concurrent callers sends its next completion as soon as its previous one has ended.
    pub(crate) async fn load(&self, stop: &Cell<bool>, limit: u32) -> CompletionTally {
        let next = Cell::new(0);
        let callers = (0..CONCURRENT_COMPLETIONS).map(|caller| {
            let next = &next;
            async move {
                let mut outcomes = Vec::new();
                while !stop.get() && next.get() < limit {
                    next.set(next.get() + 1);
                    let node = (caller as usize + outcomes.len()) % self.callers.len();
                    outcomes.push(self.try_completion(node, &completion(next.get())).await);
                }
                outcomes
            }
        });
        let mut load = CompletionTally::default();
        for (outcome, correct) in join_all(callers).await.into_iter().flatten() {
            if !correct && load.wrong < 2 {
                self.add_problem(format!("completion is not complete and correct: {outcome:?}"));
            }
            load.add(&outcome, correct);
        }
        load
    }

    /// Waits until a node runs a completion on an engine at `position`, and returns that engine.
    pub(crate) async fn busy_engine(&self, node: usize, position: Position) -> &Process {
        let deadline = self.now() + WAIT_TIMEOUT;
        loop {
            for replica in 0.. {
                let Some(engine) = self.find_engine(&position.engine(replica)) else { break };
                if self.is_busy(node, engine).await {
                    return engine;
                }
            }
            if self.now() > deadline {
                self.add_problem(format!("no engine of the {position} stage runs a completion"));
                return self.engine(&position.engine(0));
            }
            self.cluster.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether a node runs a completion on an engine now.
    pub(crate) async fn is_busy(&self, node: usize, engine: &Process) -> bool {
        self.engine_status(node, &engine.name, "outstanding").await >= Some(1)
    }

    /// Waits until a node reports the engine's availability as `available`.
    pub(crate) async fn wait_available(&self, node: usize, engine: &str, available: bool) {
        let deadline = self.now() + WAIT_TIMEOUT;
        while self.engine_status(node, engine, "available").await != Some(u64::from(available)) {
            if self.now() > deadline {
                let state = if available { "available" } else { "unavailable" };
                return self.add_problem(format!("node-{node} does not see {engine} as {state}"));
            }
            self.sleep(20).await;
        }
    }

    /// Number of tokens that an engine has run.
    pub(crate) async fn tokens_run(&self, engine: &Process) -> u64 {
        let client = HttpClient::new(self.cluster.clock.clone(), engine.addr());
        client.get_json("/control/tokens", CONTROL_TIMEOUTS).await.unwrap_or_default()
    }

    /// Sets the faults of an engine.
    pub(crate) async fn set_engine_faults(&self, engine: &Process, faults: EngineFaults) {
        self.control(engine, &faults).await;
    }

    /// The engine with this name. Panics if there is none.
    pub(crate) fn engine(&self, name: &str) -> &Process {
        self.find_engine(name).unwrap_or_else(|| panic!("there is no engine {name}"))
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.cluster.clock.now()
    }

    fn find_engine(&self, name: &str) -> Option<&Process> {
        self.cluster.engines.iter().find(|engine| engine.name == name)
    }

    /// Reads one field of an engine from a node's status. Booleans are returned as 0 or 1.
    async fn engine_status(&self, node: usize, engine: &str, value: &str) -> Option<u64> {
        let addr = self.cluster.nodes[node].port("operators");
        let client = HttpClient::new(self.cluster.clock.clone(), addr);
        let status: serde_json::Value = client.get_json("/status", CONTROL_TIMEOUTS).await.ok()?;
        let engines = status["engines"].as_array()?;
        let found = engines.iter().find(|found| found["engine"] == engine)?;
        let value = &found[value];
        value.as_u64().or_else(|| value.as_bool().map(u64::from))
    }
}

/// Longest wait of the caller for a token, the first one included.
pub(crate) fn stall(outcome: &CompletionOutcome) -> Duration {
    let intervals = outcome.intervals.iter().copied();
    intervals.chain([outcome.first_token]).max().unwrap_or_default()
}
