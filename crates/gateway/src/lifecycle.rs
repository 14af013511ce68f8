//! Processes a request from its arrival to its verdict.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use admission::SizeHints;
use bytes::Bytes;
use callers::{
    ExplainQuery, Explanation, GenerationSize, RoutedFailure, RoutedRequest, RoutedResponse, Router,
};
use catalog::{Access, ModelProfile, RetryPolicy, Route, RoutingTable};
use clock::Timestamp;
use crashes::RequestParts;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderMap, Method, StatusCode, header};
use rand::Rng;
use transport::{BodyError, CallerMemory, StopSignal};
use types::{Failure, FailureKind, Organisation, RequestId, ServiceName, Verdict};
use upstreams::Call;

use crate::{
    Gateway,
    admission::START_SHARE,
    crashes::request_parts,
    outcome::OutcomeLog,
    selection::{NoSelection, Selection},
    stopping::SHUTDOWN_RETRY_AFTER,
};

/// Longest time for a request that states no deadline, if the timeout of its route is longer.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Time after which a caller may retry at a node without a routing table, or on a route without a
/// service. A node without a routing table waits for the key-value service, whose outages last for
/// seconds.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Time after which a caller may retry when there was no memory for its request. Bodies that make no
/// progress are ended within that time.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time reserved before the caller's deadline, so that a final response still arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// Largest number, and thus lowest priority, that upstreams accept.
pub(crate) const LOWEST_PRIORITY: u32 = 9;
/// Output tokens assumed for a generation request that states no maximum.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// A request that is being processed.
pub(crate) struct ActiveRequest {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) id: RequestId,
    pub(crate) route: Arc<Route>,
    pub(crate) table: Arc<RoutingTable>,
    pub(crate) service: ServiceName,
    pub(crate) organisation: Option<Organisation>,
    pub(crate) priority: u32,
    /// Entry upstreams that may run the request: those of its route or, for one that another node has
    /// passed on, those that it has left.
    pub(crate) max_entries: u32,
    /// Whether another node has passed the request on to this one. It is not passed on again.
    pub(crate) is_relayed: bool,
    /// Random number from 0 to 1 that decides up to which fill of its engines it is admitted.
    pub(crate) draw: f64,
    pub(crate) method: Method,
    /// Request target: path and query of the URL.
    pub(crate) target: Arc<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Holds the bytes of the answer.
    pub(crate) memory: CallerMemory,
    /// Tokens of KV cache that are reserved for the request on each engine.
    pub(crate) tokens: u32,
    /// Number of prompt tokens.
    pub(crate) prompt: u32,
    /// Number of the last event that the caller already has.
    pub(crate) resume_after: Option<u64>,
    pub(crate) deadline: Timestamp,
    /// Latest start at which the request still meets its latency target.
    pub(crate) start_by: Timestamp,
    /// What tells it apart from other requests when engines crash.
    pub(crate) parts: RequestParts,
    /// Whether the answer has begun.
    pub(crate) has_begun: Cell<bool>,
    /// Raised when it is known whether the last attempt has crashed its upstream.
    pub(crate) crash_check: RefCell<Option<StopSignal>>,
    pub(crate) log: OutcomeLog,
}

impl ActiveRequest {
    /// The engine profile of the request's service; `None` for a plain service.
    pub(crate) fn model_profile(&self) -> Option<Arc<ModelProfile>> {
        self.table.service(&self.service)?.model_profile.clone()
    }

    /// The call that is sent to the entry upstream of `selection`. The caller already has the
    /// events up to `resume_after`.
    pub(crate) fn call(&self, selection: &Selection, resume_after: Option<u64>) -> Call {
        Call {
            id: self.id.clone(),
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            organisation: self.organisation.clone(),
            time_left: self.time_left(),
            stages: selection.stages.clone(),
            resume_after,
            priority: self.priority.min(LOWEST_PRIORITY),
            // A reused connection may have been closed by the upstream meanwhile, which would leave
            // open whether the request ran.
            new_connection: !self.route.retry.allows_rerun() || selection.has_refused,
        }
    }
}

/// How up to date the configuration of a node is, for the log line of a rejected request.
struct Freshness {
    /// Version in force; `None` before the first one.
    version: Option<u64>,
    /// Time since it came into force.
    age_ms: Option<u64>,
    /// A newer version that another node has announced.
    announced: Option<u64>,
    /// Time since the key-value service was lost; `None` if it can be reached.
    store_lost_ms: Option<u64>,
}

