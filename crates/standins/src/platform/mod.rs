//! Test double of the users' platform in one process: its key-value service, its workers, which
//! are the upstreams of the router, and its operator, who writes the configuration.
//!
//! Each worker listens on an address of its own. On the key-value service's address,
//! `POST /control` injects a fault, and `GET /seen` returns what the workers recorded.

mod caller;
mod drafts;
mod notices;
mod poison;
mod raw_worker;
mod store;
mod worker;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use transport::{Body, Handler, RequestBody, json_response};
use types::LayerRange;

use crate::server::{self, bad_request, reply};
pub use caller::{READY_PATH, caller_headers, caller_request, is_signed};
pub use notices::leaving_worker;
pub use poison::{poison_call, poison_prompt, quiet_prompt};
pub use raw_worker::{PROOF, RawAnswer, RawWorker};
use store::Store;
use worker::Worker;

/// Number of layers of the model.
pub(crate) const LAYERS: u32 = 12;
/// Host name of all routes.
pub(crate) const HOST: &str = "soak.example";
/// API key of the organisation.
pub(crate) const KEY: &str = "soak-key";
/// Name of the organisation.
pub(crate) const ORGANISATION: &str = "family";
/// Name of the service that the model engines serve.
pub(crate) const DRAFTS: &str = "drafts";
/// Name of the plain service, which runs no model.
pub(crate) const REGISTRY: &str = "registry";

/// Settings of the platform.
#[derive(Clone, Debug, clap::Args)]
pub struct PlatformArgs {
    /// Address of the key-value service.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Number of model engines in each of the two failure domains.
    #[arg(long, default_value_t = 5)]
    pub engines: usize,
    /// Number of replicas of the plain service.
    #[arg(long, default_value_t = 3)]
    pub replicas: usize,
}

/// A fault to inject, or a change of the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum PlatformFault {
    /// A worker stops without warning and restarts later with no layers loaded.
    Crash {
        /// Number of the worker.
        worker: usize,
        /// Time from the removal of its entry to its restart, in milliseconds.
        down_millis: u64,
    },
    /// A worker announces that it is leaving, serves for a while longer, stops, and restarts.
    Drain {
        /// Number of the worker.
        worker: usize,
    },
    /// A worker says only in its answers that it is leaving, serves for a while longer, stops, and
    /// restarts.
    Leave {
        /// Number of the worker.
        worker: usize,
    },
    /// A worker refuses all requests for a while and asks each node for a pause.
    Pause {
        /// Number of the worker.
        worker: usize,
        /// Time for which it refuses requests, in milliseconds.
        millis: u64,
        /// Length of the pauses, in milliseconds.
        pause_millis: u64,
    },
    /// A worker cuts off some of its streams, and sends some of its other answers empty and
    /// unsigned.
    Garble {
        /// Number of the worker.
        worker: usize,
        /// Share of the affected answers, in percent; zero ends the fault.
        percent: u32,
    },
    /// The answers of a worker of the plain service have no end for a while.
    Endless {
        /// Number of the worker.
        worker: usize,
        /// Duration in milliseconds.
        millis: u64,
    },
    /// The key-value service answers no calls for a while.
    StoreDown {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// For a while, the key-value service carries out writes but does not answer them.
    StoreLosesAnswers {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// The key-value service discards its history of changes, so that older watches cannot resume.
    StoreForgets,
    /// The operator writes a new version of the configuration, with one more route.
    Configure,
    /// A worker that the platform did not start registers as a replica of the plain service, or as
    /// an engine.
    Register {
        /// Address of the worker.
        addr: SocketAddr,
        /// Layers that it holds, if it is an engine.
        layers: Option<LayerRange>,
    },
}

/// What the workers recorded, for the checks at the end of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Seen {
    /// Number of runs by attempt identifier, for the plain service.
    pub runs: BTreeMap<String, u32>,
    /// Requests that reached a leaving worker, as attempt identifier and name of the worker.
    pub leaving_arrivals: Vec<(String, String)>,
    /// Prompts that crash engines and reached one: attempt identifier, and time since the start in
    /// milliseconds.
    pub poison_prompts: Vec<(String, u64)>,
    /// The same for the call that crashes its replica.
    pub poison_calls: Vec<(String, u64)>,
    /// Guarantees of the router that a worker saw violated, one message each.
    pub violations: Vec<String>,
    /// Latest version of the configuration.
    pub version: u64,
}

/// Shared state of the platform process.
pub(crate) struct Platform {
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) started: clock::Timestamp,
    pub(crate) store: RefCell<Store>,
    pub(crate) workers: RefCell<Vec<Rc<Worker>>>,
    pub(crate) seen: RefCell<Seen>,
    /// Until this time the key-value service answers no calls.
    pub(crate) store_down_until: Cell<clock::Timestamp>,
    /// Until this time the key-value service does not answer writes.
    pub(crate) answers_lost_until: Cell<clock::Timestamp>,
}

/// Runs the platform until the process ends.
pub async fn run(clock: Rc<dyn Clock>, args: PlatformArgs) -> std::io::Result<()> {
    let start = clock.now();
    let platform = Rc::new(Platform {
        clock: clock.clone(),
        started: start,
        store: RefCell::new(Store::default()),
        workers: RefCell::default(),
        seen: RefCell::default(),
        store_down_until: Cell::new(start),
        answers_lost_until: Cell::new(start),
    });
    for number in 0..2 * args.engines + args.replicas {
        let is_engine = number < 2 * args.engines;
        let domain = if number.is_multiple_of(2) { "a" } else { "b" };
        let service = if is_engine { DRAFTS } else { REGISTRY };
        let worker = Worker::new(number, service, domain);
        platform.workers.borrow_mut().push(worker.clone());
        worker::start(platform.clone(), worker).await?;
    }
    platform.configure();
    compio::runtime::spawn(expire_leases(platform.clone())).detach();
    server::serve(clock, args.listen, Rc::new(FrontHandler { platform })).await
}

