//! Doubles at the borders of the gateway: a store in memory and upstreams that follow a script.

mod codec;
mod script;
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
pub use script::{Scripted, Step, event};
pub use store::MemoryStore;

/// Host of all routes.
pub const HOST: &str = "h.example";
/// Key of the only organisation.
pub const KEY: &str = "secret";

/// A gateway between doubles.
pub struct World {
    pub gateway: Rc<Gateway>,
    pub store: Rc<MemoryStore>,
    pub script: Rc<Scripted>,
    pub stop: StopSignal,
}

impl World {
    /// Creates a gateway with an empty store.
    pub fn new() -> World {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let settings = EdgeSettings::parse(
            "name = \"n\"\ndomain = \"a\"\ncallers = \"127.0.0.1:1\"\nhealth = \"127.0.0.1:2\"\n\
             peers = \"127.0.0.1:3\"\nstore = \"127.0.0.1:4\"\ngrace_s = 8\nretry_ratio = 0.2\n\
             retry_extra = 400\nretry_window_s = 10\nchange_limits_ms = [1400]\n",
        )
        .expect("settings are valid");
        let store = Rc::new(MemoryStore::default());
        let script = Rc::new(Scripted {
            calls: Rc::default(),
            steps: Rc::default(),
            blocked_on: Rc::default(),
            slow: Rc::default(),
            is_crashed: Rc::default(),
            ended: Rc::default(),
            orders: Rc::default(),
            clock: clock.clone(),
        });
        let stop = StopSignal::new();
        let gateway =
            GatewayBuilder::new(clock, settings, store.clone(), script.clone(), Rc::new(TextCodec))
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
        compio::runtime::spawn(gateway::watch_store(self.gateway.clone())).detach();
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

    /// Sends a draft whose stream falls silent after event 0; its second run sends event 1. Returns
    /// the second engine of its path as well.
    pub async fn send_silent(&self) -> (RoutedResponse, &'static str) {
        self.script([Step::EventsThenSilence(vec![0]), Step::Events(vec![1])]);
        let reply = self.send("/drafts/x").await.expect("the stream begins");
        (reply, if self.called()[0] == "e1" { "e2" } else { "e4" })
    }

    /// Names of the upstreams that were called.
    pub fn called(&self) -> Vec<String> {
        self.script.calls.borrow().iter().map(|(name, _)| name.clone()).collect()
    }

    /// Sends a request with the usual key.
    pub async fn send(&self, path: &str) -> Result<RoutedResponse, RoutedFailure> {
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
        generation: Some(GenerationSize { prompt: 10, output: 10, output_hint: None }),
        resume_after: None,
    }
}

/// The whole body of a reply, or `None` if it was cut.
pub async fn body(reply: RoutedResponse) -> Option<String> {
    let whole = reply.body.collect().await.ok()?;
    Some(String::from_utf8_lossy(&whole.to_bytes()).into_owned())
}

/// A future that is ready with a value.
fn ready<T: 'static>(value: T) -> LocalBoxFuture<'static, T> {
    std::future::ready(value).boxed_local()
}