impl Gateway {
    /// The configuration in force, and the route of a request in it.
    pub(crate) fn find_route(
        &self,
        host: &str,
        target: &str,
    ) -> Result<(Arc<RoutingTable>, Arc<Route>), RoutedFailure> {
        let Some(table) = self.catalog.borrow().table().cloned() else {
            let failure =
                Failure::not_run(FailureKind::Unavailable, "the node has no configuration yet");
            return Err(RoutedFailure::retry_after(failure, UNCONFIGURED_RETRY_AFTER));
        };
        let url_path = target.split('?').next().unwrap_or_default();
        let Some(route) = table.route(host, url_path).cloned() else {
            let failure =
                Failure::not_run(FailureKind::NotFound, "no route for this host and path");
            return Err(failure.into());
        };
        Ok((table, route))
    }

    /// How up to date the configuration of this node is.
    fn freshness(&self) -> Freshness {
        let now = self.clock.now();
        let age_ms =
            |since: Option<Timestamp>| since.map(|since| now.since(since).as_millis() as u64);
        let version = self.catalog.borrow().table().map(|table| table.version());
        let announced = self.lacks_announced_table().then(|| self.announced_version.get());
        Freshness {
            version,
            age_ms: age_ms(self.table_since.get()),
            announced,
            store_lost_ms: age_ms(self.store_lost_at.get()),
        }
    }

    async fn serve_request(
        self: Rc<Self>,
        request: RoutedRequest,
    ) -> Result<RoutedResponse, RoutedFailure> {
        let active = match self.clone().prepare(request).await {
            Ok(active) => active,
            Err((id, failure)) => {
                self.metrics.requests.with_label_values(&["", "rejected"]).inc();
                let Freshness { version, age_ms, announced, store_lost_ms } = self.freshness();
                tracing::info!(request = %id, verdict = %failure.failure.verdict,
                    status = failure.status, reason = failure.failure.message, version,
                    version_age_ms = age_ms, announced_version = announced, store_lost_ms,
                    "request rejected");
                return Err(failure);
            }
        };
        active.log.start();
        if active.route.retry.is_stream() {
            return active.run_stream().await;
        }
        active.run_buffered().await
    }

    /// Tokens for which a request reserves KV cache: its largest size or, under `[overload]`, the
    /// size that is expected from what the configuration says of the model.
    pub(crate) fn reserved_tokens(
        &self,
        table: &RoutingTable,
        service: &ServiceName,
        size: GenerationSize,
    ) -> u32 {
        let max_output = if size.output == 0 { DEFAULT_OUTPUT_TOKENS } else { size.output };
        let profile = table.service(service).and_then(|service| service.model_profile.as_ref());
        let latency = profile.and_then(|profile| profile.latency.as_ref());
        match latency.filter(|_| self.settings.overload.is_some()) {
            Some(model) => {
                let (prompt, estimate) = (size.prompt, size.output_hint);
                let usual_output = model.usual_answer;
                SizeHints { prompt, max_output, estimate, usual_output }.expected_tokens()
            }
            None => size.prompt.saturating_add(max_output),
        }
    }

    /// Resolves the route, access rights and limits of a request, and reads its body.
    async fn prepare(
        self: Rc<Self>,
        request: RoutedRequest,
    ) -> Result<ActiveRequest, (RequestId, RoutedFailure)> {
        let id = request.id.clone();
        let arrived = self.clock.now();
        let reject = |failure: RoutedFailure| (id.clone(), failure);
        let (table, route) = self.find_route(&request.host, &request.target).map_err(reject)?;
        if !self.has_time_for(&route) {
            return Err(reject(shutdown_refusal()));
        }
        let access = check_key(&table, &route, request.key.as_deref()).map_err(reject)?;
        if request.head_bytes > table.max_head_bytes {
            return Err(reject(rejection(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the head of the request is too large",
            )));
        }
        let (limit, usable) = time_limits(&route, request.deadline);
        let deadline = arrived + usable;
        let start_by = arrived + route.latency_target.mul_f64(START_SHARE);
        let roll = rand::rng().random::<f64>();
        let Some(service) = route.service(roll).cloned() else {
            let failure = Failure::not_run(FailureKind::Unavailable, "the route has no service");
            return Err(reject(RoutedFailure::retry_after(failure, UNCONFIGURED_RETRY_AFTER)));
        };
        let memory = request.body.memory();
        let reading = read_body(request.body, &request.headers, table.max_body_bytes, limit);
        let body = self.until_end(|| self.start_end(&route, &service), reading).await;
        let body = body.unwrap_or_else(|| Err(shutdown_refusal())).map_err(reject)?;
        let organisation = access.as_ref().map(|access| access.organisation.clone());
        let shared = request.shared_parts;
        let parts = request_parts(organisation.as_ref(), shared, &request.target, &body);
        if let Some(refusal) = self.check_parts(&parts) {
            return Err(reject(self.poison_failure(&refusal)));
        }
        self.count_request(&service);
        let tokens = request
            .generation
            .map_or(0, |generation| self.reserved_tokens(&table, &service, generation));
        Ok(ActiveRequest {
            log: OutcomeLog::new(self.clone(), &request.id, &route, organisation.as_ref()),
            gateway: self,
            id: request.id,
            priority: access.and_then(|access| access.priority).unwrap_or(route.priority),
            draw: rand::rng().random(),
            max_entries: route.max_entries,
            is_relayed: false,
            route,
            service,
            organisation,
            table,
            method: request.method,
            target: request.target,
            headers: request.headers,
            body,
            memory,
            tokens,
            prompt: request.generation.map_or(0, |generation| generation.prompt),
            resume_after: request.resume_after,
            deadline,
            start_by,
            parts,
            has_begun: Cell::new(false),
            crash_check: RefCell::default(),
        })
    }
}

