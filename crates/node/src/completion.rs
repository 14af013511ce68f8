//! Runs a completion: attempts on routes of engines until the answer is whole.

use std::{rc::Rc, sync::Arc, time::Duration};

use callers::{Completion, Summary, TokenSink};
use clock::{Timestamp, timeout};
use engines::{Part, StreamError, api::Generate};
use futures_util::future::join_all;
use operators::api::Decision;
use routing::RouteRequest;
use settings::{ModelConfig, Policy};
use types::{Failure, FailureKind, Stage, UpstreamName, Verdict};

use crate::{state::Node, trace::TraceWriter};

/// Pause before a request without a route looks for one again.
const ROUTE_PAUSE: Duration = Duration::from_millis(50);
/// Time that an engine has to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which an engine that failed gets no new work.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// A completion on its way.
pub(crate) struct CompletionRun {
    pub(crate) node: Rc<Node>,
    pub(crate) request: Completion,
    pub(crate) model: ModelConfig,
    pub(crate) policy: Policy,
    pub(crate) trace: TraceWriter,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Tokens that the caller has.
    pub(crate) given: Vec<u32>,
    /// Number of attempts so far.
    pub(crate) attempt: u32,
    /// Engines that have failed this request.
    pub(crate) avoid: Vec<UpstreamName>,
    pub(crate) last_token: Timestamp,
}

/// How an attempt ended.
enum Outcome {
    /// The answer is whole.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The attempt failed.
    Failed(Cause),
}

/// Why an attempt failed.
struct Cause {
    text: String,
    /// Engine that is to blame, if known.
    blamed: Option<UpstreamName>,
    /// Whether the stages have to be probed to find out which one failed.
    probe: bool,
}

impl CompletionRun {
    /// Runs attempts until the answer is whole.
    pub(crate) async fn run(mut self, mut sink: Box<dyn TokenSink>) -> Result<Summary, Failure> {
        loop {
            if u64::from(self.attempt) >= self.policy.attempt_limit {
                let message = format!("{} attempts have failed", self.attempt);
                return Err(self.failure(FailureKind::Upstream, message));
            }
            let route = self.find_route().await?;
            self.attempt += 1;
            let stages = route.iter().map(|stage| stage.engine.clone()).collect();
            let (attempt, given) = (self.attempt, self.given.len() as u32);
            self.trace.record(Decision::Routed { attempt, stages, given });
            match self.run_attempt(&route, &mut *sink).await {
                Outcome::Whole => {
                    return Ok(Summary { tokens: self.given.len() as u32, attempts: self.attempt });
                }
                Outcome::CallerGone => {
                    return Err(self.failure(FailureKind::Invalid, "the caller went away".into()));
                }
                Outcome::Failed(cause) => self.recover(&route, cause).await?,
            }
        }
    }

    /// Waits for a route until the deadline.
    async fn find_route(&self) -> Result<Arc<[Stage]>, Failure> {
        let mut recorded = false;
        loop {
            let now = self.node.clock.now();
            if now >= self.deadline {
                let kind = if recorded { FailureKind::Unavailable } else { FailureKind::Deadline };
                return Err(
                    self.failure(kind, "the deadline passed before a route was found".into())
                );
            }
            let wanted = self.route_request();
            let route = self.node.with_policy(self.policy.route, |policy| {
                policy.choose(&self.node.view.borrow(), &wanted, now)
            });
            if let Some(route) = route {
                return Ok(route.into());
            }
            if !recorded {
                self.trace.record(Decision::NoRoute);
                recorded = true;
            }
            self.node.clock.sleep(ROUTE_PAUSE).await;
        }
    }

    fn route_request(&self) -> RouteRequest {
        let words = self.request.prompt.split_whitespace().count();
        RouteRequest {
            model: self.request.model.clone(),
            version: self.model.version.clone(),
            layers: self.model.layers,
            prompt_tokens: (words + self.given.len()) as u32,
            output_tokens: self.request.max_tokens - self.given.len() as u32,
            home: self.node.settings.domain.clone(),
            avoid: self.avoid.clone(),
        }
    }

