//! Test doubles of the gateway's peers: an in-memory key-value service, and upstreams that respond
//! as scripted.

mod codec;
mod log;
mod peers;
mod scripted_body;
mod scripted_upstreams;
mod store;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use callers::{GenerationSize, RoutedFailure, RoutedRequest, RoutedResponse, Router};
use clock::{Clock, RuntimeClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use gateway::{Gateway, GatewayBuilder};
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use settings::EdgeSettings;
use transport::{RequestBody, StopSignal};

use codec::TextCodec;
pub use log::LogCapture;
pub use peers::{bind, fixture_with_peer, idle_beacon};
pub use scripted_upstreams::{PauseRequest, ScriptedUpstreams, Step};
pub use store::MemoryStore;

/// Host name of all routes.
pub const HOST: &str = "h.example";
/// API key of the only organisation.
pub const KEY: &str = "secret";

/// Time within which changes have to be applied, in milliseconds.
const CHANGE_LIMIT_MS: u64 = 900;
/// Length of a sleep of [`run_for`].
const RUN_STEP: Duration = Duration::from_millis(2);
/// Most time that counts for one of these sleeps.
const MAX_RUN_STEP: Duration = Duration::from_millis(4);
/// Retries that the budget allows beyond a share of the requests.
const RETRY_EXTRA: u32 = 400;

/// A gateway, its test doubles and its stop signal.
pub struct Fixture {
    pub gateway: Rc<Gateway>,
    pub store: Rc<MemoryStore>,
    pub upstreams: Rc<ScriptedUpstreams>,
    pub stop: StopSignal,
}

impl Fixture {
    /// Creates a gateway whose key-value service is empty.
    pub fn new() -> Fixture {
        Fixture::with_store(Rc::new(MemoryStore::default()))
    }

    /// Creates a gateway that reads `store`.
    fn with_store(store: Rc<MemoryStore>) -> Fixture {
        Fixture::with_change_limit(store, CHANGE_LIMIT_MS)
    }

    /// Creates a gateway that reads `store` and has to apply changes within `limit_ms`.
    pub fn with_change_limit(store: Rc<MemoryStore>, limit_ms: u64) -> Fixture {
        Fixture::with_limits(store, limit_ms, RETRY_EXTRA, "")
    }

    /// Like [`ready`](Fixture::ready), with these settings of the table `overload`.
    pub async fn ready_with_overload(settings: &str) -> Fixture {
        let table = format!("[overload]\n{settings}\n");
        let fixture = Fixture::with_limits(Rc::default(), CHANGE_LIMIT_MS, RETRY_EXTRA, &table);
        fixture.with_upstreams().await
    }

    /// Creates a gateway that reads `store`, has to apply changes within `limit_ms`, may retry
    /// `retry_extra` requests more than a share of them, and has the tables `more` in its settings.
    fn with_limits(store: Rc<MemoryStore>, limit_ms: u64, retry_extra: u32, more: &str) -> Fixture {
        let budget =
            format!("retry_extra = {retry_extra}\nretry_window_s = 10\nfirst_start = true");
        Fixture::with_settings(store, limit_ms, &budget, more)
    }

    /// Like [`ready`](Fixture::ready), with these settings of the retry budget, and with `others` in
    /// the list of the other nodes.
    pub async fn ready_with_retry_budget(budget: &str, others: usize) -> Fixture {
        let fixture = Fixture::with_settings(Rc::default(), CHANGE_LIMIT_MS, budget, "");
        for number in 0..others {
            fixture.write_node(number, Some("127.0.0.1:9 a"));
        }
        fixture.with_upstreams().await
    }

    /// Writes the entry of another node, or deletes it.
    pub fn write_node(&self, number: usize, value: Option<&str>) {
        self.store.write(&format!("gypsumrack/nodes/other-{number}"), value);
    }

    fn with_settings(
        store: Rc<MemoryStore>,
        limit_ms: u64,
        retry_budget: &str,
        more: &str,
    ) -> Fixture {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let settings = EdgeSettings::parse(&format!(
            "name = \"n\"\ndomain = \"a\"\ncallers = \"127.0.0.1:1\"\nhealth = \"127.0.0.1:2\"\n\
             peers = \"127.0.0.1:3\"\nstore = \"127.0.0.1:4\"\ngrace_s = 8\nretry_ratio = 0.2\n\
             {retry_budget}\nchange_limits_ms = [{limit_ms}]\n{more}",
        ))
        .expect("settings are valid");
        let upstreams = Rc::new(ScriptedUpstreams {
            calls: Rc::default(),
            steps: Rc::default(),
            blocked_on: Rc::default(),
            slow: Rc::default(),
            silent_reports: Rc::default(),
            refuse_probes: Rc::default(),
            ignore_probes: Rc::default(),
            stopped: Rc::default(),
            crashing_body: Rc::default(),
            events_before_crash: Rc::default(),
            crashes_last: Rc::default(),
            leaving: Rc::default(),
            rates: Rc::default(),
            pausing: Rc::default(),
            reports: Rc::default(),
            probes: Rc::default(),
            orders: Rc::default(),
            endless_bytes: Rc::default(),
            clock: clock.clone(),
        });
        let stop = StopSignal::new();
        let gateway = GatewayBuilder::new(
            clock,
            settings,
            store.clone(),
            upstreams.clone(),
            Rc::new(TextCodec),
        )
        .stop(stop.clone())
        .build();
        Fixture { gateway, store, upstreams, stop }
    }

    /// Creates a gateway that knows a routing table, two replicas of a plain service, and two
    /// replicas of a model, each of which consists of two engines.
    pub async fn ready() -> Fixture {
        Fixture::new().with_upstreams().await
    }

    /// Like [`ready`](Fixture::ready), but the first few requests leave nothing in the retry budget.
    pub async fn ready_without_retries() -> Fixture {
        let fixture = Fixture::with_limits(Rc::default(), CHANGE_LIMIT_MS, 0, "");
        fixture.with_upstreams().await
    }

    /// Like [`ready`](Fixture::ready), with the settings for decisions under overload.
    pub async fn ready_for_overload() -> Fixture {
        Fixture::ready_with_overload("").await
    }

    /// Registers the routing table and the upstreams, and waits until the gateway knows them.
    pub async fn with_upstreams(self) -> Fixture {
        self.store.write("table", Some("1"));
        for (name, value) in [
            ("r1", "registry 10.0.0.1:80 a up -"),
            ("r2", "registry 10.0.0.2:80 b up -"),
            ("e1", "drafts 10.0.1.1:80 a up 0-5"),
            ("e2", "drafts 10.0.1.2:80 a up 5-10"),
            ("e3", "drafts 10.0.1.3:80 b up 0-5"),
            ("e4", "drafts 10.0.1.4:80 b up 5-10"),
        ] {
            self.store.write(&format!("upstreams/{name}"), Some(value));
        }
        self.start().await;
        self
    }

    /// Creates a gateway that has read `store`, which another gateway uses as well.
    pub async fn ready_with_store(store: Rc<MemoryStore>) -> Fixture {
        let fixture = Fixture::with_store(store);
        fixture.start().await;
        fixture
    }

    /// Starts the tasks that use the key-value service, and waits until the gateway is ready.
    pub async fn start(&self) {
        compio::runtime::spawn(gateway::watch_store(self.gateway.clone())).detach();
        compio::runtime::spawn(gateway::register(self.gateway.clone())).detach();
        for _ in 0..100 {
            if self.gateway.is_ready() {
                return;
            }
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Appends to the script what the upstreams do with their next calls.
    pub fn push_steps(&self, steps: impl IntoIterator<Item = Step>) {
        self.upstreams.steps.borrow_mut().extend(steps);
    }

    /// Sends a request whose stream falls silent after event 0; the next attempt gets event 1. Also
    /// returns the second engine of the first attempt's path.
    pub async fn start_silent_stream(&self) -> (RoutedResponse, &'static str) {
        self.push_steps([Step::EventsThenSilence(vec![0]), Step::Events(vec![1])]);
        let response = self.send("/drafts/x").await.expect("the stream begins");
        (response, if self.called_upstreams()[0] == "e1" { "e2" } else { "e4" })
    }

    /// Names of the upstreams that were called, in order.
    pub fn called_upstreams(&self) -> Vec<String> {
        self.upstreams.calls.borrow().iter().map(|(name, _)| name.clone()).collect()
    }

    /// Sends a request with the known API key.
    pub async fn send(&self, path: &str) -> Result<RoutedResponse, RoutedFailure> {
        self.gateway.clone().route(request(path)).await
    }
}

/// A request with the known API key.
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
        generation: Some(GenerationSize { prompt: 10, output: 10, output_hint: None }),
        shared_parts: Vec::new().into(),
        resume_after: None,
    }
}

/// The body of a response, or `None` if it was aborted.
pub async fn body(response: RoutedResponse) -> Option<String> {
    let whole = response.body.collect().await.ok()?;
    Some(String::from_utf8_lossy(&whole.to_bytes()).into_owned())
}

/// Lets the tasks of this thread run for `time`. Time for which a loaded machine does not run the
/// thread hardly counts: after it, all timers are due at once, while the tasks still have steps to take.
pub async fn run_for(time: Duration) {
    let clock = RuntimeClock::new();
    let mut left = time;
    while !left.is_zero() {
        let started = clock.now();
        clock.sleep(RUN_STEP).await;
        left = left.saturating_sub(clock.now().since(started).min(MAX_RUN_STEP));
    }
}

/// The encoded event with this number.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// A future that is ready with `value`.
fn ready<T: 'static>(value: T) -> LocalBoxFuture<'static, T> {
    std::future::ready(value).boxed_local()
}