/// Time until the caller's deadline, and the part of it before the time that the response needs. The
/// request states a duration, from which the points in time are computed.
pub(crate) fn time_limits(route: &Route, stated: Option<Duration>) -> (Duration, Duration) {
    let limit = route.timeout.min(stated.unwrap_or(DEFAULT_DEADLINE));
    (limit, limit - RESPONSE_MARGIN.min(limit / 10))
}

/// The organisation and priority that the caller's API key stands for. A public route needs no key.
pub(crate) fn check_key(
    table: &RoutingTable,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Access>, RoutedFailure> {
    let access = key.and_then(|key| table.access(key)).cloned();
    if access.is_none() && table.requires_key() && !route.public {
        return Err(rejection(StatusCode::UNAUTHORIZED, "the API key is missing or unknown"));
    }
    Ok(access)
}

async fn read_body(
    body: transport::RequestBody,
    headers: &HeaderMap,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, RoutedFailure> {
    let too_large = |max_bytes| {
        rejection(StatusCode::PAYLOAD_TOO_LARGE, &format!("the body exceeds {max_bytes} bytes"))
    };
    let stated = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    if stated.and_then(|text| text.parse::<usize>().ok()).is_some_and(|length| length > max_bytes) {
        return Err(too_large(max_bytes));
    }
    body.collect_within(max_bytes, limit).await.map_err(|error| match error {
        BodyError::TooLarge(max_bytes) => too_large(max_bytes),
        BodyError::Broken(_) => Failure::not_run(FailureKind::Invalid, error.to_string()).into(),
        BodyError::NoMemory => {
            let failure = Failure::not_run(FailureKind::Overloaded, error.to_string());
            RoutedFailure::retry_after(failure, MEMORY_RETRY_AFTER)
        }
        BodyError::Timeout => rejection(StatusCode::REQUEST_TIMEOUT, &error.to_string()),
    })
}

/// The failure of a request that a stopping node does not start.
fn shutdown_refusal() -> RoutedFailure {
    let (kind, message) = NoSelection::Stopping.failure();
    RoutedFailure::retry_after(Failure::not_run(kind, message), SHUTDOWN_RETRY_AFTER)
}

/// A failure with the given status for a request that has not run.
fn rejection(status: StatusCode, message: &str) -> RoutedFailure {
    RoutedFailure {
        failure: Failure::not_run(FailureKind::Invalid, message),
        retry_after: None,
        status: Some(status.as_u16()),
    }
}

impl Router for Gateway {
    fn route(
        self: Rc<Self>,
        request: RoutedRequest,
    ) -> LocalBoxFuture<'static, Result<RoutedResponse, RoutedFailure>> {
        self.serve_request(request).boxed_local()
    }

    fn is_ready(&self) -> bool {
        self.is_serving()
    }

    fn is_draining(&self) -> bool {
        self.stop.is_raised()
    }

    fn metrics(&self) -> Bytes {
        Bytes::from(self.metrics.encode())
    }

    fn explain(self: Rc<Self>, query: &ExplainQuery) -> Result<Explanation, RoutedFailure> {
        self.explain_request(query)
    }
}

/// Whether a request whose last attempt ended with `verdict` may be sent again.
pub(crate) fn is_retry_safe(retry: RetryPolicy, verdict: Verdict) -> bool {
    verdict == Verdict::NotRun || retry.allows_rerun()
}
