//! The border to the upstreams that serve routed requests: model engines that each hold a range of
//! layers, and plain services.
//!
//! Purpose: the types of a call, its answer and an order, and the [`UpstreamClient`] and [`Connector`]
//! traits behind which an encoding of them stands.
//!
//! Invariants: a failure says whether the call may have run; an answer belongs to the call that it
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
    /// Identifier that the upstream has to echo.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Arc<str>,
    /// Headers of the caller that are passed on unchanged.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Organisation that the call is made for.
    pub organisation: Option<Organisation>,
    /// Time that is left for the call.
    pub time_left: Duration,
    /// Engines that run the call, for one that takes several.
    pub stages: Vec<Stage>,
    /// Number of the last event of the stream that the caller has.
    pub resume_after: Option<u64>,
    /// Rank at the upstream, 0 to 9, where 0 goes first.
    pub priority: u32,
    /// Whether the call goes over a connection that never carried another one.
    pub new_connection: bool,
}

/// The answer to a call, up to its body.
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Whether the upstream proves by its signature that the answer is its own.
    pub signed: bool,
    /// Whether the upstream states that it did not run the call.
    pub not_run: bool,
    /// The engine at fault, when a call over several ones was refused.
    pub failed_engine: Option<SocketAddr>,
    /// The body.
    pub body: Box<dyn ResponseBody>,
}

/// The body of an answer.
pub trait ResponseBody {
    /// Waits at most `limit` for the next part; `None` is the complete end.
    fn next(&mut self, limit: Duration) -> LocalBoxFuture<'_, Result<Option<Bytes>, CallError>>;
}

/// An order to hold a range of layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Layers to hold.
    pub layers: LayerRange,
    /// Orders that the engine must have accepted before, so that a late order has no effect.
    pub accepted_orders: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries it out.
    Begun,
    /// The engine is already as ordered.
    Done,
    /// The engine is in another state than expected, or refuses.
    Refused(u16),
}

/// What an engine says of itself.
#[derive(Clone, Debug)]
pub struct EngineReport {
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// Orders that it has accepted.
    pub accepted_orders: u64,
    /// Factor on the time of its work; above 1 it is slow.
    pub slowdown: f64,
    /// Engines that calls wait for which entered through this one.
    pub blocked_on: Vec<SocketAddr>,
}

/// One start of one upstream.
pub trait UpstreamClient {
    /// Sends a call once and waits at most `limit` for the head of its answer.
    fn call(
        &self,
        call: Call,
        limit: Duration,
    ) -> LocalBoxFuture<'_, Result<UpstreamResponse, CallError>>;

    /// Opens a connection and closes it again.
    fn probe(&self) -> LocalBoxFuture<'_, Result<(), CallError>>;

    /// Orders a model engine to hold a range of layers.
    fn order_layers(&self, order: LoadOrder)
    -> LocalBoxFuture<'_, Result<OrderOutcome, CallError>>;

    /// Asks a model engine for its state.
    fn report(&self, limit: Duration) -> LocalBoxFuture<'_, Result<EngineReport, CallError>>;
}

/// Connects to upstreams.
pub trait Connector {
    /// Creates a client of one incarnation of an upstream.
    fn connect(&self, upstream: &catalog::Upstream) -> Rc<dyn UpstreamClient>;
}
