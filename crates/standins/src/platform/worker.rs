use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use rand::Rng;
use serde::Deserialize;
use serde_json::json;
use transport::{Body, Handler, RequestBody, Server, StopSignal, json_response};
use types::LayerRange;

use super::{
    DRAFTS, ORGANISATION, Platform,
    notices::{self, NodePauses},
    poison::{self, POISON_PATH},
};

/// Time to load the layers of an order.
const LOAD_TIME: Duration = Duration::from_millis(100);
/// Path whose answer is large.
const LARGE_PATH: &str = "/look/large";
/// Size of that answer, in bytes.
const LARGE_BYTES: usize = 1 << 20;
/// Time that a call of the plain service takes.
const WORK_TIME: Duration = Duration::from_millis(10);
/// Time from a worker's crash to the removal of its entry; also the time between two attempts to
/// restart it.
const ENTRY_REMOVAL_DELAY: Duration = Duration::from_millis(500);
/// Time for which a leaving worker still serves, and for which it is down afterwards.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
/// Time for which a worker serves that says only in its answers that it is leaving.
const QUIET_DRAIN_TIME: Duration = Duration::from_millis(5000);

/// One worker: an engine or a replica of the plain service. It keeps its address when it restarts.
pub(crate) struct Worker {
    number: usize,
    service: &'static str,
    domain: &'static str,
    pub(super) addr: Cell<Option<SocketAddr>>,
    /// Time of the last start, in milliseconds of Unix time; part of the worker's identifier.
    pub(super) start_millis: Cell<u64>,
    layers: Cell<Option<LayerRange>>,
    /// Number of orders accepted since the last start.
    order_count: Cell<u64>,
    pub(super) is_up: Cell<bool>,
    is_leaving: Cell<bool>,
    /// Whether its entry does not say that it is leaving.
    leaves_quietly: Cell<bool>,
    /// Pauses that it has asked nodes for.
    pub(super) pauses: RefCell<NodePauses>,
    /// Share of answers that are cut off or left empty, in percent.
    pub(crate) garble: Cell<u32>,
    /// Until this time its answers have no end.
    pub(crate) endless_until: Cell<clock::Timestamp>,
    stop: RefCell<StopSignal>,
    /// Addresses of stopped engines that streams of this worker are waiting for.
    pub(super) blocked: RefCell<Vec<SocketAddr>>,
}

impl Worker {
    pub(crate) fn new(number: usize, service: &'static str, domain: &'static str) -> Rc<Worker> {
        Rc::new(Worker {
            number,
            service,
            domain,
            addr: Cell::default(),
            start_millis: Cell::default(),
            layers: Cell::default(),
            order_count: Cell::default(),
            is_up: Cell::default(),
            is_leaving: Cell::default(),
            leaves_quietly: Cell::default(),
            pauses: RefCell::default(),
            garble: Cell::default(),
            endless_until: Cell::default(),
            stop: RefCell::new(StopSignal::new()),
            blocked: RefCell::default(),
        })
    }

    fn id(&self) -> String {
        format!("w-{}-{}", self.number, self.start_millis.get())
    }

    /// Whether the worker has loaded all of the given layers.
    pub(super) fn holds(&self, layers: LayerRange) -> bool {
        let held = self.layers.get();
        held.is_some_and(|held| held.start <= layers.start && held.end >= layers.end)
    }

    fn layers_json(&self) -> serde_json::Value {
        let layers = self.layers.get();
        json!(layers.map(|layers| json!({"source": layers.start, "to": layers.end, "version": 1})))
    }

    /// Takes over the state of a worker that another part of the test runs.
    pub(super) fn adopt(&self, addr: SocketAddr, start_millis: u64, layers: Option<LayerRange>) {
        self.addr.set(Some(addr));
        self.start_millis.set(start_millis);
        self.layers.set(layers);
    }

    /// Writes the worker's entry to the key-value service.
    pub(super) fn register(&self, platform: &Platform) {
        let Some(addr) = self.addr.get() else { return };
        let phase =
            if self.is_leaving.get() && !self.leaves_quietly.get() { "draining" } else { "up" };
        let kind = (self.service == DRAFTS).then_some("gpu");
        let entry = json!({"backend": self.service, "address": addr, "az": self.domain,
            "version": "v1", "capacity": 50, "phase": phase, "cold_left_ms": 0, "sequence": 1,
            "born": self.start_millis.get(), "route_kind": kind,
            "layer_count": self.layers_json()});
        let key = format!("servers/{}", self.id());
        platform.store.borrow_mut().write(&key, entry.to_string().into_bytes(), 0);
    }
}

