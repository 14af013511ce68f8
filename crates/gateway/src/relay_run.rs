//! Runs requests that other nodes, which are cut off from the upstreams, pass on to this one.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use callers::{RoutedFailure, RoutedResponse};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::Method;
use peers::relay::{
    RelayFailure, RelayHandler, RelayHead, RelayReply, RelayRequest, RelayResponse,
};
use rand::Rng;
use transport::{Body, CallerMemory};

use crate::{
    Gateway,
    attempt::Attempts,
    crashes::request_parts,
    lifecycle::ActiveRequest,
    outcome::{OutcomeLog, UsedEntries},
};

impl RelayHandler for Gateway {
    fn run(self: Rc<Self>, request: RelayRequest) -> LocalBoxFuture<'static, RelayResponse> {
        self.run_relayed(request).boxed_local()
    }
}

impl Gateway {
    async fn run_relayed(self: Rc<Self>, request: RelayRequest) -> RelayResponse {
        let attempts = Attempts::continued(request.used_entries.clone());
        let metrics = self.metrics.relayed.clone();
        let Some(active) = self.prepare_relayed(request) else {
            metrics.with_label_values(&["unable"]).inc();
            return RelayResponse { reply: RelayReply::Unable, body: Body::empty() };
        };
        metrics.with_label_values(&["run"]).inc();
        let entries = active.log.used_entries();
        active.log.start();
        let outcome = if active.route.retry.is_stream() {
            active.run_stream_after(attempts).await
        } else {
            active.run_buffered_after(attempts).await
        };
        match outcome {
            Ok(response) => head_response(response, &entries),
            Err(failure) => failure_response(failure, &entries),
        }
    }

    /// The request as one of this node; `None` if this node cannot run it.
    fn prepare_relayed(self: Rc<Self>, request: RelayRequest) -> Option<ActiveRequest> {
        if self.is_cut_off() || self.stop.is_raised() {
            return None;
        }
        let (table, route) = self.find_route(&request.host, &request.target).ok()?;
        let serves = |service: &catalog::WeightedService| service.service == request.service;
        if !route.weighted_services.iter().any(serves) {
            return None;
        }
        let method = Method::from_bytes(request.method.as_bytes()).ok()?;
        let headers = request.header_map();
        let organisation = request.organisation.as_ref();
        let shared = request.shared_parts.into();
        let parts = request_parts(organisation, shared, &request.target, &request.body);
        let max_entries = request.used_entries.len() as u32 + request.new_entries;
        let now = self.clock.now();
        Some(ActiveRequest {
            log: OutcomeLog::new(self.clone(), &request.id, &route, organisation),
            gateway: self,
            id: request.id,
            priority: request.priority,
            draw: rand::rng().random(),
            max_entries,
            is_relayed: true,
            route,
            service: request.service,
            organisation: request.organisation,
            table,
            method,
            target: request.target,
            headers,
            body: request.body,
            memory: CallerMemory::default(),
            tokens: request.tokens,
            prompt: request.prompt,
            resume_after: request.resume_after,
            deadline: now + request.time_left,
            start_by: now + request.start_left,
            parts,
            has_begun: Cell::new(false),
            crash_check: RefCell::default(),
        })
    }
}

fn head_response(response: RoutedResponse, entries: &UsedEntries) -> RelayResponse {
    let RoutedResponse { status, headers, body } = response;
    let head = RelayHead::new(status, &headers, entries.borrow().clone());
    RelayResponse { reply: RelayReply::Head(head), body }
}

fn failure_response(failure: RoutedFailure, entries: &UsedEntries) -> RelayResponse {
    let RoutedFailure { failure, retry_after, status } = failure;
    let failure = RelayFailure {
        kind: failure.kind,
        verdict: failure.verdict,
        message: failure.message,
        status,
        retry_after,
        entries: entries.borrow().clone(),
    };
    RelayResponse { reply: RelayReply::Failed(failure), body: Body::empty() }
}
