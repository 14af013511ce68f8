//! Requests whose answer is a stream of events, which go to the caller as they come. A stream that
//! breaks goes on with a new run after the last event that the caller has.

use std::{fmt, time::Duration};

use callers::{RoutedFailure, RoutedResponse};
use futures_util::future::{Either, select};
use http::{HeaderMap, StatusCode};
use transport::{Body, BodyWriter, CallError, EventSplitter, Events};
use types::{FailureKind, Verdict};
use upstreams::UpstreamResponse;

use crate::{
    admission::{Target, TargetQuery},
    attempt::Attempts,
    buffered::failure_kind,
    lifecycle::RequestRun,
};

/// Silence of a stream after which its engines are asked what it waits for, if the route states no
/// pause.
const DEFAULT_SILENCE: Duration = Duration::from_millis(200);
/// Share of the route's latency target after which the engines of a stream without any event are asked.
const FIRST_SILENCE_SHARE: f64 = 0.8;
/// Time between two checks of a stream that stays silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The same once the silence is longer than allowed, when each check also searches another path.
const LONG_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the allowed silence after which the first check is made. A stream that leaves a failed
/// engine now still sends its next event in time.
const FIRST_CHECK: f64 = 0.4;

/// A stream from an upstream that has sent its first events.
struct Opened {
    target: Target,
    status: u16,
    headers: HeaderMap,
    response: UpstreamResponse,
    splitter: EventSplitter,
    /// Events that were read and not yet passed on.
    ready: Option<Events>,
    /// Whether the stream ended with them.
    ended: bool,
}

/// How the forwarding of one run of a stream ended.
enum Pumped {
    Complete,
    CallerGone,
    Broken(Break),
}

/// Why a run of a stream does not go on.
enum Break {
    /// The call to the first engine failed.
    Call(CallError),
    /// An engine on the path failed, or is so slow that another path is better.
    Stage,
}

impl From<CallError> for Break {
    fn from(error: CallError) -> Break {
        Break::Call(error)
    }
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Break::Call(error) => error.fmt(f),
            Break::Stage => f.write_str("an engine on the path failed or is very slow"),
        }
    }
}

impl Break {
    fn kind(&self) -> FailureKind {
        match self {
            Break::Call(error) => failure_kind(error),
            Break::Stage => FailureKind::Upstream,
        }
    }
}

impl RequestRun {
    /// Runs the request until a stream begins, and returns it as the answer's body.
    pub(crate) async fn run_stream(self) -> Result<RoutedResponse, RoutedFailure> {
        let mut attempts = Attempts::default();
        let opened = self.open(&mut attempts, self.resume_after, false).await?;
        let (status, headers) = (opened.status, opened.headers.clone());
        self.log.first_byte();
        if !StatusCode::from_u16(status).is_ok_and(|status| status.is_success()) {
            return self.forward_refusal(&mut attempts, opened).await;
        }
        let body = Body::streamed(move |writer| self.forward(attempts, opened, writer));
        Ok(RoutedResponse { status, headers, body })
    }

