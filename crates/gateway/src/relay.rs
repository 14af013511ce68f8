//! Passes requests of a node that is cut off from the upstreams on to another node, one hop at most.
//!
//! The other node takes the place of an entry upstream in an attempt. It may use one entry upstream more
//! than the request has used so far, so that both nodes share one count: whatever becomes of the
//! connection, the attempt has used at most one.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use callers::RoutedFailure;
use catalog::{Phase, Upstream};
use clock::{Clock, Timestamp};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderMap, StatusCode};
use peers::relay::{self, EntryProcess, RelayBody, RelayFailure, RelayReply, RelayRequest};
use rand::seq::IndexedRandom;
use transport::CallError;
use types::{Domain, Failure, NodeName, UpstreamName};
use upstreams::{
    Call, EngineReport, LoadOrder, OrderOutcome, ResponseBody, UpstreamClient, UpstreamResponse,
};

use crate::{
    Gateway,
    attempt::Attempts,
    lifecycle::ActiveRequest,
    members::Member,
    selection::{NoSelection, Selection},
};

/// Time for which a node that could not run a request gets none from this node.
const UNABLE_PAUSE: Duration = Duration::from_millis(500);
/// Time without an event after which a stream leaves another node, which may hang. A sound upstream may
/// be silent for about a second.
const MAX_SILENCE: Duration = Duration::from_millis(1300);

/// The nodes that could not run a request lately, and until when they get none.
pub(crate) type UnableNodes = RefCell<HashMap<NodeName, Timestamp>>;

/// An attempt that another node makes.
pub(crate) struct Relay {
    pub(crate) node: NodeName,
    /// The entry upstreams that it says it has used.
    entries: Rc<RefCell<Vec<EntryProcess>>>,
    /// Why it has given up the request.
    failure: Rc<Cell<Option<RelayFailure>>>,
    /// Whether it could not run the request.
    is_unable: Rc<Cell<bool>>,
}

impl Relay {
    /// The entry upstreams that the other node says it has used.
    pub(crate) fn entries(&self) -> Vec<EntryProcess> {
        self.entries.borrow().clone()
    }

    /// Whether the other node could not run the request and has sent nothing.
    pub(crate) fn is_unable(&self) -> bool {
        self.is_unable.get()
    }

    /// The failure that the other node has decided on.
    pub(crate) fn take_failure(&self) -> Option<RoutedFailure> {
        let RelayFailure { kind, verdict, message, status, retry_after, .. } =
            self.failure.take()?;
        let failure = Failure::new(kind, verdict, message);
        Some(RoutedFailure { failure, retry_after, status })
    }
}

impl Gateway {
    /// Another node that may run a request. Of a failure domain with a node that could not run one, others
    /// are tried last: the whole domain may be cut off. This node's own domain comes before others.
    fn find_node(&self, avoid: &[UpstreamName]) -> Option<(NodeName, Member)> {
        let now = self.clock.now();
        let mut unable = self.unable_nodes.borrow_mut();
        unable.retain(|_, until| now < *until);
        let members = self.members.borrow();
        let is_avoided = |name: &NodeName| avoid.iter().any(|avoided| **avoided == **name);
        let doubtful: Vec<&Domain> = members
            .iter()
            .filter(|(name, _)| unable.contains_key(*name))
            .map(|(_, member)| &member.domain)
            .collect();
        let rank = |member: &Member| {
            (doubtful.contains(&&member.domain), member.domain != self.settings.domain)
        };
        let usable: Vec<(&NodeName, &Member)> = members
            .iter()
            .filter(|(name, _)| !unable.contains_key(*name) && !is_avoided(name))
            .collect();
        let best = usable.iter().map(|(_, member)| rank(member)).min()?;
        let preferred: Vec<_> =
            usable.into_iter().filter(|(_, member)| rank(member) == best).collect();
        let chosen = preferred.choose(&mut rand::rng());
        chosen.map(|(name, member)| ((*name).clone(), (*member).clone()))
    }

    /// Sends no requests to a node for a while.
    pub(crate) fn avoid_node(&self, node: &NodeName) {
        let until = self.clock.now() + UNABLE_PAUSE;
        self.unable_nodes.borrow_mut().insert(node.clone(), until);
    }
}

impl ActiveRequest {
    /// Chooses another node for the next attempt.
    pub(crate) fn choose_node(&self, attempts: &Attempts) -> Result<Selection, NoSelection> {
        let chosen = self.gateway.find_node(&attempts.avoided);
        let (node, member) = chosen.ok_or(NoSelection::CutOff)?;
        let upstream = Arc::new(Upstream {
            name: (&*node).into(),
            incarnation: 0,
            service: self.service.clone(),
            addr: member.addr,
            domain: member.domain,
            capacity: u32::MAX,
            phase: Phase::Serving,
            accelerator_kind: None,
            layers: None,
        });
        let relay = Relay {
            node,
            entries: Rc::default(),
            failure: Rc::default(),
            is_unable: Rc::default(),
        };
        let client = Rc::new(NodeClient {
            clock: self.gateway.clock.clone(),
            request: self.relay_request(attempts),
            addr: member.addr,
            entries: relay.entries.clone(),
            failure: relay.failure.clone(),
            is_unable: relay.is_unable.clone(),
        });
        self.gateway.metrics.relayed.with_label_values(&["passed-on"]).inc();
        Ok(self.reserve_node(upstream, client, relay))
    }

