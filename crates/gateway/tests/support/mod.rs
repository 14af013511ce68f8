//! Doubles at the borders of the gateway: a store in memory and upstreams that follow a script.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use callers::{Generation, RoutedFailure, RoutedReply, RoutedRequest, Router};
use catalog::{
    AcceleratorKind, EngineProfile, Phase, Publications, Repeat, Route, Service, Share, Table,
    TableBuilder, Upstream,
};
use clock::{Clock, RuntimeClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use gateway::{Gateway, GatewayBuilder};
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use keyvalue::{
    Changes, Item, KeyValue, KvError, RevisionStore,
    api::{Entry, Expected, PutReply},
};
use settings::EdgeSettings;
use transport::{CallError, RequestBody, Stop};
use types::{LayerRange, Organisation};
use upstreams::{Answer, AnswerBody, Call, Connector, EngineReport, OrderOutcome, PlaceOrder};

/// Host of all routes.
pub const HOST: &str = "h.example";
/// Key of the only organisation.
pub const KEY: &str = "secret";

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
    pub blocked: Rc<RefCell<Vec<std::net::SocketAddr>>>,
    /// Whether upstreams cannot be reached after a connection broke.
    pub is_crashed: Rc<Cell<bool>>,
    /// An engine that reports that it is slow.
    pub slow: Rc<RefCell<Option<String>>>,
    /// Orders that engines were given.
    pub orders: Rc<RefCell<Vec<(String, PlaceOrder)>>>,
    clock: Rc<dyn Clock>,
}

struct Client {
    name: String,
    script: Rc<Scripted>,
}

impl Connector for Scripted {
    fn connect(&self, upstream: &Upstream) -> Rc<dyn upstreams::Upstream> {
        let script = Rc::new(Scripted {
            calls: self.calls.clone(),
            steps: self.steps.clone(),
            blocked: self.blocked.clone(),
            slow: self.slow.clone(),
            is_crashed: self.is_crashed.clone(),
            orders: self.orders.clone(),
            clock: self.clock.clone(),
        });
        Rc::new(Client { name: upstream.name.to_string(), script })
    }
}

impl upstreams::Upstream for Client {
    fn call(&self, call: Call, limit: Duration) -> LocalBoxFuture<'_, Result<Answer, CallError>> {
        async move {
            self.script.calls.borrow_mut().push((self.name.clone(), call));
            let step = self.script.steps.borrow_mut().pop_front().expect("the script has a step");
            let answer = |status, signed, not_run, parts: Vec<Part>| Answer {
                status,
                headers: HeaderMap::new(),
                signed,
                not_run,
                at_fault: None,
                body: Box::new(Parts { parts: parts.into(), clock: self.script.clock.clone() }),
            };
            match step {
                Step::Answer(status, body) => {
                    Ok(answer(status, true, false, vec![Part::Bytes(body.into())]))
                }
                Step::Unsigned(status) => Ok(answer(status, false, false, Vec::new())),
                Step::Refuse(status) => Ok(answer(status, false, true, Vec::new())),
                Step::Unreachable => Err(CallError::Connect("refused".into())),
                Step::Broken => Err(CallError::Broken("reset".into())),
                Step::Events(numbers) => Ok(answer(200, true, false, events(&numbers))),
                Step::EventsThenBroken(numbers) => {
                    let mut parts = events(&numbers);
                    parts.push(Part::Bytes("id: 99\nda".into()));
                    parts.push(Part::Break);
                    Ok(answer(200, true, false, parts))
                }
                Step::EventsThenSilence(numbers) => {
                    let mut parts = events(&numbers);
                    parts.push(Part::Silence);
                    Ok(answer(200, true, false, parts))
                }
                Step::Silent => {
                    self.script.clock.sleep(limit).await;
                    Err(CallError::Timeout)
                }
            }
        }
        .boxed_local()
    }

    fn reach(&self) -> LocalBoxFuture<'_, Result<(), CallError>> {
        let crashed = self.script.is_crashed.get();
        ready(if crashed { Err(CallError::Connect("refused".into())) } else { Ok(()) })
    }

    fn place(&self, order: PlaceOrder) -> LocalBoxFuture<'_, Result<OrderOutcome, CallError>> {
        self.script.orders.borrow_mut().push((self.name.clone(), order));
        async { Ok(OrderOutcome::Begun) }.boxed_local()
    }

    fn report(&self, _: Duration) -> LocalBoxFuture<'_, Result<EngineReport, CallError>> {
        let blocked = self.script.blocked.borrow().clone();
        let pace =
            if self.script.slow.borrow().as_deref() == Some(&*self.name) { 5.0 } else { 1.0 };
        let report = EngineReport { layers: None, orders: 0, pace, blocked };
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
    clock: Rc<dyn Clock>,
}