    /// Sends the request until an upstream's stream has its first events.
    async fn open(
        &self,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
        is_resumed: bool,
    ) -> Result<Opened, RoutedFailure> {
        loop {
            if self.time_left().is_zero() {
                return Err(self.give_up(
                    attempts,
                    FailureKind::Deadline,
                    "the deadline has passed",
                ));
            }
            let entries = attempts.entries(self.route.max_attempts, None);
            // A request that may have run cannot be refused as not run: it waits for room as long as
            // a stream that has begun.
            let is_resumed = is_resumed || attempts.ran > 0;
            let query = TargetQuery { avoid: &attempts.failed, entries: &entries, is_resumed };
            let mut target = match self.admit(query).await {
                Ok(target) => target,
                Err(reason) => return Err(self.no_target(attempts, reason)),
            };
            target.next_entries =
                attempts.entries(self.route.max_attempts, Some(&target.upstream.name));
            target.leaves_slow = self.route.retry.allows_rerun() && attempts.count == 0;
            attempts.count += 1;
            self.log.sent(&target.upstream.name);
            let (target, response) = match self.send(target, resume_after).await {
                Ok(sent) => sent,
                Err((target, cause)) => {
                    self.fail_over(attempts, &target, cause)?;
                    continue;
                }
            };
            if response.not_run {
                self.suspect_after_refusal(&target, &response);
                let cause = format!("refused with status {}", response.status);
                if !self.record_failure(attempts, &target, &cause, Verdict::NotRun) {
                    return Err(self.give_up(attempts, FailureKind::Overloaded, &cause));
                }
                // A refusal is mostly due to another engine on the path, which is avoided now.
                attempts.failed.pop();
                continue;
            }
            if !response.signed {
                let cause = format!("answer with status {} is not signed", response.status);
                self.fail_over(attempts, &target, Break::Call(CallError::Malformed(cause)))?;
                continue;
            }
            let mut opened = Opened {
                target,
                status: response.status,
                headers: response.headers.clone(),
                response,
                splitter: EventSplitter::default(),
                ready: None,
                ended: false,
            };
            if opened.status >= StatusCode::BAD_REQUEST.as_u16() {
                return Ok(opened);
            }
            match self.next_events(&mut opened, self.first_silence()).await {
                Ok(()) => {
                    self.record_path(&opened.target);
                    return Ok(opened);
                }
                Err(cause) => self.fail_over(attempts, &opened.target, cause)?,
            }
        }
    }

    /// Notes a failed run. The error is the final failure of a request that cannot be sent again.
    fn fail_over(
        &self,
        attempts: &mut Attempts,
        target: &Target,
        cause: Break,
    ) -> Result<(), RoutedFailure> {
        if self.record_cause(attempts, target, &cause) {
            return Ok(());
        }
        Err(self.give_up(attempts, cause.kind(), &cause.to_string()))
    }

    /// Notes why a run failed. Returns whether the request may be sent again.
    fn record_cause(&self, attempts: &mut Attempts, target: &Target, cause: &Break) -> bool {
        let (verdict, entry_failed) = match cause {
            Break::Call(error) => {
                self.suspect_after_error(target, error);
                (error.verdict(), true)
            }
            Break::Stage => (Verdict::MayHaveRun, false),
        };
        let text = cause.to_string();
        if verdict == Verdict::NotRun || !self.route.retry.allows_rerun() {
            return self.record_failure(attempts, target, &text, verdict);
        }
        self.record_break(attempts, target, &text, entry_failed)
    }

    /// Sends the call and waits for the head of its answer, unless an engine on its path has failed.
    async fn send(
        &self,
        target: Target,
        resume_after: Option<u64>,
    ) -> Result<(Target, UpstreamResponse), (Target, Break)> {
        let client = target.client.clone();
        let call = self.call(&target, resume_after);
        let mut calling = client.call(call, self.time_left());
        let clock = &self.gateway.clock;
        let (started, silence) = (clock.now(), self.first_silence());
        let mut pause = silence.mul_f64(FIRST_CHECK);
        loop {
            let sleep = clock.sleep(pause);
            match select(calling, sleep).await {
                Either::Left((Ok(response), _)) => return Ok((target, response)),
                Either::Left((Err(error), _)) => return Err((target, Break::Call(error))),
                Either::Right(((), unfinished)) => calling = unfinished,
            }
            let is_long = clock.now().since(started) >= silence;
            if self.should_leave(&target, is_long) {
                drop(calling);
                return Err((target, Break::Stage));
            }
            pause = check_interval(is_long);
        }
    }

