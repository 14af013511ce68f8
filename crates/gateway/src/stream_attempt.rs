//! Attempts to open a stream at an upstream, and what the wait for its next events may end with.

use std::{fmt, time::Duration};

use callers::RoutedFailure;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use transport::{CallError, EventSplitter, Events};
use types::{FailureKind, Verdict};
use upstreams::UpstreamResponse;

use crate::{
    attempt::Attempts,
    buffered::failure_kind,
    lifecycle::ActiveRequest,
    selection::{Selection, SelectionQuery},
};

/// Time after which a stream without its first event is overdue, as a share of the route's latency
/// target.
const FIRST_EVENT_SHARE: f64 = 0.8;
/// Time between two checks of a silent stream that is not overdue.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two checks of an overdue stream. Each of these checks also searches for another
/// path.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time until the first check, as a share of the time after which the stream is overdue. A stream
/// that leaves a failed engine at this check still gets its next event in time.
const FIRST_CHECK_SHARE: f64 = 0.4;

/// A stream from an upstream, of which the first events or an error status have arrived.
pub(crate) struct OpenStream {
    pub(crate) selection: Selection,
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) response: UpstreamResponse,
    splitter: EventSplitter,
    /// Events that were read and not forwarded yet.
    pub(crate) unforwarded: Option<Events>,
    /// Whether the stream ended after `unforwarded`.
    pub(crate) ended: bool,
}

/// Why an attempt at a stream failed.
pub(crate) enum StreamFailure {
    /// The call to the entry upstream failed.
    Call(CallError),
    /// The request has left its path: an engine on the path may have failed, or is so slow that
    /// another path is better.
    LeftPath,
    /// The process of an engine on the path has ended.
    LostPath,
    /// An upstream that should continue a broken stream answered with something else.
    NotContinued(String),
}

impl From<CallError> for StreamFailure {
    fn from(error: CallError) -> StreamFailure {
        StreamFailure::Call(error)
    }
}

impl fmt::Display for StreamFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamFailure::Call(error) => error.fmt(f),
            StreamFailure::LeftPath => f.write_str("an engine on the path is silent or very slow"),
            StreamFailure::LostPath => f.write_str("an engine on the path has ended"),
            StreamFailure::NotContinued(answer) => {
                write!(f, "answered with {answer} instead of the rest of the stream")
            }
        }
    }
}

impl StreamFailure {
    fn kind(&self) -> FailureKind {
        match self {
            StreamFailure::Call(error) => failure_kind(error),
            StreamFailure::LeftPath | StreamFailure::LostPath | StreamFailure::NotContinued(_) => {
                FailureKind::Upstream
            }
        }
    }
}

/// Media type of a response.
pub(crate) struct MediaType(Option<HeaderValue>);

impl MediaType {
    /// The media type that the headers of a response state.
    pub(crate) fn of(headers: &HeaderMap) -> MediaType {
        MediaType(headers.get(header::CONTENT_TYPE).cloned())
    }

    /// The type without its parameters; empty if the response does not state it.
    fn essence(&self) -> &[u8] {
        let value = self.0.as_ref().map_or(&[][..], |value| value.as_bytes());
        value.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii()
    }

    fn is_same(&self, other: &MediaType) -> bool {
        self.essence().eq_ignore_ascii_case(other.essence())
    }
}