/// Starts a worker at its address, with no layers loaded.
pub(crate) async fn start(platform: Rc<Platform>, worker: Rc<Worker>) -> std::io::Result<()> {
    let stop = StopSignal::new();
    let addr = worker.addr.get().unwrap_or_else(|| ([127, 0, 0, 1], 0).into());
    let server = Server::bind(platform.clock.clone(), addr, stop.clone()).await?;
    worker.addr.set(Some(server.local_addr()?));
    *worker.stop.borrow_mut() = stop;
    worker.start_millis.set(platform.clock.unix_millis());
    worker.layers.set(None);
    worker.order_count.set(0);
    worker.is_leaving.set(false);
    worker.pauses.take();
    worker.is_up.set(true);
    worker.register(&platform);
    let handler = Rc::new(WorkerHandler { platform, worker });
    compio::runtime::spawn(server.run(handler)).detach();
    Ok(())
}

/// Stops a worker without warning, removes its entry later, and restarts it after `down`.
pub(crate) async fn crash(platform: Rc<Platform>, worker: Rc<Worker>, down: Duration) {
    if !worker.is_up.replace(false) {
        return;
    }
    let key = format!("servers/{}", worker.id());
    worker.stop.borrow().raise();
    platform.clock.sleep(ENTRY_REMOVAL_DELAY).await;
    platform.store.borrow_mut().remove(&key);
    platform.clock.sleep(down).await;
    while let Err(error) = start(platform.clone(), worker.clone()).await {
        tracing::warn!(%error, "worker cannot be restarted");
        platform.clock.sleep(ENTRY_REMOVAL_DELAY).await;
    }
}

/// Lets a worker say that it is leaving, in its answers and, unless `quietly`, in its entry. It
/// serves for a while longer, stops and restarts.
pub(crate) async fn drain(platform: Rc<Platform>, worker: Rc<Worker>, quietly: bool) {
    if !worker.is_up.get() || worker.is_leaving.replace(true) {
        return;
    }
    worker.leaves_quietly.set(quietly);
    worker.register(&platform);
    platform.clock.sleep(if quietly { QUIET_DRAIN_TIME } else { DRAIN_TIME }).await;
    crash(platform, worker, DRAIN_TIME).await;
}

pub(super) struct WorkerHandler {
    pub(super) platform: Rc<Platform>,
    pub(super) worker: Rc<Worker>,
}

#[derive(Deserialize)]
struct Order {
    source: u32,
    to: u32,
    expected: u64,
}

impl Handler for WorkerHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            let worker = self.worker.clone();
            let id = worker.id();
            let mut response = match request.uri().path() {
                "/v1/report" => {
                    let blocked = worker.blocked.borrow();
                    let blocked: Vec<_> =
                        blocked.iter().map(|addr| json!({"id": "", "address": addr})).collect();
                    let report = json!({"born": worker.start_millis.get(),
                        "sequence": worker.order_count.get(),
                        "layer_count": worker.layers_json(), "blocked": blocked});
                    json_response(StatusCode::OK, &report)
                }
                "/v1/order" => self.order(request).await,
                _ => self.serve(request).await,
            };
            notices::sign_off(response.headers_mut(), &id, worker.is_leaving.get());
            response
        }
        .boxed_local()
    }
}

impl WorkerHandler {
    async fn order(&self, request: Request<RequestBody>) -> Response<Body> {
        let Ok(order) = request.into_body().json::<Order>().await else {
            return empty_answer(StatusCode::BAD_REQUEST);
        };
        let worker = &self.worker;
        if order.expected != worker.order_count.get() {
            return empty_answer(StatusCode::CONFLICT);
        }
        worker.order_count.set(worker.order_count.get() + 1);
        let (platform, worker) = (self.platform.clone(), worker.clone());
        let start = worker.start_millis.get();
        let load = async move {
            platform.clock.sleep(LOAD_TIME).await;
            if worker.is_up.get() && worker.start_millis.get() == start {
                worker.layers.set(Some(LayerRange { start: order.source, end: order.to }));
                worker.register(&platform);
            }
        };
        compio::runtime::spawn(load).detach();
        empty_answer(StatusCode::ACCEPTED)
    }

