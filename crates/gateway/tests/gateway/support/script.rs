//! Upstreams that follow a script.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use catalog::Upstream;
use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::HeaderMap;
use transport::CallError;
use upstreams::{
    Call, Connector, EngineReport, LoadOrder, OrderOutcome, ResponseBody, UpstreamResponse,
};

use super::ready;

/// What an upstream does with its next call.
#[derive(Clone, Debug)]
pub enum Step {
    /// It answers with this status and body.
    Answer(u16, &'static str),
    /// It answers without a signature.
    Unsigned(u16),
    /// It states that it did not run the call.
    Refuse(u16),
    /// The connection cannot be opened.
    Unreachable,
    /// The connection breaks after the call was sent.
    Broken,
    /// A stream of events with these numbers, which then ends.
    Events(Vec<u64>),
    /// A stream of events with these numbers, which then breaks inside an event.
    EventsThenBroken(Vec<u64>),
    /// A stream of events with these numbers, which then stays silent.
    EventsThenSilence(Vec<u64>),
    /// Never answers.
    Silent,
}

/// What happened at the upstreams, in order: the upstream, and the call.
pub type Calls = Rc<RefCell<Vec<(String, Call)>>>;

/// Upstreams that follow a script. All upstreams share it, as the node chooses which one to call.
pub struct Scripted {
    pub calls: Calls,
    pub steps: Rc<RefCell<VecDeque<Step>>>,
    /// Addresses that the reports name as blocked.
    pub blocked_on: Rc<RefCell<Vec<std::net::SocketAddr>>>,
    /// Whether upstreams cannot be reached after a connection broke.
    pub is_crashed: Rc<Cell<bool>>,
    /// Upstreams at whose address nothing listens.
    pub ended: Rc<RefCell<Vec<String>>>,
    /// An engine that reports that it is slow.
    pub slow: Rc<RefCell<Option<String>>>,
    /// Orders that engines were given.
    pub orders: Rc<RefCell<Vec<(String, LoadOrder)>>>,
    pub clock: Rc<dyn Clock>,
}

struct Client {
    name: String,
    script: Rc<Scripted>,
}

impl Connector for Scripted {
    fn connect(&self, upstream: &Upstream) -> Rc<dyn upstreams::UpstreamClient> {
        let script = Rc::new(Scripted {
            calls: self.calls.clone(),
            steps: self.steps.clone(),
            blocked_on: self.blocked_on.clone(),
            slow: self.slow.clone(),
            is_crashed: self.is_crashed.clone(),
            ended: self.ended.clone(),
            orders: self.orders.clone(),
            clock: self.clock.clone(),
        });
        Rc::new(Client { name: upstream.name.to_string(), script })
    }
}

impl upstreams::UpstreamClient for Client {
    fn call(
        &self,
        call: Call,
        limit: Duration,
    ) -> LocalBoxFuture<'_, Result<UpstreamResponse, CallError>> {
        async move {
            self.script.calls.borrow_mut().push((self.name.clone(), call));
            let step = self.script.steps.borrow_mut().pop_front().expect("the script has a step");
            let response = |status, signed, not_run, parts: Vec<Part>| UpstreamResponse {
                status,
                headers: HeaderMap::new(),
                signed,
                not_run,
                failed_engine: None,
                body: Box::new(Parts { parts: parts.into(), clock: self.script.clock.clone() }),
            };
            match step {
                Step::Answer(status, body) => {
                    Ok(response(status, true, false, vec![Part::Bytes(body.into())]))
                }
                Step::Unsigned(status) => Ok(response(status, false, false, Vec::new())),
                Step::Refuse(status) => Ok(response(status, false, true, Vec::new())),
                Step::Unreachable => Err(CallError::Connect("refused".into())),
                Step::Broken => Err(CallError::Broken("reset".into())),
                Step::Events(numbers) => Ok(response(200, true, false, events(&numbers))),
                Step::EventsThenBroken(numbers) => {
                    let mut parts = events(&numbers);
                    parts.push(Part::Bytes("id: 99\nda".into()));
                    parts.push(Part::Break);
                    Ok(response(200, true, false, parts))
                }
                Step::EventsThenSilence(numbers) => {
                    let mut parts = events(&numbers);
                    parts.push(Part::Silence);
                    Ok(response(200, true, false, parts))
                }
                Step::Silent => {
                    self.script.clock.sleep(limit).await;
                    Err(CallError::Timeout)
                }
            }
        }
        .boxed_local()
    }

    fn probe(&self) -> LocalBoxFuture<'_, Result<(), CallError>> {
        let crashed =
            self.script.is_crashed.get() || self.script.ended.borrow().contains(&self.name);
        ready(if crashed { Err(CallError::Refused) } else { Ok(()) })
    }

    fn order_layers(
        &self,
        order: LoadOrder,
    ) -> LocalBoxFuture<'_, Result<OrderOutcome, CallError>> {
        self.script.orders.borrow_mut().push((self.name.clone(), order));
        async { Ok(OrderOutcome::Begun) }.boxed_local()
    }

    fn report(&self, _: Duration) -> LocalBoxFuture<'_, Result<EngineReport, CallError>> {
        let blocked_on = self.script.blocked_on.borrow().clone();
        let slowdown =
            if self.script.slow.borrow().as_deref() == Some(&*self.name) { 5.0 } else { 1.0 };
        let report = EngineReport { layers: None, accepted_orders: 0, slowdown, blocked_on };
        async move { Ok(report) }.boxed_local()
    }
}

enum Part {
    Bytes(Bytes),
    Break,
    Silence,
}

struct Parts {
    parts: VecDeque<Part>,
    pub clock: Rc<dyn Clock>,
}

impl ResponseBody for Parts {
    fn next(&mut self, limit: Duration) -> LocalBoxFuture<'_, Result<Option<Bytes>, CallError>> {
        async move {
            match self.parts.pop_front() {
                None => Ok(None),
                Some(Part::Bytes(bytes)) => Ok(Some(bytes)),
                Some(Part::Break) => Err(CallError::Broken("reset".into())),
                Some(Part::Silence) => {
                    self.parts.push_front(Part::Silence);
                    self.clock.sleep(limit).await;
                    Err(CallError::Timeout)
                }
            }
        }
        .boxed_local()
    }
}

fn events(numbers: &[u64]) -> Vec<Part> {
    numbers.iter().map(|number| Part::Bytes(event(*number).into())).collect()
}

/// The event with a number.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}
