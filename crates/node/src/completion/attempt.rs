use std::{rc::Rc, time::Duration};

use callers::TokenSink;
use clock::{Timestamp, timeout};
use engines::{
    Engine, StreamError, StreamItem, TokenStream,
    api::{Cancel, Generate, Token},
};
use transport::CallError;
use types::{Stage, UpstreamName};

use super::{
    CompletionRun, Plan,
    guard::AttemptGuard,
    limits,
    recover::{Cause, FailureSource},
};
use crate::admission::LoadGuard;

/// A stream that is expected to end within this time is not moved from a leaving engine.
const FINISH_SOON: Duration = Duration::from_secs(1);
/// Time that the first stage has to pause a stream, unless its steps are slow.
const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// How an attempt ended.
pub(super) enum AttemptOutcome {
    /// The answer is whole.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The request's deadline passed.
    Late,
    /// The stream was paused, so that it can move away from a leaving engine.
    Paused,
    /// The attempt failed.
    Failed(Cause),
}

impl CompletionRun {
    pub(super) async fn run_attempt(
        &mut self,
        plan: &Plan,
        load: LoadGuard,
        sink: &mut dyn TokenSink,
    ) -> AttemptOutcome {
        let session = self.progress.session.clone();
        let words = self.request.prompt.split_whitespace().count();
        let positions = if plan.resume { 1 } else { words + self.given.len() };
        let mut guard = AttemptGuard::new(load, session, self.attempt, positions as u32);
        let head = &plan.route[0].engine;
        let Some(engine) = self.node.engine(head) else {
            return AttemptOutcome::Failed(Cause::new(
                "the engine left the fleet",
                FailureSource::Busy(head.clone()),
            ));
        };
        self.progress.start_attempt(self.node.clock.now());
        let outcome = match self.open(plan, engine).await {
            Ok(stream) => self.forward(plan, &mut guard, stream, sink).await,
            Err(outcome) => outcome,
        };
        if matches!(outcome, AttemptOutcome::Whole | AttemptOutcome::Paused) {
            guard.ended();
        }
        outcome
    }

