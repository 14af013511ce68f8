//! Interface to the upstreams that serve routed requests: model engines that each hold a range of
//! layers, and ordinary services.
//!
//! Purpose: the types of calls, responses and load orders, and the traits [`UpstreamClient`] and
//! [`Connector`], which hide how they are encoded, and [`UpstreamObserver`], which learns what
//! upstreams say about themselves.
//!
//! Invariants: a failure says whether the call may have run; a response belongs to the call that it
//! is returned for. This crate must not know how upstreams are chosen.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Method};
use transport::CallError;
use types::{LayerRange, Organisation, RequestId, Stage};

/// A call to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier that the upstream must return with its response.
    pub id: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URL.
    pub target: Arc<str>,
    /// Headers of the caller's request that are forwarded unchanged.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Organisation that the call is made for.
    pub organisation: Option<Organisation>,
    /// Time until the deadline of the call.
    pub time_left: Duration,
    /// Engines that run the call and their layers, in order; empty for an ordinary service.
    pub stages: Vec<Stage>,
    /// Number of the last event that the caller has received, if the call resumes a stream.
    pub resume_after: Option<u64>,
    /// Priority at the upstream, from 0, the highest, to 9.
    pub priority: u32,
    /// Whether the call must use a connection that has not carried another call.
    pub new_connection: bool,
}

/// The response to a call. Its body may still be on its way.
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: HeaderMap,
    /// Whether the response carries a valid signature of the upstream.
    pub signed: bool,
    /// Whether the upstream states that it did not run the call.
    pub not_run: bool,
    /// Whether it comes from the upstream that was called, and does not limit the rate of requests.
    pub names_no_rate: bool,
    /// Address of the engine that refused, if a call that several engines run was refused.
    pub refusing_engine: Option<SocketAddr>,
    /// The body.
    pub body: Box<dyn ResponseBody>,
}

/// The body of a response.
pub trait ResponseBody {
    /// Waits at most `limit` for the next chunk. `None` means that the body is complete.
    fn next(&mut self, limit: Duration) -> LocalBoxFuture<'_, Result<Option<Bytes>, CallError>>;

    /// Size of the whole body in bytes, if the upstream states it.
    fn stated_size(&self) -> Option<usize> {
        None
    }
}

/// An order to an engine to load a range of layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Layers to load.
    pub layers: LayerRange,
    /// Number of orders that the engine must have accepted before this one, so that an order that
    /// arrives late has no effect.
    pub expected_orders: u64,
}

/// Response of an engine to a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has started to load the layers.
    Begun,
    /// The engine already holds the layers and loads nothing. Log lines write this variant's name.
    Done,
    /// The engine refused the order, for example because it is not in the expected state. Holds the
    /// HTTP status.
    Refused(u16),
}

/// State that an engine reports.
#[derive(Clone, Debug)]
pub struct EngineReport {
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// Number of load orders that it has accepted.
    pub accepted_orders: u64,
    /// Factor on the duration of its work: 1 at normal speed, more if the engine is slow.
    pub slowdown: f64,
    /// Addresses of the engines that calls which entered through this engine are waiting for.
    pub blocked_on: Vec<SocketAddr>,
}

/// Client of one incarnation of an upstream.
pub trait UpstreamClient {
    /// Sends a call, without retries, and waits at most `limit` for the head of the response.
    fn call(
        &self,
        call: Call,
        limit: Duration,
    ) -> LocalBoxFuture<'_, Result<UpstreamResponse, CallError>>;

    /// Checks that the upstream accepts connections: opens one and closes it again.
    fn probe(&self) -> LocalBoxFuture<'_, Result<(), CallError>>;

    /// Orders a model engine to load a range of layers.
    fn order_layers(&self, order: LoadOrder)
    -> LocalBoxFuture<'_, Result<OrderOutcome, CallError>>;

    /// Asks a model engine for its state and waits at most `limit` for the response.
    fn report(&self, limit: Duration) -> LocalBoxFuture<'_, Result<EngineReport, CallError>>;
}

/// Receives what one incarnation of an upstream says about itself beside its answers. A client
/// passes it on from every answer, whatever the answer was for and whether it was a success.
pub trait UpstreamObserver {
    /// The upstream has said that it is leaving.
    fn is_leaving(&self);

    /// The upstream has refused a request and asked this node to send it nothing for `length`. If
    /// the answer names the engine that refused, `refusing_engine` is its address.
    fn wants_pause(&self, length: Duration, refusing_engine: Option<SocketAddr>);

    /// The upstream has said how many requests a second it takes from all nodes together.
    fn limits_rate(&self, rate: f64);

    /// The upstream has sent a notice that is not valid, and that has no effect.
    fn sent_invalid_notice(&self, notice: Notice);
}

/// What an upstream may say about itself beside its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Notice {
    /// It is leaving.
    Leaving,
    /// It asks for a pause.
    Pause,
    /// It limits the rate of requests.
    RateLimit,
}

/// Creates clients of upstreams.
pub trait Connector {
    /// Creates a client of one incarnation of an upstream. The client tells `observer` what the
    /// upstream says about itself.
    fn connect(
        &self,
        upstream: &catalog::Upstream,
        observer: Rc<dyn UpstreamObserver>,
    ) -> Rc<dyn UpstreamClient>;
}
