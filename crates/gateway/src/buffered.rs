//! Requests whose response is read completely before any of it goes to the caller.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use callers::{RoutedFailure, RoutedResponse};
use clock::timeout;
use futures_util::future::{Either, select};
use http::HeaderMap;
use transport::{Body, CallError};
use types::{Failure, FailureKind, Verdict};
use upstreams::UpstreamResponse;

use crate::{
    attempt::Attempts,
    lifecycle::ActiveRequest,
    selection::{NoSelection, Selection},
    stopping::SHUTDOWN_RETRY_AFTER,
};

/// Least time that an upstream has for its response before an idempotent request may be sent to
/// another upstream.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest response that is buffered, in bytes. Several upstreams may send bytes without end at the
/// same time, to a node with a hundred megabytes of memory.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Lowest status of the server errors, by which an upstream reports a failure of its own.
const FIRST_SERVER_ERROR: u16 = 500;
/// Time after which a caller may retry when no upstream can serve its request.
pub(crate) const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A complete response with a valid signature of the upstream.
struct BufferedResponse {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
}

/// Why an attempt gave no response.
struct AttemptFailure {
    kind: FailureKind,
    verdict: Verdict,
    cause: String,
}

impl ActiveRequest {
    /// Sends the request, with retries, until an upstream answers it or it is given up.
    pub(crate) async fn run_buffered(self) -> Result<RoutedResponse, RoutedFailure> {
        self.run_buffered_after(Attempts::default()).await
    }

    /// Like [`run_buffered`](Self::run_buffered), after the attempts of another node.
    pub(crate) async fn run_buffered_after(
        self,
        mut attempts: Attempts,
    ) -> Result<RoutedResponse, RoutedFailure> {
        loop {
            if self.time_left().is_zero() {
                return Err(self.give_up(
                    &attempts,
                    FailureKind::Deadline,
                    "the deadline has passed",
                ));
            }
            let selection = match self.admit_or_relay(&attempts, attempts.selection_query()).await {
                Ok(selection) => selection,
                Err(reason) => return Err(self.no_selection_failure(&attempts, reason)),
            };
            attempts.count += 1;
            self.log.record_attempt(&selection.upstream.name);
            let sending = self.send_buffered(&attempts, &selection);
            let sent = self.gateway.until_end(|| self.gateway.answer_end(), sending).await;
            let buffered = match sent {
                None => return Err(self.give_up_running(&mut attempts)),
                Some(Ok(buffered)) => buffered,
                Some(Err(AttemptFailure { kind, verdict, cause })) => {
                    if let Some(relay) = &selection.relay {
                        if relay.is_unable() {
                            self.record_unable_node(&mut attempts, relay);
                            continue;
                        }
                        if let Some(failure) = relay.take_failure() {
                            return Err(self.end_relayed(failure));
                        }
                    }
                    if !self.record_failure(&mut attempts, &selection, &cause, verdict) {
                        return Err(self.give_up(&attempts, kind, &cause));
                    }
                    if verdict == Verdict::NotRun {
                        self.allow_refusing_replica(&mut attempts, &selection);
                    }
                    continue;
                }
            };
            self.log.record_entry(&selection);
            let BufferedResponse { status, headers, body } = buffered;
            if status < FIRST_SERVER_ERROR {
                self.record_success(&selection);
            } else {
                let cause = format!("answered with status {status}");
                if self.record_failure(&mut attempts, &selection, &cause, Verdict::MayHaveRun) {
                    continue;
                }
            }
            self.log.record_first_byte();
            self.log.end("answered", Verdict::Ran, status);
            return Ok(RoutedResponse { status, headers, body: Body::from(body) });
        }
    }

