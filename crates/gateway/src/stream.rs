//! Requests whose response is a stream of events that are forwarded as they arrive. A stream that
//! breaks is resumed by a further attempt, after the last event that the caller has.

use std::{fmt, time::Duration};

use callers::{RoutedFailure, RoutedResponse};
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use transport::{Body, BodyWriter, CallError, EventSplitter, Events};
use types::{FailureKind, Verdict};
use upstreams::UpstreamResponse;

use crate::{
    admission::{Selection, SelectionQuery},
    attempt::Attempts,
    buffered::failure_kind,
    lifecycle::ActiveRequest,
};

/// Time without an event after which a stream is overdue, if its route does not set one. Its
/// engines are then asked what the stream waits for.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(200);
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
struct OpenStream {
    selection: Selection,
    status: u16,
    headers: HeaderMap,
    response: UpstreamResponse,
    splitter: EventSplitter,
    /// Events that were read and not forwarded yet.
    unforwarded: Option<Events>,
    /// Whether the stream ended after `unforwarded`.
    ended: bool,
}

/// How the forwarding of one attempt's stream ended.
enum ForwardOutcome {
    Complete,
    CallerGone,
    Broken(StreamFailure),
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
struct MediaType(Option<HeaderValue>);

impl MediaType {
    fn of(headers: &HeaderMap) -> MediaType {
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
    /// Sends the request until a stream begins, and returns a response whose body forwards it.
    pub(crate) async fn run_stream(self) -> Result<RoutedResponse, RoutedFailure> {
        let mut attempts = Attempts::default();
        let stream = self.open(&mut attempts, self.resume_after, None).await?;
        let (status, headers) = (stream.status, stream.headers.clone());
        self.log.record_first_byte();
        if !StatusCode::from_u16(status).is_ok_and(|status| status.is_success()) {
            return self.forward_error_response(&mut attempts, stream).await;
        }
        let body = Body::streamed(move |writer| self.forward(attempts, stream, writer));
        Ok(RoutedResponse { status, headers, body })
    }

    /// Sends the request, with retries, until an upstream's stream has its first events or an
    /// upstream answers with an error status. Fails if the request is given up. If the caller already
    /// has a part of a stream, of the media type `continued`, only a stream that continues it is
    /// returned.
    async fn open(
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
            let allowed_entries = attempts.allowed_entries(self.route.max_entries, None);
            // A request that may have run cannot be refused as "not run", so it waits for capacity
            // as long as a stream that the caller already has a part of.
            let is_resumed = continued.is_some() || attempts.possibly_run > 0;
            let query = SelectionQuery {
                avoid: &attempts.avoided,
                allowed_entries: &allowed_entries,
                is_resumed,
                ..SelectionQuery::default()
            };
            let mut selection = match self.admit(query).await {
                Ok(selection) => selection,
                Err(reason) => return Err(self.no_selection_failure(attempts, reason)),
            };
            selection.may_leave_slow = self.route.retry.allows_rerun() && attempts.count == 0;
            selection.has_refused = attempts.refusing_entries.contains(&selection.upstream.name);
            attempts.count += 1;
            self.log.record_attempt(&selection.upstream.name);
            let sent = self.send(attempts, selection, resume_after).await;
            let (selection, response) = match sent {
                Ok(sent) => sent,
                Err((selection, cause)) => {
                    self.retry_or_give_up(attempts, &selection, cause)?;
                    continue;
                }
            };
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
            match self.first_events(attempts, &mut stream, continued).await {
                Ok(()) => {
                    self.record_path_acceptance(&stream.selection);
                    return Ok(stream);
                }
                Err(cause) => self.retry_or_give_up(attempts, &stream.selection, cause)?,
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
    fn record_stream_failure(
        &self,
        attempts: &mut Attempts,
        selection: &Selection,
        cause: &StreamFailure,
    ) -> bool {
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
                Either::Left((Ok(response), _)) => return Ok((selection, response)),
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
    async fn next_events(
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

    /// Forwards events until the stream has ended, and resumes the stream when it breaks or leaves
    /// its path.
    async fn forward(self, mut attempts: Attempts, mut stream: OpenStream, mut writer: BodyWriter) {
        let mut last_event = self.resume_after;
        let media_type = MediaType::of(&stream.headers);
        loop {
            let forwarded =
                self.forward_events(&attempts, &mut stream, &mut last_event, &mut writer).await;
            let cause = match forwarded {
                ForwardOutcome::Complete => {
                    self.record_success(&stream.selection);
                    self.log.end("answered", Verdict::Ran, stream.status);
                    return;
                }
                ForwardOutcome::CallerGone => return,
                ForwardOutcome::Broken(cause) => cause,
            };
            let resumed = self.resume(&mut attempts, stream, cause, last_event, &media_type).await;
            match resumed {
                Some(next) => stream = next,
                None => {
                    self.log.end("broken-off", Verdict::MayHaveRun, 0);
                    writer.abort().await;
                    return;
                }
            }
        }
    }

    /// Resumes a stream after `last_event` by another attempt. If none succeeds, a stream that only
    /// left its path is returned as it is, since its engines may go on. Returns `None` if the stream
    /// cannot be continued.
    async fn resume(
        &self,
        attempts: &mut Attempts,
        stream: OpenStream,
        cause: StreamFailure,
        last_event: Option<u64>,
        media_type: &MediaType,
    ) -> Option<OpenStream> {
        let may_retry = self.record_stream_failure(attempts, &stream.selection, &cause);
        let fallback = matches!(cause, StreamFailure::LeftPath).then_some(stream);
        if !may_retry || last_event.is_none() {
            return fallback;
        }
        self.open(attempts, last_event, Some(media_type)).await.ok().or(fallback)
    }

    async fn forward_events(
        &self,
        attempts: &Attempts,
        stream: &mut OpenStream,
        last_event: &mut Option<u64>,
        writer: &mut BodyWriter,
    ) -> ForwardOutcome {
        let max_gap = self.route.max_gap.unwrap_or(DEFAULT_MAX_GAP);
        loop {
            if let Some(events) = stream.unforwarded.take() {
                if let Err(error) = check_event_order(&events, last_event) {
                    return ForwardOutcome::Broken(error.into());
                }
                self.gateway.metrics.events.inc_by(events.numbers.len() as u64);
                if !writer.write(events.bytes).await {
                    return ForwardOutcome::CallerGone;
                }
            }
            if stream.ended {
                return ForwardOutcome::Complete;
            }
            if let Err(cause) = self.next_events(attempts, stream, max_gap).await {
                return ForwardOutcome::Broken(cause);
            }
        }
    }

    /// Forwards an error response of an upstream.
    async fn forward_error_response(
        &self,
        attempts: &mut Attempts,
        stream: OpenStream,
    ) -> Result<RoutedResponse, RoutedFailure> {
        let OpenStream { status, headers, response, .. } = stream;
        match self.read_response_body(response).await {
            Ok(body) => {
                self.log.end("answered", Verdict::Ran, status);
                Ok(RoutedResponse { status, headers, body: Body::from(body) })
            }
            Err(error) => {
                attempts.possibly_run += 1;
                Err(self.give_up(attempts, failure_kind(&error), &error.to_string()))
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

/// Checks that event numbers increase from the last event on, which is updated.
fn check_event_order(events: &Events, last_event: &mut Option<u64>) -> Result<(), CallError> {
    for number in events.numbers.iter().flatten() {
        if last_event.is_some_and(|previous| *number <= previous) {
            return Err(CallError::Malformed(format!("event {number} came out of order")));
        }
        *last_event = Some(*number);
    }
    Ok(())
}
