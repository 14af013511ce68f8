//! A node with fakes of its peers. The test sends the engines' answers and advances the clock.

mod store;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use callers::{CompletionRequest, CompletionSummary, RequestContext, RequestHandler, TokenSink};
use clock::{Clock, ManualClock, timeout};
use engines::{
    Engine, EventSource, ReceiptCheck, TokenStream,
    api::{CacheEvents, Cancel, Event, Generate, KvCache, Load, Order, OrderReply, Receipt, Token},
};
use futures_channel::mpsc;
use futures_util::{
    FutureExt, StreamExt,
    future::{LocalBoxFuture, pending, poll_fn},
};
use node::{Connector, Node, NodeBuilder};
use services::Service;
use settings::NodeSettings;
use transport::{CallError, StopSignal};
use types::{Class, Failure, LayerRange, UpstreamName};
use vms::{
    VmList,
    api::{Vm, VmRole, VmSnapshot},
};

/// Number of positions of the prompt of every request.
pub const PROMPT_POSITIONS: u32 = 3;
/// Number of layers in each of the model's two layer ranges.
const LAYERS_PER_RANGE: u32 = 4;

/// A token stream that the node has opened at an engine.
#[derive(Clone)]
pub struct StartedStream {
    pub request: Generate,
    pub events: mpsc::UnboundedSender<Event>,
}

/// Behaviour of all fake engines, and the calls that they received.
#[derive(Default)]
pub struct FakeFleet {
    pub started: RefCell<Vec<StartedStream>>,
    pub cancels: RefCell<Vec<(UpstreamName, Cancel)>>,
    pub exports: RefCell<Vec<UpstreamName>>,
    pub imports: RefCell<Vec<(UpstreamName, KvCache)>>,
    /// Engines that do not answer.
    pub silent: RefCell<Vec<UpstreamName>>,
    /// Engines that are ending: they break the next connection and accept none afterwards.
    pub ending: RefCell<Vec<UpstreamName>>,
    /// Engines that accept no connections.
    pub stopped: RefCell<Vec<UpstreamName>>,
    /// Engines that have restarted.
    pub restarted: RefCell<Vec<UpstreamName>>,
    /// Engines that report that they are leaving.
    pub leaving: RefCell<Vec<UpstreamName>>,
    /// Whether the engines refuse to import a KV cache.
    pub refuse_import: Cell<bool>,
}

/// A running node and the fakes of its peers.
pub struct Harness {
    pub clock: ManualClock,
    pub fleet: Rc<FakeFleet>,
    pub node: Rc<Node>,
    pub stop: StopSignal,
}

/// A completion that runs in its own task.
pub struct RunningCompletion {
    pub text: Rc<RefCell<String>>,
    pub result: Rc<RefCell<Option<Result<CompletionSummary, Failure>>>>,
}

/// Runs a test with a node that knows two engines for each layer range: `a0` and `a1` for the
/// first, `b0` and `b1` for the second.
pub fn with_harness<F: Future<Output = ()>>(test: impl FnOnce(Harness) -> F) {
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    runtime.block_on(async {
        let clock = ManualClock::new();
        let fleet = Rc::new(FakeFleet::default());
        let stop = StopSignal::new();
        let peers = Rc::new(FakePeers { clock: clock.clone(), fleet: fleet.clone() });
        let node = NodeBuilder::new(Rc::new(clock.clone()), node_settings())
            .store(peers.clone())
            .vm_list(peers.clone())
            .connector(peers)
            .stop(stop.clone())
            .build();
        node.clone().start_tasks();
        let harness = Harness { clock, fleet, node, stop };
        harness.run_until_idle().await;
        test(harness).await;
    });
}

impl Harness {
    /// Lets all tasks run until they wait for the clock or a peer.
    pub async fn run_until_idle(&self) {
        for _ in 0..100 {
            let mut yielded = false;
            poll_fn(|context| {
                if std::mem::replace(&mut yielded, true) {
                    return std::task::Poll::Ready(());
                }
                context.waker().wake_by_ref();
                std::task::Poll::Pending
            })
            .await;
        }
    }

    /// Advances the clock in small steps.
    pub async fn advance(&self, millis: u64) {
        for _ in 0..millis.div_ceil(5) {
            self.clock.advance(Duration::from_millis(5));
            self.run_until_idle().await;
        }
    }

