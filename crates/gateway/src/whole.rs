//! Requests whose answer is read as a whole before any of it goes to the caller.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use callers::{RoutedFailure, RoutedReply};
use transport::{Body, CallError};
use types::{Failure, FailureKind, Verdict};
use upstreams::Answer;

use crate::{
    admission::{NoTarget, ROOM_RETRY},
    attempt::Sends,
    lifecycle::Run,
};

/// Least time that an upstream gets for an answer before an idempotent request is sent to another
/// one.
const MIN_PATIENCE: Duration = Duration::from_millis(250);
/// Largest answer that is read as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// First status of those by which an upstream reports a failure of its own.
const FIRST_SERVER_ERROR: u16 = 500;
/// Time after which a caller may come back when no upstream can serve it.
pub(crate) const ABSENT_RETRY: Duration = Duration::from_secs(1);

impl Run {
    /// Runs the request until an upstream answers it.
    pub(crate) async fn whole(self) -> Result<RoutedReply, RoutedFailure> {
        let mut sends = Sends::default();
        loop {
            if self.left().is_zero() {
                return Err(self.give_up(&sends, FailureKind::Deadline, "the deadline has passed"));
            }
            let target = match self.admit(sends.wanted()).await {
                Ok(target) => target,
                Err(reason) => return Err(self.no_target(&sends, reason)),
            };
            sends.count += 1;
            self.log.sent(&target.upstream.name);
            let again = self.route.repeat.allows_rerun() && sends.count < self.route.attempts;
            let patience = if again {
                self.left().min(self.route.goal.max(MIN_PATIENCE))
            } else {
                self.left()
            };
            let call = self.call(&target, self.resume_after);
            let answer = match target.client.call(call, patience).await {
                Ok(answer) => answer,
                Err(error) => {
                    self.blame_error(&target, &error);
                    let cause = error.to_string();
                    if !self.note_failure(&mut sends, &target, &cause, error.verdict()) {
                        return Err(self.give_up(&sends, failure_kind(&error), &cause));
                    }
                    continue;
                }
            };
            if answer.not_run {
                self.blame_refusal(&target, &answer);
                let cause = format!("refused with status {}", answer.status);
                if !self.note_failure(&mut sends, &target, &cause, Verdict::NotRun) {
                    return Err(self.give_up(&sends, FailureKind::Overloaded, &cause));
                }
                continue;
            }
            let (status, headers, signed) = (answer.status, answer.headers.clone(), answer.signed);
            let body = match self.read_whole(answer).await {
                Ok(body) if signed => body,
                Ok(_) => {
                    let cause = format!("answer with status {status} is not signed");
                    if !self.note_failure(&mut sends, &target, &cause, Verdict::MayHaveRun) {
                        return Err(self.give_up(&sends, FailureKind::Upstream, &cause));
                    }
                    continue;
                }
                Err(error) => {
                    self.blame_error(&target, &error);
                    let cause = error.to_string();
                    if !self.note_failure(&mut sends, &target, &cause, Verdict::MayHaveRun) {
                        return Err(self.give_up(&sends, failure_kind(&error), &cause));
                    }
                    continue;
                }
            };
            if status >= FIRST_SERVER_ERROR {
                let cause = format!("answered with status {status}");
                if self.note_failure(&mut sends, &target, &cause, Verdict::MayHaveRun) {
                    continue;
                }
            } else {
                self.gateway.health.borrow_mut().succeed(&target.upstream.name);
                self.gateway.crashes.borrow_mut().clear(self.fingerprint);
            }
            self.log.first_byte();
            self.log.end("answered", Verdict::Ran, status);
            return Ok(RoutedReply { status, headers, body: Body::from(body) });
        }
    }

    /// Reads the body of an answer before the deadline.
    async fn read_whole(&self, mut answer: Answer) -> Result<Bytes, CallError> {
        let mut whole = BytesMut::new();
        while let Some(part) = answer.body.next(self.left()).await? {
            whole.extend_from_slice(&part);
            if whole.len() > MAX_ANSWER_BYTES {
                return Err(CallError::Malformed("the answer exceeds its bound".into()));
            }
        }
        Ok(whole.freeze())
    }

    /// The failure of a request for which no upstream was found.
    pub(crate) fn no_target(&self, sends: &Sends, reason: NoTarget) -> RoutedFailure {
        let (kind, message) = match reason {
            NoTarget::Full => (FailureKind::Overloaded, "the upstreams have no room"),
            NoTarget::None => (FailureKind::Unavailable, "no upstream can serve the request"),
        };
        self.give_up(sends, kind, message)
    }

    /// The failure of a request that is given up after `sends`.
    pub(crate) fn give_up(&self, sends: &Sends, kind: FailureKind, message: &str) -> RoutedFailure {
        let causes = self.log.causes();
        let message =
            if causes.is_empty() { message.to_owned() } else { format!("{message} ({causes})") };
        if sends.verdict() == Verdict::NotRun {
            let after = match kind {
                FailureKind::Overloaded => ROOM_RETRY,
                _ => ABSENT_RETRY,
            };
            self.log.end("refused", Verdict::NotRun, 0);
            return self.not_run(kind, &message, after);
        }
        self.log.end("failed", Verdict::MayHaveRun, 0);
        let kind = if kind == FailureKind::Deadline { kind } else { FailureKind::Upstream };
        Failure::new(kind, Verdict::MayHaveRun, message).into()
    }
}

/// A call that was not answered before the deadline and one that failed have different statuses.
pub(crate) fn failure_kind(error: &CallError) -> FailureKind {
    match error {
        CallError::Timeout => FailureKind::Deadline,
        _ => FailureKind::Upstream,
    }
}
