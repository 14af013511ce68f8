//! The peer crate for callers: the HTTP front end.
//!
//! Purpose: turn HTTP requests into [`CompletionRequest`] and [`ServiceRequest`] values, and answers,
//! failures and verdicts into HTTP responses. [`Router`] is the border for front ends of requests
//! that are routed by host and path.
//!
//! Invariants: every response carries a request identifier and a verdict; malformed input is
//! refused with a sentence that says what is wrong; every part of a request is bounded. This
//! crate must not know how requests are routed.

mod completions;
mod front;
mod headers;
mod request;
mod respond;
mod routed;

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use types::Failure;

pub use front::FrontEnd;
pub use request::{
    Caller, CallerResponse, CompletionRequest, CompletionSummary, ServiceRequest, TokenSink,
};
pub use routed::{GenerationSize, RoutedFailure, RoutedRequest, RoutedResponse, Router};

/// What the front end needs from the rest of a node.
pub trait Backend {
    /// Runs a completion and writes its tokens to `sink`.
    fn complete(
        self: Rc<Self>,
        request: CompletionRequest,
        sink: Box<dyn TokenSink>,
    ) -> LocalBoxFuture<'static, Result<CompletionSummary, Failure>>;

    /// Passes a call on to a plain service.
    fn call_service(
        self: Rc<Self>,
        request: ServiceRequest,
    ) -> LocalBoxFuture<'static, Result<CallerResponse, Failure>>;

    /// Whether the node takes new requests.
    fn is_accepting(&self) -> bool;

    /// Creates an identifier for a request.
    fn new_request_id(&self) -> types::RequestId;
}