impl ActiveRequest {
    /// Sends the request, with retries, until an upstream's stream has its first events or an
    /// upstream answers with an error status. Fails if the request is given up. If the caller already
    /// has a part of a stream, of the media type `continued`, only a stream that continues it is
    /// returned.
    pub(crate) async fn open(
        &self,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
        continued: Option<&MediaType>,
    ) -> Result<OpenStream, RoutedFailure> {
        loop {
            if self.time_left().is_zero() {
                return Err(self.give_up(
                    attempts,
                    FailureKind::Deadline,
                    "the deadline has passed",
                ));
            }
            let allowed_entries = self.allowed_entries(attempts, None);
            // A request that may have run cannot be refused as "not run", so it waits for capacity
            // as long as a stream that the caller already has a part of.
            let is_resumed = continued.is_some() || attempts.possibly_run > 0;
            let query = SelectionQuery {
                allowed_entries: &allowed_entries,
                is_resumed,
                ..SelectionQuery::default()
            };
            let mut selection = match self.admit_unless_entry_ends(attempts, query).await {
                Some(Ok(selection)) => selection,
                Some(Err(reason)) => return Err(self.no_selection_failure(attempts, reason)),
                None => continue,
            };
            selection.may_leave_slow = self.route.retry.allows_rerun() && attempts.count == 0;
            selection.has_refused = attempts.refusing_entries.contains(&selection.upstream.name);
            attempts.count += 1;
            self.log.record_attempt(&selection.upstream.name);
            let answer_end = || self.gateway.answer_end();
            let sending = self.send(attempts, selection, resume_after);
            let sent = self.gateway.until_end(answer_end, sending).await;
            let (selection, response) = match sent {
                None => return Err(self.give_up_running(attempts)),
                Some(Ok(sent)) => sent,
                Some(Err((selection, cause))) => {
                    self.retry_or_give_up(attempts, &selection, cause)?;
                    continue;
                }
            };
            self.observe_rate(&selection, &response);
            if let Some(relay) = &selection.relay {
                if relay.is_unable() {
                    self.record_unable_node(attempts, relay);
                    continue;
                }
                if let Some(failure) = relay.take_failure() {
                    return Err(self.end_relayed(failure));
                }
            }
            if response.not_run {
                self.avoid_after_refusal(&selection, &response);
                let cause = format!("refused with status {}", response.status);
                if !self.record_failure(attempts, &selection, &cause, Verdict::NotRun) {
                    return Err(self.give_up(attempts, FailureKind::Overloaded, &cause));
                }
                // A refusal is mostly caused by another engine on the path, which is avoided now,
                // so the entry upstream remains usable.
                attempts.refusing_entries.extend(attempts.avoided.pop());
                continue;
            }
            if !response.signed {
                let cause = format!("answer with status {} is not signed", response.status);
                self.retry_or_give_up(
                    attempts,
                    &selection,
                    StreamFailure::Call(CallError::Malformed(cause)),
                )?;
                continue;
            }
            self.log.record_entry(&selection);
            let mut stream = OpenStream {
                selection,
                status: response.status,
                headers: response.headers.clone(),
                response,
                splitter: EventSplitter::default(),
                unforwarded: None,
                ended: false,
            };
            if continued.is_none() && stream.status >= StatusCode::BAD_REQUEST.as_u16() {
                return Ok(stream);
            }
            let reading = self.first_events(attempts, &mut stream, continued);
            match self.gateway.until_end(answer_end, reading).await {
                None => return Err(self.give_up_running(attempts)),
                Some(Ok(())) => {
                    if stream.unforwarded.is_some() {
                        stream.selection.unread.record_event();
                        self.record_path_acceptance(&stream.selection);
                    }
                    return Ok(stream);
                }
                Some(Err(cause)) => self.retry_or_give_up(attempts, &stream.selection, cause)?,
            }
        }
    }

    /// Records a failed attempt. Returns the final failure if the request may not be retried.
    fn retry_or_give_up(
        &self,
        attempts: &mut Attempts,
        selection: &Selection,
        cause: StreamFailure,
    ) -> Result<(), RoutedFailure> {
        if self.record_stream_failure(attempts, selection, &cause) {
            return Ok(());
        }
        Err(self.give_up(attempts, cause.kind(), &cause.to_string()))
    }

    /// Records why an attempt failed. Returns whether the request may be retried, and if so takes a
    /// retry from the budget.
    pub(crate) fn record_stream_failure(
        &self,
        attempts: &mut Attempts,
        selection: &Selection,
        cause: &StreamFailure,
    ) -> bool {
        selection.run.record_failure();
        let (verdict, entry_failed) = match cause {
            StreamFailure::Call(error) => {
                self.avoid_after_error(selection, error);
                (error.verdict(), true)
            }
            StreamFailure::LeftPath | StreamFailure::LostPath | StreamFailure::NotContinued(_) => {
                (Verdict::MayHaveRun, false)
            }
        };
        let text = cause.to_string();
        if verdict == Verdict::NotRun || !self.route.retry.allows_rerun() {
            return self.record_failure(attempts, selection, &text, verdict);
        }
        self.record_resumable_failure(attempts, selection, &text, entry_failed)
    }