    /// Whether the request may be passed on to another node now.
    pub(crate) fn may_relay(&self, attempts: &Attempts) -> bool {
        !self.is_relayed
            && self.gateway.is_cut_off()
            && self.gateway.find_node(&attempts.avoided).is_some()
    }

    fn relay_request(&self, attempts: &Attempts) -> RelayRequest {
        let now = self.gateway.clock.now();
        RelayRequest {
            id: self.id.clone(),
            host: self.route.host.clone(),
            method: self.method.to_string(),
            target: self.target.clone(),
            headers: RelayRequest::encode_headers(&self.headers),
            body: self.body.clone(),
            service: self.service.clone(),
            organisation: self.organisation.clone(),
            priority: self.priority,
            tokens: self.tokens,
            prompt: self.prompt,
            shared_parts: self.parts.shared.to_vec(),
            resume_after: self.resume_after,
            time_left: self.time_left(),
            start_left: self.start_by.since(now),
            used_entries: attempts.live_entries.clone(),
            new_entries: u32::from(attempts.entries_left(self) > 0),
        }
    }

    /// Records that an attempt of another node has failed without a decision of that node.
    pub(crate) fn avoid_node_after_error(&self, relay: &Relay, error: &CallError) {
        self.gateway.avoid_node(&relay.node);
        tracing::info!(request = %self.id, node = %relay.node, %error,
            "node does not run a request that was passed on to it");
    }

    /// Whether the events of another node have failed to come for so long that it may hang.
    pub(crate) fn is_relay_silent(&self, selection: &Selection) -> bool {
        selection.relay.is_some() && selection.run.silence() >= MAX_SILENCE
    }
}

/// Client of another node for one attempt.
struct NodeClient {
    clock: Rc<dyn Clock>,
    request: RelayRequest,
    addr: std::net::SocketAddr,
    entries: Rc<RefCell<Vec<EntryProcess>>>,
    failure: Rc<Cell<Option<RelayFailure>>>,
    is_unable: Rc<Cell<bool>>,
}

impl NodeClient {
    async fn send(&self, call: Call, limit: Duration) -> Result<UpstreamResponse, CallError> {
        let request = RelayRequest {
            time_left: call.time_left,
            resume_after: call.resume_after,
            ..self.request.clone()
        };
        let (reply, body) = relay::send(&*self.clock, self.addr, &request, limit).await?;
        match reply {
            RelayReply::Head(head) => {
                let response = self.response(head.status, head.header_map(), false, Some(body));
                self.entries.replace(head.entries);
                Ok(response)
            }
            RelayReply::Failed(failure) => {
                self.entries.replace(failure.entries.clone());
                let not_run = failure.verdict.allows_retry();
                self.failure.set(Some(failure));
                let status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
                Ok(self.response(status, HeaderMap::new(), not_run, None))
            }
            RelayReply::Unable => {
                self.is_unable.set(true);
                let status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
                Ok(self.response(status, HeaderMap::new(), true, None))
            }
        }
    }

    /// A response that another node has checked.
    fn response(
        &self,
        status: u16,
        headers: HeaderMap,
        not_run: bool,
        body: Option<RelayBody>,
    ) -> UpstreamResponse {
        UpstreamResponse {
            status,
            headers,
            signed: true,
            not_run,
            names_no_rate: false,
            refusing_engine: None,
            body: Box::new(NodeBody { clock: self.clock.clone(), body }),
        }
    }
}

impl UpstreamClient for NodeClient {
    fn call(
        &self,
        call: Call,
        limit: Duration,
    ) -> LocalBoxFuture<'_, Result<UpstreamResponse, CallError>> {
        self.send(call, limit).boxed_local()
    }

    fn probe(&self) -> LocalBoxFuture<'_, Result<(), CallError>> {
        async { Ok(()) }.boxed_local()
    }

    fn order_layers(&self, _: LoadOrder) -> LocalBoxFuture<'_, Result<OrderOutcome, CallError>> {
        async { Err(CallError::Connect("a node takes no orders".into())) }.boxed_local()
    }

    fn report(&self, _: Duration) -> LocalBoxFuture<'_, Result<EngineReport, CallError>> {
        async { Err(CallError::Connect("a node has no report".into())) }.boxed_local()
    }
}

/// The body of a response that another node passes on.
struct NodeBody {
    clock: Rc<dyn Clock>,
    /// `None` if there is none.
    body: Option<RelayBody>,
}

impl ResponseBody for NodeBody {
    fn next(&mut self, limit: Duration) -> LocalBoxFuture<'_, Result<Option<Bytes>, CallError>> {
        async move {
            match &mut self.body {
                Some(body) => body.next(&*self.clock, limit).await,
                None => Ok(None),
            }
        }
        .boxed_local()
    }
}
