//! One attempt of a completion: opens a token stream on a route and forwards its tokens.

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
    recover::{Cause, FailureSource},
    timeouts,
};
use crate::admission::LoadGuard;

/// A stream is moved away from a leaving engine only if the rest of it is expected to take longer
/// than this.
const MOVE_THRESHOLD: Duration = Duration::from_secs(1);
/// Shortest time that the first stage has to pause a stream. It has four token intervals if they
/// take longer.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(500);

/// How an attempt ended.
pub(super) enum AttemptOutcome {
    /// The answer is complete.
    Complete,
    /// The caller went away.
    CallerGone,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The engines paused the stream on request, so that it can be moved from a leaving engine.
    Paused,
    /// The attempt failed.
    Failed(Cause),
}

impl CompletionRun {
    /// Runs one attempt. Unless the engines end it, it is cancelled at them.
    pub(super) async fn run_attempt(
        &mut self,
        plan: &Plan,
        load: LoadGuard,
        sink: &mut dyn TokenSink,
    ) -> AttemptOutcome {
        let session = self.progress.session.clone();
        let prompt_tokens = self.request.prompt.split_whitespace().count();
        let prefill_tokens = if plan.resume { 1 } else { prompt_tokens + self.output_tokens.len() };
        let mut guard = AttemptGuard::new(load, session, self.attempt, prefill_tokens as u32);
        let first_engine = &plan.route[0].engine;
        let Some(engine) = self.node.engine(first_engine) else {
            return AttemptOutcome::Failed(Cause::new(
                "the engine left the fleet",
                FailureSource::Busy(first_engine.clone()),
            ));
        };
        self.progress.start_attempt(self.node.clock.now());
        let outcome = match self.open_stream(plan, engine).await {
            Ok(stream) => self.forward_tokens(plan, &mut guard, stream, sink).await,
            Err(outcome) => outcome,
        };
        if matches!(outcome, AttemptOutcome::Complete | AttemptOutcome::Paused) {
            guard.mark_ended();
        }
        outcome
    }