    async fn open(
        &self,
        plan: &Plan,
        engine: Rc<dyn Engine>,
    ) -> Result<TokenStream, AttemptOutcome> {
        let generate = Generate {
            session: self.progress.session.clone(),
            attempt: self.attempt,
            model: self.request.model.clone(),
            version: self.model.version.clone(),
            class: self.request.caller.class,
            prompt: self.request.prompt.clone(),
            given: self.given.clone(),
            max_tokens: self.request.max_tokens,
            route: plan.route.clone(),
            resume: plan.resume,
        };
        let limit = self.first_limit(plan).min(self.time_left());
        let head = &plan.route[0].engine;
        match timeout(&*self.node.clock, limit, engine.generate(generate)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) if error.is_connect_failure() => Err(AttemptOutcome::Failed(
                Cause::new(error, FailureSource::Unreachable(head.clone())),
            )),
            Ok(Err(error @ CallError::Status(..))) => {
                Err(AttemptOutcome::Failed(Cause::new(error, FailureSource::Busy(head.clone()))))
            }
            Ok(Err(error)) => Err(self.call_failed(error)),
            Err(_) => Err(self.call_failed(CallError::Timeout)),
        }
    }

    /// Forwards tokens to the caller until the attempt ends.
    async fn forward(
        &mut self,
        plan: &Plan,
        guard: &mut AttemptGuard,
        mut stream: TokenStream,
        sink: &mut dyn TokenSink,
    ) -> AttemptOutcome {
        let mut limit = self.first_limit(plan);
        let mut pause_until: Option<Timestamp> = None;
        loop {
            let part = match stream.next(limit.min(self.time_left())).await {
                Ok(part) => part,
                Err(error) => return self.stream_failed(error),
            };
            match part {
                StreamItem::Token(token) => {
                    guard.prefilled();
                    if let Err(cause) = self.take_token(&plan.route, &token) {
                        return AttemptOutcome::Failed(cause);
                    }
                    match timeout(&*self.node.clock, self.time_left(), sink.token(token.text)).await
                    {
                        // The time that the caller took is none of the engines'.
                        Ok(true) => self.progress.last = self.node.clock.now(),
                        Ok(false) => return AttemptOutcome::CallerGone,
                        Err(_) => return AttemptOutcome::Late,
                    }
                }
                StreamItem::End if self.given.len() as u32 == self.request.max_tokens => {
                    return AttemptOutcome::Whole;
                }
                StreamItem::Paused if pause_until.is_some() => return AttemptOutcome::Paused,
                StreamItem::End | StreamItem::Paused => {
                    let cause = "the stream ended early";
                    return AttemptOutcome::Failed(Cause::new(cause, FailureSource::Stages));
                }
            }
            let now = self.node.clock.now();
            if pause_until.is_some_and(|until| now >= until) {
                let cause = "the engine did not pause the stream";
                return AttemptOutcome::Failed(Cause::new(cause, FailureSource::Nobody));
            }
            if pause_until.is_none() && self.has_to_move(&plan.route) {
                self.request_pause(&plan.route[0].engine);
                pause_until = Some(now + PAUSE_LIMIT.max(self.progress.interval * 4));
            }
            limit = self.progress_limit(&plan.route);
        }
    }

    /// Takes a checked token of the stream. An error means that the token is not the next one of
    /// this request.
    fn take_token(&mut self, route: &[Stage], token: &Token) -> Result<(), Cause> {
        let now = self.node.clock.now();
        if let Err(text) = self.progress.check(token, self.given.len() as u32) {
            return Err(self.violation(text));
        }
        self.node.view.borrow_mut().record_progress(route, now);
        self.observe_token(now);
        self.given.push(token.id);
        Ok(())
    }

    fn stream_failed(&self, error: StreamError) -> AttemptOutcome {
        match error {
            StreamError::Call(error) => self.call_failed(error),
            StreamError::Fault { engine, fault } => {
                AttemptOutcome::Failed(Cause::of_fault(engine, fault))
            }
            StreamError::Layers(violation) => AttemptOutcome::Failed(self.violation(violation.0)),
        }
    }

    fn call_failed(&self, error: CallError) -> AttemptOutcome {
        if self.time_left().is_zero() {
            return AttemptOutcome::Late;
        }
        AttemptOutcome::Failed(Cause::new(error, FailureSource::Unknown))
    }

    fn violation(&self, text: String) -> Cause {
        self.node.metrics.layer_violations.inc();
        let caller = &self.request.caller;
        tracing::error!(
            request = %caller.id,
            organisation = %caller.organisation,
            text,
            "token check failed"
        );
        Cause::new(text, FailureSource::Stages)
    }

    /// Whether an engine of the route is leaving, could be replaced and the stream would not end
    /// soon by itself.
    fn has_to_move(&self, route: &[Stage]) -> bool {
        let left = self.request.max_tokens - self.given.len() as u32;
        if self.progress.interval * left <= FINISH_SOON {
            return false;
        }
        let view = self.node.view.borrow();
        view.replace_leaving(route, &self.route_request(), self.node.clock.now()).is_some()
    }

    fn request_pause(&self, head: &UpstreamName) {
        let session = self.progress.session.clone();
        let cancel = Cancel { session, attempt: self.attempt, at_step_end: true };
        self.node.cancel(head, cancel);
    }

    fn first_limit(&self, plan: &Plan) -> Duration {
        let expected = self.node.view.borrow().expected_step(&plan.route);
        let is_first = self.given.is_empty();
        limits::first_token(&self.policy, expected, is_first, self.progress.unexplained)
    }

    fn progress_limit(&self, route: &[Stage]) -> Duration {
        let expected = self.node.view.borrow().expected_step(route);
        let expected = expected.max(self.progress.interval);
        limits::progress(&self.policy, expected, self.progress.unexplained)
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(self.node.clock.now())
    }
}