impl AnswerBody for Parts {
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

/// A store in memory. Only what the gateway reads at its start is served.
#[derive(Default)]
pub struct MemoryStore {
    pub items: RefCell<BTreeMap<String, Item>>,
    pub revision: Cell<u64>,
    /// Whether the store answers at all.
    pub is_down: Cell<bool>,
    /// Whether watches that wait now are never answered.
    pub is_silent: Cell<bool>,
    /// Whether the history of watches is gone once.
    pub history_gone: Cell<bool>,
    leases: Cell<u64>,
}

impl MemoryStore {
    /// Writes a value, or deletes the key.
    pub fn write(&self, key: &str, value: Option<&str>) -> u64 {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let value = value.map(|value| value.as_bytes().to_vec());
        let item = Item { key: key.into(), value, revision };
        self.items.borrow_mut().insert(key.into(), item);
        revision
    }

    fn check(&self) -> Result<(), KvError> {
        if self.is_down.get() { Err(KvError::Unavailable) } else { Ok(()) }
    }
}

fn ready<T: 'static>(value: T) -> LocalBoxFuture<'static, T> {
    std::future::ready(value).boxed_local()
}

impl KeyValue for MemoryStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        let item = self.items.borrow().get(key).cloned();
        let entry = item.and_then(|item| {
            let value = String::from_utf8(item.value?).ok()?;
            Some(Entry { key: item.key, value, version: item.revision, created: item.revision })
        });
        ready(self.check().map(|()| entry))
    }

    fn put(
        &self,
        key: &str,
        expected: Expected,
        value: String,
        _: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        let known = self.items.borrow().get(key).cloned().filter(|item| item.value.is_some());
        let fits = match expected {
            Expected::Absent => known.is_none(),
            Expected::Version(version) => known.is_some_and(|item| item.revision == version),
        };
        let reply = if fits {
            PutReply::Stored(self.write(key, Some(&value)))
        } else {
            PutReply::Conflict(None)
        };
        ready(self.check().map(|()| reply))
    }

    fn delete(&self, key: &str, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        self.write(key, None);
        ready(self.check().map(|()| true))
    }

    fn list(&self, _: &str, _: &str, _: u32) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        ready(self.check().map(|()| Vec::new()))
    }

    fn watch(&self, key: &str, _: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        self.get(key)
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        self.leases.set(self.leases.get() + 1);
        ready(self.check().map(|()| self.leases.get()))
    }

    fn renew(&self, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        ready(self.check().map(|()| true))
    }

    fn revoke(&self, _: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        ready(self.check())
    }
}

impl RevisionStore for MemoryStore {
    fn read_item(&self, key: &str) -> LocalBoxFuture<'_, Result<(Option<Item>, u64), KvError>> {
        let item = self.items.borrow().get(key).cloned();
        ready(self.check().map(|()| (item, self.revision.get())))
    }

    fn list_items(&self, prefix: &str) -> LocalBoxFuture<'_, Result<(Vec<Item>, u64), KvError>> {
        let items = self.items.borrow();
        let live = items.values().filter(|item| item.value.is_some());
        let found = live.filter(|item| item.key.starts_with(prefix)).cloned().collect();
        ready(self.check().map(|()| (found, self.revision.get())))
    }

    fn changes(&self, prefix: &str, after: u64) -> LocalBoxFuture<'_, Result<Changes, KvError>> {
        let prefix = prefix.to_owned();
        async move {
            loop {
                self.check()?;
                if self.is_silent.get() {
                    std::future::pending::<()>().await;
                }
                if self.history_gone.replace(false) {
                    return Ok(Changes::HistoryGone);
                }
                let items: Vec<Item> = self
                    .items
                    .borrow()
                    .values()
                    .filter(|item| item.revision > after && item.key.starts_with(&prefix))
                    .cloned()
                    .collect();
                if !items.is_empty() {
                    return Ok(Changes::Items { items, at: self.revision.get() });
                }
                compio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        .boxed_local()
    }
}

/// A table whose version is the text of the item, and upstreams as `SERVICE ADDR DOMAIN PHASE
/// START-END`.
pub struct TextPublications;

impl Publications for TextPublications {
    fn table_key(&self) -> &'static str {
        "table"
    }

    fn upstream_prefix(&self) -> &'static str {
        "upstreams/"
    }

    fn decode_table(&self, value: &[u8]) -> Result<Table, String> {
        let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
        Ok(table(text.parse().map_err(|_| format!("{text:?} is no version"))?))
    }

    fn decode_upstream(&self, name: &str, value: &[u8]) -> Result<Upstream, String> {
        let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
        let fields: Vec<&str> = text.split(' ').collect();
        let [service, addr, domain, phase, layers] = fields[..] else {
            return Err("not five fields".into());
        };
        let layers = layers.split_once('-').map(|(start, end)| LayerRange {
            start: start.parse().unwrap_or_default(),
            end: end.parse().unwrap_or_default(),
        });
        Ok(Upstream {
            name: name.into(),
            boot: 1,
            service: service.into(),
            addr: addr.parse().map_err(|_| "no address".to_owned())?,
            domain: domain.into(),
            capacity: 8,
            phase: if phase == "up" { Phase::Serving } else { Phase::Leaving },
            kind: (service == "drafts").then(|| "gpu".into()),
            layers,
        })
    }
}