    /// Sends the request once and reads its complete response.
    async fn send_buffered(
        &self,
        attempts: &Attempts,
        selection: &Selection,
    ) -> Result<BufferedResponse, AttemptFailure> {
        let started = self.gateway.clock.now();
        let response = self.send_call(attempts, selection).await.map_err(|error| {
            self.avoid_after_error(selection, &error);
            if matches!(error, CallError::Timeout) {
                self.record_replica_timeout(selection, started);
            }
            let verdict = error.verdict();
            AttemptFailure { kind: failure_kind(&error), verdict, cause: error.to_string() }
        })?;
        self.gateway.record_bytes();
        self.observe_rate(selection, &response);
        let (status, signed) = (response.status, response.signed);
        if response.not_run {
            self.avoid_after_refusal(selection, &response);
            let cause = format!("refused with status {status}");
            return Err(AttemptFailure {
                kind: FailureKind::Overloaded,
                verdict: Verdict::NotRun,
                cause,
            });
        }
        // Checked before the body is read, which may have no end.
        if !signed {
            let cause = format!("answer with status {status} is not signed");
            return Err(AttemptFailure {
                kind: FailureKind::Upstream,
                verdict: Verdict::MayHaveRun,
                cause,
            });
        }
        let headers = response.headers.clone();
        let body = self.read_response_body(response).await.map_err(|error| {
            self.avoid_after_error(selection, &error);
            let verdict = Verdict::MayHaveRun;
            AttemptFailure { kind: failure_kind(&error), verdict, cause: error.to_string() }
        })?;
        // A failure of the replica's own is often fast, and says nothing about the time of answers.
        if status < FIRST_SERVER_ERROR {
            self.record_replica_answer(selection, started);
        }
        Ok(BufferedResponse { status, headers, body })
    }

