//! HTTP front end for callers.
//!
//! Purpose: decode HTTP requests into [`CompletionRequest`] and [`ServiceRequest`] values, and
//! encode results, failures and verdicts as HTTP responses. A front end for requests that are
//! routed by host and path is in another crate; [`Router`] is the interface that it calls.
//!
//! Invariants: every response carries a request identifier and a verdict, a stream in its last
//! event; malformed input is rejected with a message that says what is wrong; the size of every
//! part of a request is limited. This crate must not know how requests are routed.

mod completions;
mod explain;
mod front;
mod headers;
mod request;
mod respond;
mod routed;

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use types::Failure;

pub use explain::{
    Candidate, Configuration, Excluded, ExplainQuery, Explanation, LoadAge, Outcome, PathRules,
    PredictedTimes, ServiceOutcome,
};
pub use front::FrontEnd;
pub use request::{
    CallerResponse, CompletionRequest, CompletionSummary, RequestContext, ServiceRequest, TokenSink,
};
pub use routed::{GenerationSize, RoutedFailure, RoutedRequest, RoutedResponse, Router};

/// Executes the requests that the front end decodes. The router's node implements it.
pub trait RequestHandler {
    /// Runs a completion and writes its tokens to `sink`.
    fn complete(
        self: Rc<Self>,
        request: CompletionRequest,
        sink: Box<dyn TokenSink>,
    ) -> LocalBoxFuture<'static, Result<CompletionSummary, Failure>>;

    /// Calls a plain service.
    fn call_service(
        self: Rc<Self>,
        request: ServiceRequest,
    ) -> LocalBoxFuture<'static, Result<CallerResponse, Failure>>;

    /// Whether the node accepts new requests; it does not while it shuts down.
    fn is_accepting(&self) -> bool;

    /// Creates an identifier for a request whose caller gave none.
    fn new_request_id(&self) -> types::RequestId;
}
