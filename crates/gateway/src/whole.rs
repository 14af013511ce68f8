//! Requests whose answer is read as a whole before any of it goes to the caller.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use callers::{RoutedFailure, RoutedReply};
use http::HeaderMap;
use transport::{Body, CallError};
use types::{Failure, FailureKind, Verdict};
use upstreams::Answer;

use crate::{
    admission::{NoTarget, ROOM_RETRY, Target},
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

/// A whole answer that bears the upstream's signature.
struct Whole {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
}

/// Why a send led to no answer.
struct Miss {
    kind: FailureKind,
    verdict: Verdict,
    cause: String,
}

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
            let whole = match self.send_whole(&sends, &target).await {
                Ok(whole) => whole,
                Err(Miss { kind, verdict, cause }) => {
                    if !self.note_failure(&mut sends, &target, &cause, verdict) {
                        return Err(self.give_up(&sends, kind, &cause));
                    }
                    continue;
                }
            };
            let Whole { status, headers, body } = whole;
            if status < FIRST_SERVER_ERROR {
                self.note_success(&target);
            } else {
                let cause = format!("answered with status {status}");
                if self.note_failure(&mut sends, &target, &cause, Verdict::MayHaveRun) {
                    continue;
                }
            }
            self.log.first_byte();
            self.log.end("answered", Verdict::Ran, status);
            return Ok(RoutedReply { status, headers, body: Body::from(body) });
        }
    }

    /// Sends the request once and reads its whole answer.
    async fn send_whole(&self, sends: &Sends, target: &Target) -> Result<Whole, Miss> {
        let again = self.route.retry.allows_rerun() && sends.count < self.route.max_attempts;
        let patience = if again {
            self.left().min(self.route.latency_target.max(MIN_PATIENCE))
        } else {
            self.left()
        };
        let call = self.call(target, self.resume_after);
        let answer = target.client.call(call, patience).await.map_err(|error| {
            self.blame_error(target, &error);
            let verdict = error.verdict();
            Miss { kind: failure_kind(&error), verdict, cause: error.to_string() }
        })?;
        let (status, signed) = (answer.status, answer.signed);
        if answer.not_run {
            self.blame_refusal(target, &answer);
            let cause = format!("refused with status {status}");
            return Err(Miss { kind: FailureKind::Overloaded, verdict: Verdict::NotRun, cause });
        }
        let headers = answer.headers.clone();
        let body = self.read_whole(answer).await.map_err(|error| {
            self.blame_error(target, &error);
            let verdict = Verdict::MayHaveRun;
            Miss { kind: failure_kind(&error), verdict, cause: error.to_string() }
        })?;
        if !signed {
            let cause = format!("answer with status {status} is not signed");
            return Err(Miss { kind: FailureKind::Upstream, verdict: Verdict::MayHaveRun, cause });
        }
        Ok(Whole { status, headers, body })
    }

    /// Reads the body of an answer before the deadline.
    pub(crate) async fn read_whole(&self, mut answer: Answer) -> Result<Bytes, CallError> {
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
        self.log.given_up(message);
        let causes = self.log.causes();
        let message =
            if causes.is_empty() { message.to_owned() } else { format!("{message} ({causes})") };
        if sends.verdict() == Verdict::NotRun {
            let after = match kind {
                FailureKind::Overloaded => ROOM_RETRY,
                _ => ABSENT_RETRY,
            };
            self.log.end("refused", Verdict::NotRun, 0);
            return RoutedFailure::retry_after(Failure::not_run(kind, message), after);
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