    /// Sends the request and waits for the head of the response. After the time for an attempt, the
    /// call is abandoned if another replica may be tried; otherwise its replica, which may be silent
    /// for a while and go on, keeps its time until the deadline.
    async fn send_call(
        &self,
        attempts: &Attempts,
        selection: &Selection,
    ) -> Result<UpstreamResponse, CallError> {
        let call = self.call(selection, self.resume_after);
        let pending_call = selection.client.call(call, self.time_left());
        let attempt_timeout = self.route.latency_target.max(MIN_ATTEMPT_TIMEOUT);
        let sleep = pin!(async {
            let cut_off = pin!(self.lose_call(selection));
            select(self.gateway.clock.sleep(attempt_timeout), cut_off).await;
        });
        match select(pending_call, sleep).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) if self.may_try_another(attempts, selection) => {
                Err(CallError::Timeout)
            }
            Either::Right(((), pending_call)) => pending_call.await,
        }
    }

    /// Completes when a call of this node is likely to be lost, since the node is cut off so that open
    /// connections are silent.
    async fn lose_call(&self, selection: &Selection) {
        if selection.relay.is_none() {
            self.gateway.wait_until_cut_off().await;
        }
        if selection.relay.is_some() || !self.gateway.is_cut_off_silently() {
            std::future::pending().await
        }
    }

    /// Whether the request may be sent to another replica, or passed on to a node, while the current
    /// one does not answer.
    fn may_try_another(&self, attempts: &Attempts, selection: &Selection) -> bool {
        attempts.count < self.max_entries
            && self.has_retry_left(Verdict::MayHaveRun)
            && (self.may_relay(attempts)
                || self.has_other_replica(&attempts.avoided, &selection.upstream.name))
    }

    /// Reads the body of a response before the deadline. While there is no memory for it, nothing is
    /// read, so that the upstream waits too.
    pub(crate) async fn read_response_body(
        &self,
        mut response: UpstreamResponse,
    ) -> Result<Bytes, CallError> {
        let mut buffer = match response.body.stated_size() {
            Some(size) if size <= MAX_RESPONSE_BYTES => self.memory.exact_buffer(size),
            _ => self.memory.buffer(MAX_RESPONSE_BYTES),
        };
        while let Some(chunk) = response.body.next(self.time_left()).await? {
            if buffer.len() + chunk.len() > MAX_RESPONSE_BYTES {
                return Err(CallError::Malformed("the response exceeds the size limit".into()));
            }
            if !buffer.try_extend(&chunk) {
                let extending = buffer.extend_when_free(&chunk);
                timeout(&*self.gateway.clock, self.time_left(), extending)
                    .await
                    .map_err(|_| CallError::Timeout)?;
            }
        }
        Ok(buffer.freeze())
    }

    /// The failure of a request for which no upstreams could be selected.
    pub(crate) fn no_selection_failure(
        &self,
        attempts: &Attempts,
        reason: NoSelection,
    ) -> RoutedFailure {
        let (kind, message) = reason.failure();
        match reason {
            NoSelection::Poison => self.refuse_poison(attempts),
            NoSelection::Paused(until) => {
                let delay = until.since(self.gateway.clock.now());
                self.give_up_for(attempts, kind, message, delay)
            }
            NoSelection::Full | NoSelection::QueueFull | NoSelection::Late => {
                self.count_refused();
                self.give_up(attempts, kind, message)
            }
            NoSelection::NoUpstream | NoSelection::CutOff => self.give_up(attempts, kind, message),
            NoSelection::Stopping => {
                self.give_up_for(attempts, kind, message, SHUTDOWN_RETRY_AFTER)
            }
        }
    }

    /// The failure of a request that is given up after `attempts`.
    pub(crate) fn give_up(
        &self,
        attempts: &Attempts,
        kind: FailureKind,
        message: &str,
    ) -> RoutedFailure {
        let delay = match kind {
            FailureKind::Overloaded if attempts.verdict() == Verdict::NotRun => {
                self.capacity_retry_after()
            }
            _ => UNAVAILABLE_RETRY_AFTER,
        };
        self.give_up_for(attempts, kind, message, delay)
    }

    /// The failure of a request that another node has given up.
    pub(crate) fn end_relayed(&self, routed: RoutedFailure) -> RoutedFailure {
        let verdict = routed.failure.verdict;
        self.log.set_reason(&routed.failure.message);
        if let Some(delay) = routed.retry_after {
            self.log.set_retry_after(delay);
        }
        let outcome = if verdict == Verdict::NotRun { "refused" } else { "failed" };
        self.log.end(outcome, verdict, 0);
        routed
    }

    /// The failure of a request whose attempt still runs when a stopping node has to answer it.
    pub(crate) fn give_up_running(&self, attempts: &mut Attempts) -> RoutedFailure {
        attempts.possibly_run += 1;
        let (kind, message) = NoSelection::Stopping.failure();
        self.give_up(attempts, kind, message)
    }

    /// Like [`give_up`](Self::give_up). The caller may retry after `delay` if the request has not
    /// run.
    fn give_up_for(
        &self,
        attempts: &Attempts,
        kind: FailureKind,
        message: &str,
        delay: Duration,
    ) -> RoutedFailure {
        self.log.set_reason(message);
        let causes = self.log.causes();
        let message =
            if causes.is_empty() { message.to_owned() } else { format!("{message} ({causes})") };
        if attempts.verdict() == Verdict::NotRun {
            self.log.set_retry_after(delay);
            self.log.end("refused", Verdict::NotRun, 0);
            return RoutedFailure::retry_after(Failure::not_run(kind, message), delay);
        }
        self.log.end("failed", Verdict::MayHaveRun, 0);
        let kind = if kind == FailureKind::Deadline { kind } else { FailureKind::Upstream };
        Failure::new(kind, Verdict::MayHaveRun, message).into()
    }
}

/// The kind of failure that the caller gets for `error`. A call that timed out and one that failed
/// otherwise have different statuses.
pub(crate) fn failure_kind(error: &CallError) -> FailureKind {
    match error {
        CallError::Timeout => FailureKind::Deadline,
        _ => FailureKind::Upstream,
    }
}