fn table(version: u64) -> Table {
    let route = |prefix: &str, repeat, service: &str| Route {
        name: prefix.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        repeat,
        timeout: Duration::from_millis(1500),
        goal: Duration::from_millis(200),
        pause: Some(Duration::from_millis(50)),
        priority: 1,
        attempts: 2,
        public: false,
        shares: vec![Share { service: service.into(), weight: 1 }],
    };
    let kind = AcceleratorKind { memory_mb: 1000.0, step_factor: 1.0 };
    let engine = EngineProfile {
        layers: 10,
        layer_mb: 50.0,
        token_bytes: 10_000.0,
        kinds: BTreeMap::from([("gpu".into(), kind)]),
    };
    let drafts = Service { engine: Some(std::sync::Arc::new(engine)) };
    TableBuilder::new(version)
        .route(route("/once/", Repeat::Once, "registry"))
        .route(route("/any/", Repeat::Idempotent, "registry"))
        .route(route("/drafts/", Repeat::Stream { resumable: true }, "drafts"))
        .route(route("/single/", Repeat::Stream { resumable: false }, "drafts"))
        .service("registry".into(), Service::default())
        .service("drafts".into(), drafts)
        .organisation(&Organisation::from("family"), None, [KEY.into()])
        .sizes(1000, 1000)
        .build()
}

/// A gateway between doubles.
pub struct World {
    pub gateway: Rc<Gateway>,
    pub store: Rc<MemoryStore>,
    pub script: Rc<Scripted>,
    pub stop: Stop,
}

impl World {
    /// Creates a gateway with an empty store.
    pub fn new() -> World {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let settings = EdgeSettings::parse(
            "name = \"n\"\ndomain = \"a\"\ncallers = \"127.0.0.1:1\"\nhealth = \"127.0.0.1:2\"\n\
             peers = \"127.0.0.1:3\"\nstore = \"127.0.0.1:4\"\ngrace_s = 8\nretry_ratio = 0.2\n\
             retry_extra = 400\nretry_window_s = 10\n",
        )
        .expect("settings are valid");
        let store = Rc::new(MemoryStore::default());
        let script = Rc::new(Scripted {
            calls: Rc::default(),
            steps: Rc::default(),
            blocked: Rc::default(),
            slow: Rc::default(),
            is_crashed: Rc::default(),
            orders: Rc::default(),
            clock: clock.clone(),
        });
        let stop = Stop::new();
        let gateway = GatewayBuilder::new(
            clock,
            settings,
            store.clone(),
            script.clone(),
            Rc::new(TextPublications),
        )
        .stop(stop.clone())
        .build();
        World { gateway, store, script, stop }
    }

    /// Creates a gateway that knows a table, two replicas of a plain service and two copies of a
    /// model, each over two engines.
    pub async fn ready() -> World {
        let world = World::new();
        world.store.write("table", Some("1"));
        for (name, value) in [
            ("r1", "registry 10.0.0.1:80 a up -"),
            ("r2", "registry 10.0.0.2:80 b up -"),
            ("e1", "drafts 10.0.1.1:80 a up 0-5"),
            ("e2", "drafts 10.0.1.2:80 a up 5-10"),
            ("e3", "drafts 10.0.1.3:80 b up 0-5"),
            ("e4", "drafts 10.0.1.4:80 b up 5-10"),
        ] {
            world.store.write(&format!("upstreams/{name}"), Some(value));
        }
        world.start().await;
        world
    }

    /// Starts the task of the store and waits until the gateway is ready.
    pub async fn start(&self) {
        compio::runtime::spawn(gateway::follow_store(self.gateway.clone())).detach();
        compio::runtime::spawn(gateway::register(self.gateway.clone())).detach();
        for _ in 0..100 {
            if self.gateway.is_ready() {
                return;
            }
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sets what the upstreams do with their next calls.
    pub fn script(&self, steps: impl IntoIterator<Item = Step>) {
        self.script.steps.borrow_mut().extend(steps);
    }

    /// Names of the upstreams that were called.
    pub fn called(&self) -> Vec<String> {
        self.script.calls.borrow().iter().map(|(name, _)| name.clone()).collect()
    }

    /// Sends a request with the usual key.
    pub async fn send(&self, path: &str) -> Result<RoutedReply, RoutedFailure> {
        self.gateway.clone().route(request(path)).await
    }
}

/// A request with the usual key.
pub fn request(path: &str) -> RoutedRequest {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    RoutedRequest {
        id: "request-1".into(),
        host: HOST.into(),
        method: Method::POST,
        target: path.into(),
        key: Some(KEY.into()),
        headers: HeaderMap::new(),
        head_bytes: 100,
        body: RequestBody::from_bytes(Bytes::from_static(b"body"), clock),
        deadline: Some(Duration::from_millis(1000)),
        size: Some(Generation { prompt: 10, output: 10, hint: None }),
        resume_after: None,
    }
}

/// The whole body of a reply, or `None` if it was cut.
pub async fn body(reply: RoutedReply) -> Option<String> {
    let whole = reply.body.collect().await.ok()?;
    Some(String::from_utf8_lossy(&whole.to_bytes()).into_owned())
}
