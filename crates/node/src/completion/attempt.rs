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

/// Shortest expected rest of a stream for which it is moved away from a leaving engine. A shorter
/// one is left to end there.
const MOVE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time that the first stage has to pause a stream. If tokens are slow, it has four token
/// intervals.
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
        let outcome = match self.open_stream(plan, engine).await {
            Ok(stream) => self.forward_tokens(plan, &mut guard, stream, sink).await,
            Err(outcome) => outcome,
        };
        if matches!(outcome, AttemptOutcome::Complete | AttemptOutcome::Paused) {
            guard.mark_ended();
        }
        outcome
    }

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
            given: self.given.clone(),
            max_tokens: self.request.max_tokens,
            route: plan.route.clone(),
            resume: plan.resume,
        };
        let limit = self.first_token_timeout(plan).min(self.time_left());
        let head = &plan.route[0].engine;
        match timeout(&*self.node.clock, limit, engine.generate(generate)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) if error.is_unopened() => Err(AttemptOutcome::Failed(Cause::new(
                error,
                FailureSource::Unreachable(head.clone()),
            ))),
            Ok(Err(error @ CallError::Status(..))) => {
                Err(AttemptOutcome::Failed(Cause::new(error, FailureSource::Busy(head.clone()))))
            }
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
        let mut pause_until: Option<Timestamp> = None;
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
                StreamItem::End if self.given.len() as u32 == self.request.max_tokens => {
                    return AttemptOutcome::Complete;
                }
                StreamItem::Paused if pause_until.is_some() => return AttemptOutcome::Paused,
                StreamItem::End | StreamItem::Paused => {
                    let cause = "the stream ended early";
                    return AttemptOutcome::Failed(Cause::new(cause, FailureSource::AnyStage));
                }
            }
            let now = self.node.clock.now();
            if pause_until.is_some_and(|until| now >= until) {
                let cause = "the engine did not pause the stream";
                return AttemptOutcome::Failed(Cause::new(cause, FailureSource::NoEngine));
            }
            if pause_until.is_none() && self.should_move(&plan.route) {
                self.request_pause(&plan.route[0].engine);
                pause_until = Some(now + PAUSE_TIMEOUT.max(self.progress.interval * 4));
            }
            limit = self.progress_timeout(&plan.route);
        }
    }

    /// Accepts a token whose receipts were checked, if it is the next one of this request.
    fn accept_token(&mut self, route: &[Stage], token: &Token) -> Result<(), Cause> {
        let now = self.node.clock.now();
        if let Err(text) = self.progress.check(token, self.given.len() as u32) {
            return Err(self.record_violation(text));
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
                AttemptOutcome::Failed(Cause::from_fault(engine, fault))
            }
            StreamError::Layers(violation) => {
                AttemptOutcome::Failed(self.record_violation(violation.0))
            }
        }
    }

    fn call_failed(&self, error: CallError) -> AttemptOutcome {
        if self.time_left().is_zero() {
            return AttemptOutcome::DeadlinePassed;
        }
        AttemptOutcome::Failed(Cause::new(error, FailureSource::Unknown))
    }

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
        let remaining = self.request.max_tokens - self.given.len() as u32;
        if self.progress.interval * remaining <= MOVE_THRESHOLD {
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

    fn first_token_timeout(&self, plan: &Plan) -> Duration {
        let expected = self.node.view.borrow().expected_step(&plan.route);
        let is_first = self.given.is_empty();
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