    /// Reads until there are whole events, or the stream ends.
    async fn next_events(&self, opened: &mut Opened, silence: Duration) -> Result<(), Break> {
        let started = self.gateway.clock.now();
        let mut pause = silence.mul_f64(FIRST_CHECK);
        loop {
            let left = self.time_left();
            if left.is_zero() {
                return Err(CallError::Timeout.into());
            }
            let part = {
                let sleep = self.gateway.clock.sleep(pause.min(left));
                match select(opened.response.body.next(left), sleep).await {
                    Either::Left((part, _)) => Some(part?),
                    Either::Right(((), _)) => None,
                }
            };
            match part {
                Some(Some(bytes)) => {
                    if let Some(events) = opened.splitter.push(&bytes)? {
                        opened.ready = Some(events);
                        return Ok(());
                    }
                }
                Some(None) if opened.splitter.is_between_events() => {
                    opened.ended = true;
                    return Ok(());
                }
                Some(None) => {
                    let cause = "the stream ended inside an event".to_owned();
                    return Err(CallError::Broken(cause).into());
                }
                None => {
                    let is_long = self.gateway.clock.now().since(started) >= silence;
                    if self.should_leave(&opened.target, is_long) {
                        return Err(Break::Stage);
                    }
                    pause = check_interval(is_long);
                }
            }
        }
    }

    /// Passes the events on until the stream has ended, and resumes it when it breaks.
    async fn forward(self, mut attempts: Attempts, mut opened: Opened, mut writer: BodyWriter) {
        let mut last = self.resume_after;
        loop {
            let cause = match self.pump(&mut opened, &mut last, &mut writer).await {
                Pumped::Complete => {
                    self.record_success(&opened.target);
                    self.log.end("answered", Verdict::Ran, opened.status);
                    return;
                }
                Pumped::CallerGone => return,
                Pumped::Broken(cause) => cause,
            };
            let again = self.record_cause(&mut attempts, &opened.target, &cause);
            drop(opened);
            let resumed = if again && last.is_some() {
                self.open(&mut attempts, last, true).await.ok()
            } else {
                None
            };
            match resumed {
                Some(next) if next.status < StatusCode::BAD_REQUEST.as_u16() => opened = next,
                _ => {
                    self.log.end("broken-off", Verdict::MayHaveRun, 0);
                    writer.abort().await;
                    return;
                }
            }
        }
    }

    async fn pump(
        &self,
        opened: &mut Opened,
        last: &mut Option<u64>,
        writer: &mut BodyWriter,
    ) -> Pumped {
        let silence = self.route.max_gap.unwrap_or(DEFAULT_SILENCE);
        loop {
            if let Some(events) = opened.ready.take() {
                if let Err(error) = check_order(&events, last) {
                    return Pumped::Broken(error.into());
                }
                self.gateway.metrics.events.inc_by(events.numbers.len() as u64);
                if !writer.write(events.bytes).await {
                    return Pumped::CallerGone;
                }
            }
            if opened.ended {
                return Pumped::Complete;
            }
            if let Err(cause) = self.next_events(opened, silence).await {
                return Pumped::Broken(cause);
            }
        }
    }

    /// Passes on an upstream's own failure.
    async fn forward_refusal(
        &self,
        attempts: &mut Attempts,
        opened: Opened,
    ) -> Result<RoutedResponse, RoutedFailure> {
        let Opened { status, headers, response, .. } = opened;
        match self.read_response_body(response).await {
            Ok(body) => {
                self.log.end("answered", Verdict::Ran, status);
                Ok(RoutedResponse { status, headers, body: Body::from(body) })
            }
            Err(error) => {
                attempts.ran += 1;
                Err(self.give_up(attempts, failure_kind(&error), &error.to_string()))
            }
        }
    }

    fn first_silence(&self) -> Duration {
        self.route.latency_target.mul_f64(FIRST_SILENCE_SHARE)
    }
}

/// Time until the next check of a silent stream.
fn check_interval(is_long: bool) -> Duration {
    if is_long { LONG_CHECK_INTERVAL } else { CHECK_INTERVAL }
}

/// Checks that the numbers of events go on after the last one.
fn check_order(events: &Events, last: &mut Option<u64>) -> Result<(), CallError> {
    for number in events.numbers.iter().flatten() {
        if last.is_some_and(|known| *number <= known) {
            return Err(CallError::Malformed(format!("event {number} came out of order")));
        }
        *last = Some(*number);
    }
    Ok(())
}