    /// Sends the call and waits for the head of the response. Fails as soon as an engine on the
    /// path is known to have failed.
    async fn send(
        &self,
        attempts: &Attempts,
        selection: Selection,
        resume_after: Option<u64>,
    ) -> Result<(Selection, UpstreamResponse), (Selection, StreamFailure)> {
        let client = selection.client.clone();
        let call = self.call(&selection, resume_after);
        let mut pending_call = client.call(call, self.time_left());
        let clock = &self.gateway.clock;
        let (started, max_gap) = (clock.now(), self.first_event_limit());
        let mut until_check = max_gap.mul_f64(FIRST_CHECK_SHARE);
        loop {
            let sleep = clock.sleep(until_check);
            match select(pending_call, sleep).await {
                Either::Left((Ok(response), _)) => {
                    self.gateway.record_bytes();
                    return Ok((selection, response));
                }
                Either::Left((Err(error), _)) => {
                    return Err((selection, StreamFailure::Call(error)));
                }
                Either::Right(((), unfinished)) => pending_call = unfinished,
            }
            let is_overdue = clock.now().since(started) >= max_gap;
            if let Some(cause) = self.reason_to_leave(attempts, &selection, is_overdue) {
                drop(pending_call);
                return Err((selection, cause));
            }
            until_check = check_interval(is_overdue);
        }
    }

    /// Reads the first events of a stream. One that should continue a stream of the media type
    /// `continued` is a failure if it has no events: the caller would take its stream for complete.
    async fn first_events(
        &self,
        attempts: &Attempts,
        stream: &mut OpenStream,
        continued: Option<&MediaType>,
    ) -> Result<(), StreamFailure> {
        let Some(media_type) = continued else {
            return self.next_events(attempts, stream, self.first_event_limit()).await;
        };
        let status = stream.status;
        let is_success = StatusCode::from_u16(status).is_ok_and(|status| status.is_success());
        if !is_success {
            return Err(StreamFailure::NotContinued(format!("status {status}")));
        }
        if !MediaType::of(&stream.headers).is_same(media_type) {
            return Err(StreamFailure::NotContinued("another media type".into()));
        }
        self.next_events(attempts, stream, self.first_event_limit()).await?;
        if stream.unforwarded.is_none() {
            return Err(StreamFailure::NotContinued("no events".into()));
        }
        Ok(())
    }

    /// Reads until there are complete events or the stream ends. After `max_gap` without an event,
    /// the stream is overdue.
    pub(crate) async fn next_events(
        &self,
        attempts: &Attempts,
        stream: &mut OpenStream,
        max_gap: Duration,
    ) -> Result<(), StreamFailure> {
        let started = self.gateway.clock.now();
        let mut until_check = max_gap.mul_f64(FIRST_CHECK_SHARE);
        loop {
            let time_left = self.time_left();
            if time_left.is_zero() {
                return Err(CallError::Timeout.into());
            }
            let received = {
                let sleep = self.gateway.clock.sleep(until_check.min(time_left));
                match select(stream.response.body.next(time_left), sleep).await {
                    Either::Left((received, _)) => Some(received?),
                    Either::Right(((), _)) => None,
                }
            };
            match received {
                Some(Some(bytes)) => {
                    self.gateway.record_bytes();
                    if let Some(events) = stream.splitter.push(&bytes)? {
                        stream.unforwarded = Some(events);
                        return Ok(());
                    }
                }
                Some(None) if stream.splitter.is_between_events() => {
                    stream.ended = true;
                    return Ok(());
                }
                Some(None) => {
                    let cause = "the stream ended inside an event".to_owned();
                    return Err(CallError::Broken(cause).into());
                }
                None => {
                    let is_overdue = self.gateway.clock.now().since(started) >= max_gap;
                    if let Some(cause) =
                        self.reason_to_leave(attempts, &stream.selection, is_overdue)
                    {
                        return Err(cause);
                    }
                    until_check = check_interval(is_overdue);
                }
            }
        }
    }

    fn first_event_limit(&self) -> Duration {
        self.route.latency_target.mul_f64(FIRST_EVENT_SHARE)
    }
}

/// Time until the next check of a silent stream.
fn check_interval(is_overdue: bool) -> Duration {
    if is_overdue { OVERDUE_CHECK_INTERVAL } else { CHECK_INTERVAL }
}
