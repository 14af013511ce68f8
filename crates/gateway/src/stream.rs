//! Requests whose response is a stream of events that are forwarded as they arrive. A stream that
//! breaks is resumed by a further attempt, after the last event that the caller has.

use std::time::Duration;

use callers::{RoutedFailure, RoutedResponse};
use http::StatusCode;
use transport::{Body, BodyWriter, CallError, Events};
use types::Verdict;

use crate::{
    attempt::Attempts,
    buffered::failure_kind,
    lifecycle::ActiveRequest,
    stream_attempt::{MediaType, OpenStream, StreamFailure},
};

/// Time without an event after which a stream is overdue, if its route does not set one. Its
/// engines are then asked what the stream waits for.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(200);
/// How the forwarding of one attempt's stream ended.
enum ForwardOutcome {
    Complete,
    CallerGone,
    Broken(StreamFailure),
}

impl ActiveRequest {
    /// Sends the request until a stream begins, and returns a response whose body forwards it.
    pub(crate) async fn run_stream(self) -> Result<RoutedResponse, RoutedFailure> {
        self.run_stream_after(Attempts::default()).await
    }

    /// Like [`run_stream`](Self::run_stream), after the attempts of another node.
    pub(crate) async fn run_stream_after(
        self,
        mut attempts: Attempts,
    ) -> Result<RoutedResponse, RoutedFailure> {
        let stream = self.open(&mut attempts, self.resume_after, None).await?;
        let (status, headers) = (stream.status, stream.headers.clone());
        self.log.record_first_byte();
        if !StatusCode::from_u16(status).is_ok_and(|status| status.is_success()) {
            return self.forward_error_response(&mut attempts, stream).await;
        }
        let body = Body::streamed(move |writer| self.forward(attempts, stream, writer));
        Ok(RoutedResponse { status, headers, body })
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
                    // An engine that crashes may end its answer before the first event.
                    if self.has_begun.get() {
                        self.record_success(&stream.selection);
                    }
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
        let is_left = matches!(cause, StreamFailure::LeftPath);
        if is_left && last_event.is_none() {
            return Some(stream);
        }
        let may_retry = self.record_stream_failure(attempts, &stream.selection, &cause);
        let fallback = is_left.then_some(stream);
        if !may_retry || last_event.is_none() {
            return fallback;
        }
        let resumed = self.open(attempts, last_event, Some(media_type)).await.ok();
        if resumed.is_none() && fallback.is_some() {
            self.log.clear_end();
        }
        resumed.or(fallback)
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
                stream.selection.run.record_progress();
                if !writer.write(events.bytes).await {
                    return ForwardOutcome::CallerGone;
                }
            }
            if stream.ended {
                return ForwardOutcome::Complete;
            }
            let started = self.gateway.clock.now();
            if let Err(cause) = self.next_events(attempts, stream, max_gap).await {
                return ForwardOutcome::Broken(cause);
            }
            if let Some(watch) = &stream.selection.gap_watch {
                watch.record_wait(self.gateway.clock.now().since(started));
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