    /// Starts a completion of `max_tokens` tokens. All completions have the same request
    /// identifier.
    pub async fn complete(&self, max_tokens: u32) -> RunningCompletion {
        let caller = RequestContext {
            id: "same".into(),
            organisation: "o".into(),
            class: Class::Interactive,
            deadline: Some(Duration::from_secs(20)),
        };
        let prompt = "one two three".into();
        let request = CompletionRequest { caller, model: "m".into(), prompt, max_tokens };
        let running = RunningCompletion { text: Rc::default(), result: Rc::default() };
        let sink = Box::new(TextSink { text: running.text.clone() });
        let (node, result) = (self.node.clone(), running.result.clone());
        compio::runtime::spawn(async move {
            let ended = node.complete(request, sink).await;
            *result.borrow_mut() = Some(ended);
        })
        .detach();
        self.run_until_idle().await;
        running
    }

    /// The stream that was opened last.
    pub fn newest_stream(&self) -> StartedStream {
        self.fleet.started.borrow().last().cloned().expect("a stream was started")
    }

    /// Number of streams that were opened.
    pub fn stream_count(&self) -> usize {
        self.fleet.started.borrow().len()
    }

    /// Sends the correct tokens with the indices `range` on a stream, one every 5 ms.
    pub async fn send_tokens(&self, stream: &StartedStream, range: std::ops::Range<u32>) {
        for index in range {
            stream.send_event(Event::Token(correct_token(&stream.request, index)));
            self.advance(5).await;
        }
    }
}

impl StartedStream {
    /// Sends an event, unless the node has closed the stream.
    pub fn send_event(&self, event: Event) {
        let _ = self.events.unbounded_send(event);
    }

    /// Names of the engines of the route.
    pub fn stages(&self) -> Vec<UpstreamName> {
        self.request.route.iter().map(|stage| stage.engine.clone()).collect()
    }
}

/// The token with this index as a correct run of the attempt generates it.
pub fn correct_token(request: &Generate, index: u32) -> Token {
    let end = PROMPT_POSITIONS + index;
    let whole = index == request.given.len() as u32 && !request.resume;
    let first = if whole { 0 } else { end - 1 };
    let receipts = request.route.iter().map(|stage| Receipt {
        engine: stage.engine.clone(),
        version: request.version.clone(),
        layers: stage.layers,
        attempt: request.attempt,
        first,
        end,
    });
    Token {
        session: request.session.clone(),
        attempt: request.attempt,
        index,
        id: index,
        text: format!("{index} "),
        receipts: receipts.collect(),
    }
}

/// The text of the first `count` tokens.
pub fn expected_text(count: u32) -> String {
    (0..count).map(|index| format!("{index} ")).collect()
}

struct TextSink {
    text: Rc<RefCell<String>>,
}

impl TokenSink for TextSink {
    fn token(&mut self, text: String) -> LocalBoxFuture<'_, bool> {
        self.text.borrow_mut().push_str(&text);
        std::future::ready(true).boxed_local()
    }
}

struct FakePeers {
    clock: ManualClock,
    fleet: Rc<FakeFleet>,
}

struct FakeEngine {
    name: UpstreamName,
    clock: ManualClock,
    fleet: Rc<FakeFleet>,
}

struct FakeEvents {
    clock: ManualClock,
    events: mpsc::UnboundedReceiver<Event>,
}

const ENGINE_NAMES: [&str; 4] = ["a0", "a1", "b0", "b1"];

fn engine_addr(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + number as u16))
}

fn node_settings() -> NodeSettings {
    let text = "name = 'n'\ndomain = 'd'\nregion = 'r'\ndrain_ms = 2000\n\
        [listen]\ncallers = '127.0.0.1:0'\noperators = '127.0.0.1:0'\npeers = '127.0.0.1:0'\n\
        [platform]\nkeyvalue = '127.0.0.1:1'\nvms = '127.0.0.1:1'\nweights = '127.0.0.1:1'\n";
    NodeSettings::parse(text).expect("settings are valid")
}

impl Connector for FakePeers {
    fn engine(&self, wanted: SocketAddr) -> Rc<dyn Engine> {
        let name = ENGINE_NAMES[usize::from(wanted.port()) - 1].into();
        Rc::new(FakeEngine { name, clock: self.clock.clone(), fleet: self.fleet.clone() })
    }

    fn service(&self, _: SocketAddr) -> Rc<dyn Service> {
        unreachable!("there are no services")
    }
}

impl VmList for FakePeers {
    fn list(&self) -> LocalBoxFuture<'_, Result<VmSnapshot, CallError>> {
        let vms = ENGINE_NAMES.iter().enumerate().map(|(number, name)| Vm {
            name: (*name).into(),
            addr: engine_addr(number),
            domain: "d".into(),
            role: VmRole::Engine,
            leaving: false,
        });
        std::future::ready(Ok(VmSnapshot { version: 1, vms: vms.collect() })).boxed_local()
    }
}