    /// Asks the engine of the first stage for a token stream.
    async fn open_stream(
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
            given: self.output_tokens.clone(),
            max_tokens: self.request.max_tokens,
            route: plan.route.clone(),
            resume: plan.resume,
        };
        let limit = self.first_token_timeout(plan).min(self.time_left());
        let first_engine = &plan.route[0].engine;
        match timeout(&*self.node.clock, limit, engine.generate(generate)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) if error.is_connect_failure() => Err(AttemptOutcome::Failed(
                Cause::new(error, FailureSource::Unreachable(first_engine.clone())),
            )),
            Ok(Err(error @ CallError::Status(..))) => Err(AttemptOutcome::Failed(Cause::new(
                error,
                FailureSource::Busy(first_engine.clone()),
            ))),
            Ok(Err(error)) => Err(self.call_failed(error)),
            Err(_) => Err(self.call_failed(CallError::Timeout)),
        }
    }

    /// Forwards tokens to the caller until the attempt ends.
    async fn forward_tokens(
        &mut self,
        plan: &Plan,
        guard: &mut AttemptGuard,
        mut stream: TokenStream,
        sink: &mut dyn TokenSink,
    ) -> AttemptOutcome {
        let mut limit = self.first_token_timeout(plan);
        let mut pause_deadline: Option<Timestamp> = None;
        loop {
            let item = match stream.next(limit.min(self.time_left())).await {
                Ok(item) => item,
                Err(error) => return self.stream_failed(error),
            };
            match item {
                StreamItem::Token(token) => {
                    guard.end_prefill();
                    if let Err(cause) = self.accept_token(&plan.route, &token) {
                        return AttemptOutcome::Failed(cause);
                    }
                    match timeout(&*self.node.clock, self.time_left(), sink.token(token.text)).await
                    {
                        // Time that the caller took to accept the token does not count as a wait
                        // for the engines.
                        Ok(true) => self.progress.wait_start = self.node.clock.now(),
                        Ok(false) => return AttemptOutcome::CallerGone,
                        Err(_) => return AttemptOutcome::DeadlinePassed,
                    }
                }
                StreamItem::End if self.output_tokens.len() as u32 == self.request.max_tokens => {
                    return AttemptOutcome::Complete;
                }
                StreamItem::Paused if pause_deadline.is_some() => return AttemptOutcome::Paused,
                StreamItem::End | StreamItem::Paused => {
                    let cause = "the stream ended early";
                    return AttemptOutcome::Failed(Cause::new(cause, FailureSource::AnyStage));
                }
            }
            let now = self.node.clock.now();
            if pause_deadline.is_some_and(|deadline| now >= deadline) {
                let cause = "the engine did not pause the stream";
                return AttemptOutcome::Failed(Cause::new(cause, FailureSource::NoEngine));
            }
            if pause_deadline.is_none() && self.should_move(&plan.route) {
                self.request_pause(&plan.route[0].engine);
                pause_deadline = Some(now + PAUSE_TIMEOUT.max(self.progress.interval * 4));
            }
            limit = self.progress_timeout(&plan.route);
        }
    }

    /// Accepts a token whose receipts were checked, if it is the next one of this request.
    fn accept_token(&mut self, route: &[Stage], token: &Token) -> Result<(), Cause> {
        let now = self.node.clock.now();
        if let Err(text) = self.progress.check(token, self.output_tokens.len() as u32) {
            return Err(self.record_violation(text));
        }
        self.node.view.borrow_mut().record_progress(route, now);
        self.observe_token(now);
        self.output_tokens.push(token.id);
        Ok(())
    }

    /// The outcome of an attempt whose stream failed.
    fn stream_failed(&self, error: StreamError) -> AttemptOutcome {
        match error {
            StreamError::Call(error) => self.call_failed(error),
            StreamError::Fault { engine, fault } => {
                AttemptOutcome::Failed(Cause::from_fault(engine, fault))
            }
            StreamError::Layers(violation) => {
                AttemptOutcome::Failed(self.record_violation(violation.0))
            }
        }
    }

    /// The outcome of an attempt whose call to the first stage failed.
    fn call_failed(&self, error: CallError) -> AttemptOutcome {
        if self.time_left().is_zero() {
            return AttemptOutcome::DeadlinePassed;
        }
        AttemptOutcome::Failed(Cause::new(error, FailureSource::Unknown))
    }

    /// Counts and logs a token that did not pass a check.
    fn record_violation(&self, text: String) -> Cause {
        self.node.metrics.layer_violations.inc();
        let caller = &self.request.caller;
        tracing::error!(
            request = %caller.id,
            organisation = %caller.organisation,
            text,
            "token check failed"
        );
        Cause::new(text, FailureSource::AnyStage)
    }

    /// Whether the stream should be moved: an engine of its route is leaving and can be replaced,
    /// and the stream is not about to end.
    fn should_move(&self, route: &[Stage]) -> bool {
        let remaining = self.request.max_tokens - self.output_tokens.len() as u32;
        if self.progress.interval * remaining <= MOVE_THRESHOLD {
            return false;
        }
        let view = self.node.view.borrow();
        view.replace_leaving(route, &self.route_request(), self.node.clock.now()).is_some()
    }

    /// Asks the engine of the first stage to pause the stream after the current step.
    fn request_pause(&self, first_engine: &UpstreamName) {
        let session = self.progress.session.clone();
        let cancel = Cancel { session, attempt: self.attempt, at_step_end: true };
        self.node.cancel(first_engine, cancel);
    }

    fn first_token_timeout(&self, plan: &Plan) -> Duration {
        let expected = self.node.view.borrow().expected_step(&plan.route);
        let is_first = self.output_tokens.is_empty();
        timeouts::first_token(&self.policy, expected, is_first, self.progress.unexplained)
    }

    fn progress_timeout(&self, route: &[Stage]) -> Duration {
        let expected = self.node.view.borrow().expected_step(route);
        let expected = expected.max(self.progress.interval);
        timeouts::progress(&self.policy, expected, self.progress.unexplained)
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(self.node.clock.now())
    }
}
