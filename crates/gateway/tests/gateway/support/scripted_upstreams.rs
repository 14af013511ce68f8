//! Upstreams that respond as scripted.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use catalog::Upstream;
use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderMap, HeaderValue, header};
use transport::CallError;
use upstreams::{
    Call, Connector, EngineReport, LoadOrder, OrderOutcome, UpstreamObserver, UpstreamResponse,
};

use super::{
    ready,
    scripted_body::{BodyPart, ScriptedBody, events},
};

/// What an upstream does with its next call.
#[derive(Clone, Debug)]
pub enum Step {
    /// It answers with this status and body.
    Answer(u16, &'static str),
    /// It answers with status 200 and this body after a pause.
    AnswerAfter { pause: Duration, body: &'static str },
    /// It answers without a signature.
    Unsigned(u16),
    /// It answers with this status, and with bytes that are no answer and have no end.
    Endless { status: u16, signed: bool },
    /// It states that it did not run the call.
    Refuse(u16),
    /// It states that the call did not run because the engine at this address refused it.
    RefuseAt(&'static str),
    /// It refuses the call after a while and asks for a pause.
    RefuseAfter { wait: Duration, pause: Duration },
    /// The connection cannot be opened, so the call is not sent.
    Unreachable,
    /// Nothing listens at its address, so the call is not sent.
    ConnectRefused,
    /// The connection breaks after the call was sent.
    Broken,
    /// A stream of events with these numbers, which then ends.
    Events(Vec<u64>),
    /// A stream of events with these numbers, which then breaks inside an event.
    EventsThenBroken(Vec<u64>),
    /// A stream of events with these numbers, which then ends inside an event without an error, as
    /// a stream without length may.
    EventsThenCut(Vec<u64>),
    /// A stream of events with these numbers, which breaks after a pause.
    EventsThenLateBreak { numbers: Vec<u64>, pause: Duration },
    /// A stream of events with these numbers. After a pause its process stops, and the stream breaks.
    EventsThenCrash { numbers: Vec<u64>, pause: Duration },
    /// A stream of events with these numbers, which then stays silent.
    EventsThenSilence(Vec<u64>),
    /// A stream of events with these numbers, a pause, and then further events up to its end.
    EventsAroundPause { before: Vec<u64>, pause: Duration, after: Vec<u64> },
    /// It never answers.
    Silent,
}

/// A pause that an upstream asks for.
#[derive(Clone, Copy, Debug)]
pub struct PauseRequest {
    pub length: Duration,
    /// Address of the engine that refused, if the refusal names one.
    pub engine: Option<&'static str>,
}

/// The calls that upstreams received, in order, each with the upstream's name.
pub type Calls = Rc<RefCell<Vec<(String, Call)>>>;

/// Upstreams that respond as scripted. They share one script, because the gateway chooses which of
/// them to call.
pub struct ScriptedUpstreams {
    pub calls: Calls,
    pub steps: Rc<RefCell<VecDeque<Step>>>,
    /// Addresses of the engines that reports name as blocking calls.
    pub blocked_on: Rc<RefCell<Vec<std::net::SocketAddr>>>,
    /// Whether all upstreams refuse connection probes, as after a crash.
    pub refuse_probes: Rc<Cell<bool>>,
    /// Whether connection probes of all upstreams time out, as while the link to them is cut.
    pub ignore_probes: Rc<Cell<bool>>,
    /// Upstreams that refuse connection probes because their process has stopped.
    pub stopped: Rc<RefCell<Vec<String>>>,
    /// Start of the bodies of requests that crash the upstream which gets them. Its process has then
    /// stopped.
    pub crashing_body: Rc<Cell<Option<&'static str>>>,
    /// Number of events that such an upstream sends before it crashes.
    pub events_before_crash: Rc<Cell<u64>>,
    /// Whether such a request crashes the last engine of its path, for which the call then waits.
    pub crashes_last: Rc<Cell<bool>>,
    /// The engine that reports that it is slow, if any.
    pub slow: Rc<RefCell<Option<String>>>,
    /// Whether engines leave requests for their reports unanswered.
    pub silent_reports: Rc<Cell<bool>>,
    /// Upstreams that say in all their answers that they are leaving.
    pub leaving: Rc<RefCell<Vec<String>>>,
    /// Upstreams that say in all their answers how many requests a second they take.
    pub rates: Rc<RefCell<BTreeMap<String, f64>>>,
    /// Upstreams that refuse all calls and requests for reports and ask for a pause.
    pub pausing: Rc<RefCell<BTreeMap<String, PauseRequest>>>,
    /// Engines whose report was requested.
    pub reports: Rc<RefCell<Vec<String>>>,
    /// Upstreams that were probed.
    pub probes: Rc<RefCell<Vec<String>>>,
    /// Orders that engines received.
    pub orders: Rc<RefCell<Vec<(String, LoadOrder)>>>,
    /// Bytes that were read of bodies without end.
    pub endless_bytes: Rc<Cell<usize>>,
    pub clock: Rc<dyn Clock>,
}

struct ScriptedClient {
    name: String,
    upstreams: Rc<ScriptedUpstreams>,
    observer: Rc<dyn UpstreamObserver>,
}

impl ScriptedClient {
    /// Passes on what the upstream says about itself in each of its answers.
    fn observe_answer(&self) {
        if self.upstreams.leaving.borrow().contains(&self.name) {
            self.observer.is_leaving();
        }
        if let Some(rate) = self.upstreams.rates.borrow().get(&self.name) {
            self.observer.limits_rate(*rate);
        }
    }

    /// Whether the upstream refuses requests now, which asks for a pause.
    fn asks_for_pause(&self) -> bool {
        let asked = self.upstreams.pausing.borrow().get(&self.name).copied();
        if let Some(PauseRequest { length, engine }) = asked {
            let engine = engine.map(|addr| addr.parse().expect("the address is valid"));
            self.observer.wants_pause(length, engine);
        }
        asked.is_some()
    }
}

impl Connector for ScriptedUpstreams {
    fn connect(
        &self,
        upstream: &Upstream,
        observer: Rc<dyn UpstreamObserver>,
    ) -> Rc<dyn upstreams::UpstreamClient> {
        let upstreams = Rc::new(ScriptedUpstreams {
            calls: self.calls.clone(),
            steps: self.steps.clone(),
            blocked_on: self.blocked_on.clone(),
            slow: self.slow.clone(),
            silent_reports: self.silent_reports.clone(),
            refuse_probes: self.refuse_probes.clone(),
            ignore_probes: self.ignore_probes.clone(),
            stopped: self.stopped.clone(),
            crashing_body: self.crashing_body.clone(),
            events_before_crash: self.events_before_crash.clone(),
            crashes_last: self.crashes_last.clone(),
            leaving: self.leaving.clone(),
            rates: self.rates.clone(),
            pausing: self.pausing.clone(),
            reports: self.reports.clone(),
            probes: self.probes.clone(),
            orders: self.orders.clone(),
            endless_bytes: self.endless_bytes.clone(),
            clock: self.clock.clone(),
        });
        Rc::new(ScriptedClient { name: upstream.name.to_string(), upstreams, observer })
    }
}

impl upstreams::UpstreamClient for ScriptedClient {
    fn call(
        &self,
        call: Call,
        limit: Duration,
    ) -> LocalBoxFuture<'_, Result<UpstreamResponse, CallError>> {
        async move {
            // A process that has ended cannot crash again.
            if self.upstreams.stopped.borrow().contains(&self.name) {
                return Err(CallError::Refused);
            }
            let crashing_body = self.upstreams.crashing_body.get();
            let crashes =
                crashing_body.is_some_and(|start| call.body.starts_with(start.as_bytes()));
            let last = call.stages.last().map(|stage| stage.engine.to_string());
            let first_event = call.resume_after.map_or(0, |number| number + 1);
            self.upstreams.calls.borrow_mut().push((self.name.clone(), call));
            if crashes && self.upstreams.crashes_last.get() {
                self.upstreams.stopped.borrow_mut().extend(last);
                self.upstreams.clock.sleep(limit).await;
                return Err(CallError::Timeout);
            }
            let events_before_crash = self.upstreams.events_before_crash.get();
            if crashes && events_before_crash == 0 {
                self.upstreams.stopped.borrow_mut().push(self.name.clone());
                return Err(CallError::Broken("reset".into()));
            }
            let response = |status, signed, not_run, parts: Vec<BodyPart>| UpstreamResponse {
                status,
                headers: HeaderMap::new(),
                signed,
                not_run,
                names_no_rate: !self.upstreams.rates.borrow().contains_key(&self.name),
                refusing_engine: None,
                body: Box::new(ScriptedBody {
                    parts: parts.into(),
                    clock: self.upstreams.clock.clone(),
                    endless_bytes: self.upstreams.endless_bytes.clone(),
                }),
            };
            let stream = |parts| {
                let mut response = response(200, true, false, parts);
                let event_stream = HeaderValue::from_static("text/event-stream");
                response.headers.insert(header::CONTENT_TYPE, event_stream);
                response
            };
            if crashes {
                let numbers: Vec<u64> = (first_event..first_event + events_before_crash).collect();
                let mut parts = events(&numbers);
                parts.push(BodyPart::Crash(self.name.clone(), self.upstreams.stopped.clone()));
                return Ok(stream(parts));
            }
            let step =
                self.upstreams.steps.borrow_mut().pop_front().expect("the script has a step");
            if self.asks_for_pause() {
                return Ok(response(503, false, true, Vec::new()));
            }
            if !matches!(step, Step::Unreachable | Step::Broken | Step::Silent) {
                self.observe_answer();
            }
            match step {
                Step::Answer(status, body) => {
                    Ok(response(status, true, false, vec![BodyPart::Bytes(body.into())]))
                }
                Step::AnswerAfter { pause, body } => {
                    self.upstreams.clock.sleep(pause.min(limit)).await;
                    if pause > limit {
                        return Err(CallError::Timeout);
                    }
                    Ok(response(200, true, false, vec![BodyPart::Bytes(body.into())]))
                }
                Step::Unsigned(status) => Ok(response(status, false, false, Vec::new())),
                Step::Endless { status, signed } => {
                    Ok(response(status, signed, false, vec![BodyPart::Endless]))
                }
                Step::Refuse(status) => Ok(response(status, false, true, Vec::new())),
                Step::RefuseAt(addr) => {
                    let refusing_engine = addr.parse().ok();
                    let refusal = response(503, false, true, Vec::new());
                    Ok(UpstreamResponse { refusing_engine, ..refusal })
                }
                Step::RefuseAfter { wait, pause } => {
                    self.upstreams.clock.sleep(wait).await;
                    self.observer.wants_pause(pause, None);
                    Ok(response(503, false, true, Vec::new()))
                }
                Step::Unreachable => Err(CallError::Connect("refused".into())),
                Step::ConnectRefused => Err(CallError::Refused),
                Step::Broken => Err(CallError::Broken("reset".into())),
                Step::Events(numbers) => Ok(stream(events(&numbers))),
                Step::EventsThenBroken(numbers) => {
                    let mut parts = events(&numbers);
                    parts.push(BodyPart::Bytes("id: 99\nda".into()));
                    parts.push(BodyPart::Break);
                    Ok(stream(parts))
                }
                Step::EventsThenCut(numbers) => {
                    let mut parts = events(&numbers);
                    parts.push(BodyPart::Bytes("id: 99\nda".into()));
                    Ok(stream(parts))
                }
                Step::EventsThenLateBreak { numbers, pause } => {
                    let mut parts = events(&numbers);
                    parts.extend([BodyPart::Pause(pause), BodyPart::Break]);
                    Ok(stream(parts))
                }
                Step::EventsThenCrash { numbers, pause } => {
                    let mut parts = events(&numbers);
                    let stopped = self.upstreams.stopped.clone();
                    parts.extend([
                        BodyPart::Pause(pause),
                        BodyPart::Crash(self.name.clone(), stopped),
                    ]);
                    Ok(stream(parts))
                }
                Step::EventsThenSilence(numbers) => {
                    let mut parts = events(&numbers);
                    parts.push(BodyPart::Silence);
                    Ok(stream(parts))
                }
                Step::EventsAroundPause { before, pause, after } => {
                    let mut parts = events(&before);
                    parts.push(BodyPart::Pause(pause));
                    parts.extend(events(&after));
                    Ok(stream(parts))
                }
                Step::Silent => {
                    self.upstreams.clock.sleep(limit).await;
                    Err(CallError::Timeout)
                }
            }
        }
        .boxed_local()
    }

    fn probe(&self) -> LocalBoxFuture<'_, Result<(), CallError>> {
        self.upstreams.probes.borrow_mut().push(self.name.clone());
        let crashed = self.upstreams.refuse_probes.get()
            || self.upstreams.stopped.borrow().contains(&self.name);
        ready(if self.upstreams.ignore_probes.get() {
            Err(CallError::ConnectTimeout)
        } else if crashed {
            Err(CallError::Refused)
        } else {
            Ok(())
        })
    }

    fn order_layers(
        &self,
        order: LoadOrder,
    ) -> LocalBoxFuture<'_, Result<OrderOutcome, CallError>> {
        self.upstreams.orders.borrow_mut().push((self.name.clone(), order));
        self.observe_answer();
        async { Ok(OrderOutcome::Begun) }.boxed_local()
    }

    fn report(&self, limit: Duration) -> LocalBoxFuture<'_, Result<EngineReport, CallError>> {
        self.upstreams.reports.borrow_mut().push(self.name.clone());
        if self.asks_for_pause() {
            return async { Err(CallError::Status(503, String::new())) }.boxed_local();
        }
        if self.upstreams.silent_reports.get() {
            return async move {
                self.upstreams.clock.sleep(limit).await;
                Err(CallError::Timeout)
            }
            .boxed_local();
        }
        self.observe_answer();
        let blocked_on = self.upstreams.blocked_on.borrow().clone();
        let slowdown =
            if self.upstreams.slow.borrow().as_deref() == Some(&*self.name) { 5.0 } else { 1.0 };
        let report = EngineReport { layers: None, accepted_orders: 0, slowdown, blocked_on };
        async move { Ok(report) }.boxed_local()
    }
}