    async fn run_attempt(&mut self, route: &Arc<[Stage]>, sink: &mut dyn TokenSink) -> Outcome {
        let _load = LoadGuard::new(self.node.clone(), route.clone());
        let head = &route[0].engine;
        let Some(engine) = self.node.engine(head) else {
            return Outcome::Failed(Cause::of("the engine left the fleet", Some(head)));
        };
        let generate = Generate {
            session: self.request.caller.id.as_str().into(),
            attempt: self.attempt,
            model: self.request.model.clone(),
            version: self.model.version.clone(),
            class: self.request.caller.class,
            prompt: self.request.prompt.clone(),
            given: self.given.clone(),
            max_tokens: self.request.max_tokens,
            route: route.clone(),
            resume: false,
        };
        let mut stream = match engine.generate(generate).await {
            Ok(stream) => stream,
            Err(error) => {
                let blamed = error.is_unreachable().then_some(head);
                return Outcome::Failed(Cause::of(error, blamed));
            }
        };
        let mut limit = Duration::from_millis(self.policy.first_token_ms);
        loop {
            let left = self.deadline.since(self.node.clock.now());
            match stream.next(limit.min(left)).await {
                Ok(Part::Token(token)) => {
                    self.count_token();
                    self.given.push(token.id);
                    if !sink.token(token.text).await {
                        return Outcome::CallerGone;
                    }
                }
                Ok(Part::End) if self.given.len() as u32 == self.request.max_tokens => {
                    return Outcome::Whole;
                }
                Ok(Part::End | Part::Paused) => {
                    return Outcome::Failed(Cause::of("the stream ended early", Some(head)));
                }
                Err(error) => return Outcome::Failed(self.cause_of(error, head)),
            }
            limit = Duration::from_millis(self.policy.progress_ms);
        }
    }

    fn cause_of(&self, error: StreamError, head: &UpstreamName) -> Cause {
        let text = error.to_string();
        match error {
            StreamError::Call(_) => Cause { text, blamed: None, probe: true },
            StreamError::Fault { engine, .. } => Cause { text, blamed: engine, probe: false },
            StreamError::Layers(_) => {
                self.node.metrics.layer_violations.inc();
                tracing::error!(request = %self.request.caller.id, engine = %head, text, "layer check failed");
                Cause { text, blamed: None, probe: false }
            }
        }
    }

    /// Finds out which engines failed and keeps the next attempt away from them.
    async fn recover(&mut self, route: &Arc<[Stage]>, cause: Cause) -> Result<(), Failure> {
        self.node.metrics.attempts_failed.inc();
        let mut suspects: Vec<UpstreamName> = cause.blamed.into_iter().collect();
        if cause.probe {
            suspects = self.probe(route).await;
        }
        let until = self.node.clock.now() + SUSPECT_TIME;
        for suspect in &suspects {
            self.node.view.borrow_mut().suspect(suspect, until);
        }
        let failed = Decision::AttemptFailed {
            attempt: self.attempt,
            cause: cause.text.clone(),
            suspects: suspects.clone(),
        };
        self.trace.record(failed);
        tracing::info!(
            request = %self.request.caller.id,
            attempt = self.attempt,
            cause = cause.text,
            ?suspects,
            "attempt failed"
        );
        if suspects.is_empty() {
            // Nobody could be singled out, so the next attempt avoids the whole route.
            suspects = route.iter().map(|stage| stage.engine.clone()).collect();
        }
        self.avoid.extend(suspects);
        if self.node.clock.now() >= self.deadline {
            return Err(self.failure(FailureKind::Deadline, "the deadline has passed".into()));
        }
        Ok(())
    }

    /// The engines of a route that do not answer a probe.
    async fn probe(&self, route: &[Stage]) -> Vec<UpstreamName> {
        let probes = route.iter().map(|stage| async {
            let engine = self.node.engine(&stage.engine)?;
            let load = timeout(&*self.node.clock, PROBE_TIMEOUT, engine.load()).await;
            let answered = matches!(load, Ok(Ok(_)));
            (!answered).then(|| stage.engine.clone())
        });
        join_all(probes).await.into_iter().flatten().collect()
    }

    fn count_token(&mut self) {
        let now = self.node.clock.now();
        let caller = &self.request.caller;
        let labels = [caller.organisation.as_str(), caller.class.into()];
        let metrics = &self.node.metrics;
        if self.given.is_empty() {
            let since = now.since(self.arrived).as_secs_f64();
            metrics.first_token.with_label_values(&labels).observe(since);
        } else {
            let since = now.since(self.last_token).as_secs_f64();
            metrics.token_interval.with_label_values(&labels).observe(since);
        }
        self.last_token = now;
    }

    fn failure(&self, kind: FailureKind, message: String) -> Failure {
        let verdict = if self.attempt == 0 { Verdict::NotRun } else { Verdict::MayHaveRun };
        Failure::new(kind, verdict, message)
    }
}

impl Cause {
    fn of(text: impl ToString, blamed: Option<&UpstreamName>) -> Cause {
        Cause { text: text.to_string(), blamed: blamed.cloned(), probe: false }
    }
}

/// Counts a running attempt in the load view.
struct LoadGuard {
    node: Rc<Node>,
    route: Arc<[Stage]>,
}

impl LoadGuard {
    fn new(node: Rc<Node>, route: Arc<[Stage]>) -> LoadGuard {
        node.view.borrow_mut().start(&route);
        LoadGuard { node, route }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.node.view.borrow_mut().finish(&self.route);
    }
}