    async fn serve(self: Rc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let headers = request.headers().clone();
        let text = |name: &str| {
            headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
        };
        let id = text("attempt-id");
        if text("expect-worker") != self.worker.id() {
            return not_executed(StatusCode::MISDIRECTED_REQUEST, None);
        }
        let node = text(notices::NODE);
        self.check_arrival(&self.worker, &id, &node);
        let pause = self.worker.pauses.borrow_mut().pause(&node, self.platform.clock.now());
        if let Some(pause) = pause {
            let mut refusal = not_executed(StatusCode::SERVICE_UNAVAILABLE, self.worker.addr.get());
            notices::ask_for_pause(refusal.headers_mut(), pause);
            // On a connection that has carried other requests, an answer without it belongs to none.
            add_id(refusal.headers_mut(), &id);
            return refusal;
        }
        if self.worker.is_leaving.get() && rand::rng().random_bool(0.5) {
            return not_executed(StatusCode::SERVICE_UNAVAILABLE, None);
        }
        self.check_headers(&id, &headers);
        if self.worker.service == DRAFTS {
            if poison::events_before_crash(&headers) == Some(0) {
                return self.crash(&id, true).await;
            }
            return self.draft(&id, &node, &headers);
        }
        let path = request.uri().path().to_owned();
        if path == POISON_PATH {
            return self.crash(&id, false).await;
        }
        self.count_run(&id);
        if self.platform.clock.now() < self.worker.endless_until.get() {
            return endless_answer(&id);
        }
        self.platform.clock.sleep(WORK_TIME).await;
        if self.is_garbled() {
            return empty_answer(StatusCode::OK);
        }
        let mut response = Response::new(Body::from(match path.as_str() {
            LARGE_PATH => "large ".repeat(LARGE_BYTES / 6),
            _ => format!("done {id}"),
        }));
        sign(response.headers_mut(), &id);
        response
    }

    /// Crashes before the answer to a poison request.
    async fn crash(&self, id: &str, is_prompt: bool) -> Response<Body> {
        self.platform.record_poison(id, is_prompt);
        self.platform.clock.sleep(WORK_TIME).await;
        self.platform.crash_by_request(&self.worker);
        std::future::pending().await
    }

    /// Records a violation if the router forwarded the API key, a wrong organisation or no
    /// deadline.
    fn check_headers(&self, id: &str, headers: &HeaderMap) {
        if headers.contains_key("authorization") {
            self.record_violation(format!("UNASKED: {id}: the key reached a worker"));
        }
        if headers.get("tenant").is_none_or(|value| value.as_bytes() != ORGANISATION.as_bytes()) {
            self.record_violation(format!("UNASKED: {id}: wrong organisation"));
        }
        if !headers.contains_key("deadline-ms") {
            self.record_violation(format!("BUDGET: {id}: no deadline"));
        }
    }

    /// Records a request that reaches a worker which is leaving or has asked for a pause, as its
    /// first worker or as a later one.
    pub(super) fn check_arrival(&self, worker: &Worker, id: &str, node: &str) {
        if worker.is_leaving.get() {
            let arrival = (id.to_owned(), worker.id());
            self.platform.seen.borrow_mut().leaving_arrivals.push(arrival);
        }
        if worker.pauses.borrow_mut().count(node, self.platform.clock.now()) {
            let worker = worker.id();
            self.record_violation(format!("BUDGET: {id} from {node} reached {worker} in a pause"));
        }
    }

    fn count_run(&self, id: &str) {
        *self.platform.seen.borrow_mut().runs.entry(id.into()).or_default() += 1;
    }

    pub(super) fn record_violation(&self, message: String) {
        self.platform.seen.borrow_mut().violations.push(message);
    }

    /// Decides at random whether an answer is garbled.
    pub(super) fn is_garbled(&self) -> bool {
        rand::rng().random_range(0..100) < self.worker.garble.get()
    }
}

/// Adds the headers that prove that a worker answered the attempt.
pub(super) fn sign(headers: &mut HeaderMap, id: &str) {
    headers.insert("worker-signature", HeaderValue::from_static("signed"));
    add_id(headers, id);
}

/// Adds the identifier of the attempt that an answer belongs to.
fn add_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(id) = HeaderValue::try_from(id) {
        headers.insert("attempt-id", id);
    }
}

/// An empty answer with the given status.
fn empty_answer(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// A signed answer whose body has no end.
fn endless_answer(id: &str) -> Response<Body> {
    const CHUNK: &str = "no answer ";
    let mut response = Response::new(Body::streamed(|mut writer| async move {
        while writer.write(CHUNK.repeat(1000)).await {}
    }));
    sign(response.headers_mut(), id);
    response
}

/// An answer that says that the call did not run, and the stage at which it was refused, if any.
pub(super) fn not_executed(code: StatusCode, at: Option<SocketAddr>) -> Response<Body> {
    let mut response = empty_answer(code);
    response.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
    if let Some(at) = at.and_then(|at| HeaderValue::try_from(at.to_string()).ok()) {
        response.headers_mut().insert("at-server", at);
    }
    response
}