impl FakeEngine {
    fn layers(&self) -> LayerRange {
        let start = if self.name.as_str().starts_with('a') { 0 } else { LAYERS_PER_RANGE };
        LayerRange { start, end: start + LAYERS_PER_RANGE }
    }

    fn is_silent(&self) -> bool {
        self.fleet.silent.borrow().contains(&self.name)
    }
}

impl Engine for FakeEngine {
    fn generate(
        self: Rc<Self>,
        request: Generate,
    ) -> LocalBoxFuture<'static, Result<TokenStream, CallError>> {
        let (events, receiver) = mpsc::unbounded();
        let check = ReceiptCheck::new(&request, 2 * LAYERS_PER_RANGE);
        let started = StartedStream { request, events };
        self.fleet.started.borrow_mut().push(started);
        let source = Box::new(FakeEvents { clock: self.clock.clone(), events: receiver });
        std::future::ready(Ok(TokenStream::new(source, check))).boxed_local()
    }

    fn cancel(&self, cancel: Cancel) -> LocalBoxFuture<'_, Result<(), CallError>> {
        self.fleet.cancels.borrow_mut().push((self.name.clone(), cancel));
        // Never answers, because no request may wait for a cancel call.
        pending().boxed_local()
    }

    fn load(&self) -> LocalBoxFuture<'_, Result<Load, CallError>> {
        if self.is_silent() {
            return pending().boxed_local();
        }
        let mut ending = self.fleet.ending.borrow_mut();
        if let Some(index) = ending.iter().position(|name| *name == self.name) {
            self.fleet.stopped.borrow_mut().push(ending.swap_remove(index));
            let broken = CallError::Broken("reset".into());
            return std::future::ready(Err(broken)).boxed_local();
        }
        if self.fleet.stopped.borrow().contains(&self.name) {
            let refused = CallError::Connect("refused".into());
            return std::future::ready(Err(refused)).boxed_local();
        }
        let restarted = self.fleet.restarted.borrow().contains(&self.name);
        let load = Load {
            engine: self.name.clone(),
            incarnation: 1 + u64::from(restarted),
            model: "m".into(),
            version: "1".into(),
            layers: self.layers(),
            slots: 8,
            running: 0,
            step_micros: 1000,
            prefill_micros: 10,
            leaving: self.fleet.leaving.borrow().contains(&self.name),
            order_token: 0,
        };
        std::future::ready(Ok(load)).boxed_local()
    }

    fn cache_events(&self, _: u64) -> LocalBoxFuture<'_, Result<CacheEvents, CallError>> {
        std::future::ready(Ok(CacheEvents::default())).boxed_local()
    }

    fn export_kv(&self, session: &str) -> LocalBoxFuture<'_, Result<KvCache, CallError>> {
        self.fleet.exports.borrow_mut().push(self.name.clone());
        let newest = self.fleet.started.borrow().last().cloned().expect("a stream was started");
        let cache = KvCache {
            session: session.into(),
            model: newest.request.model.clone(),
            version: newest.request.version.clone(),
            layers: self.layers(),
            positions: PROMPT_POSITIONS + 9,
            values: vec![0; LAYERS_PER_RANGE as usize],
        };
        std::future::ready(Ok(cache)).boxed_local()
    }

    fn import_kv(&self, cache: KvCache) -> LocalBoxFuture<'_, Result<(), CallError>> {
        self.fleet.imports.borrow_mut().push((self.name.clone(), cache));
        let refused = self.fleet.refuse_import.get();
        let result = if refused { Err(CallError::Status(500, String::new())) } else { Ok(()) };
        std::future::ready(result).boxed_local()
    }

    fn order<'a>(
        &'a self,
        _: Order,
        _: &'a dyn Fn() -> bool,
    ) -> LocalBoxFuture<'a, Result<OrderReply, CallError>> {
        std::future::ready(Ok(OrderReply::Accepted)).boxed_local()
    }
}

impl EventSource for FakeEvents {
    fn next(&mut self, limit: Duration) -> LocalBoxFuture<'_, Result<Option<Event>, CallError>> {
        async move {
            let clock: Rc<dyn Clock> = Rc::new(self.clock.clone());
            match timeout(&*clock, limit, self.events.next()).await {
                Ok(event) => Ok(event),
                Err(_) => Err(CallError::Timeout),
            }
        }
        .boxed_local()
    }
}