/// Ends expired leases, at an interval.
async fn expire_leases(platform: Rc<Platform>) {
    /// Time between two checks of the leases.
    const INTERVAL: Duration = Duration::from_millis(50);
    loop {
        platform.clock.sleep(INTERVAL).await;
        platform.store.borrow_mut().expire(platform.clock.now());
    }
}

impl Platform {
    /// Writes the next version of the configuration.
    fn configure(&self) {
        let version = {
            let mut seen = self.seen.borrow_mut();
            seen.version += 3;
            seen.version
        };
        let route = |name: &str, kind: &str, service: &str, timeout: u64| {
            json!({"name": name, "hostname": HOST, "path_prefix": format!("/{name}/"),
                "route_kind": kind, "timeout_ms": timeout, "goal_ms": 500, "priority": 1,
                "backend": service, "max_attempts": 2, "public": false, "stream_resume": true,
                "itl_target_ms": 100})
        };
        let mut routes = vec![
            route("drafts", "sse", DRAFTS, 10_000),
            route("file", "mutating", REGISTRY, 2000),
            route("look", "idempotent", REGISTRY, 2000),
        ];
        routes.extend(
            (3..version)
                .step_by(3)
                .map(|number| route(&format!("extra{number}"), "idempotent", REGISTRY, 2000)),
        );
        let config = json!({"version": version, "http_routes": routes,
            "backends": [
                {"name": DRAFTS, "max_conns": 100, "runtime": {"layer_count": LAYERS,
                    "layer_mb": 100.0, "kv_bytes": 12000.0, "step_ms": 1.0, "read_per_s": 100_000.0,
                    "activation_bytes": 100, "xfer_mbps": 1000.0,
                    "model_list": [{"name": "m", "load_time_s": 0.2}],
                    "types": [{"name": "gpu", "size_mb": 600.0, "pace": 1.0, "read_factor": 1.0}]}},
                {"name": REGISTRY, "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenant_list": [{"name": ORGANISATION, "api_keys": [KEY], "priority": 1}]});
        self.store.borrow_mut().write("op/config", config.to_string().into_bytes(), 0);
    }

    /// Writes the entry of a worker that this process did not start.
    fn register(&self, addr: SocketAddr, layers: Option<LayerRange>) {
        let number = self.workers.borrow().len();
        let (service, domain) = (if layers.is_some() { DRAFTS } else { REGISTRY }, "a");
        let worker = Worker::new(number, service, domain);
        worker.adopt(addr, self.clock.unix_millis(), layers);
        worker.register(self);
        self.workers.borrow_mut().push(worker);
    }

    /// Injects a fault, or changes the configuration.
    fn inject(self: &Rc<Self>, fault: PlatformFault) -> Result<(), String> {
        let later = |millis| self.clock.now() + Duration::from_millis(millis);
        let worker = |number: usize| {
            let found = self.workers.borrow().get(number).cloned();
            found.ok_or_else(|| format!("no worker has number {number}"))
        };
        match fault {
            PlatformFault::Crash { worker: number, down_millis } => {
                let down = Duration::from_millis(down_millis);
                let worker = worker(number)?;
                compio::runtime::spawn(worker::crash(self.clone(), worker, down)).detach();
            }
            PlatformFault::Drain { worker: number } => {
                let worker = worker(number)?;
                compio::runtime::spawn(worker::drain(self.clone(), worker, false)).detach();
            }
            PlatformFault::Leave { worker: number } => {
                let worker = worker(number)?;
                compio::runtime::spawn(worker::drain(self.clone(), worker, true)).detach();
            }
            PlatformFault::Pause { worker: number, millis, pause_millis } => {
                let length = Duration::from_millis(pause_millis);
                worker(number)?.pauses.borrow_mut().refuse(later(millis), length);
            }
            PlatformFault::Garble { worker: number, percent } => {
                worker(number)?.garble.set(percent);
            }
            PlatformFault::Endless { worker: number, millis } => {
                worker(number)?.endless_until.set(later(millis));
            }
            PlatformFault::StoreDown { millis } => self.store_down_until.set(later(millis)),
            PlatformFault::StoreLosesAnswers { millis } => {
                self.answers_lost_until.set(later(millis))
            }
            PlatformFault::StoreForgets => self.store.borrow_mut().discard_history(),
            PlatformFault::Configure => self.configure(),
            PlatformFault::Register { addr, layers } => self.register(addr, layers),
        }
        Ok(())
    }
}

/// Answers `/control` and `/seen`, and passes all other requests to the key-value service.
struct FrontHandler {
    platform: Rc<Platform>,
}

impl Handler for FrontHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            match (request.method(), request.uri().path()) {
                (&Method::POST, "/control") => {
                    let fault = request.into_body().json::<PlatformFault>().await;
                    reply(fault.and_then(|fault| self.platform.inject(fault)).map_err(bad_request))
                }
                (&Method::GET, "/seen") => {
                    json_response(StatusCode::OK, &*self.platform.seen.borrow())
                }
                _ => store::answer(&self.platform, request).await,
            }
        }
        .boxed_local()
    }
}
