//! The peer crate for plain services: upstreams that, unlike model engines, serve ordinary HTTP
//! calls.
//!
//! Invariants: every call is sent over a new connection, so a failure to connect proves that the
//! call did not run; this crate never sends a call twice. It must not know which calls are
//! idempotent.

mod client;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Method, StatusCode};
use transport::CallError;

pub use client::HttpService;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URI.
    pub path: String,
    /// Headers that are passed on to the service.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// The complete response of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the `content-type` header, if it is present and holds only visible ASCII.
    pub content_type: Option<String>,
    /// Response body.
    pub body: Bytes,
}

/// One replica of a plain service.
pub trait Service {
    /// Sends a call once and reads the complete response.
    fn call(&self, call: ServiceCall) -> LocalBoxFuture<'_, Result<ServiceResponse, CallError>>;

    /// Checks the replica's health endpoint; any status but a success is an error.
    fn ping(&self) -> LocalBoxFuture<'_, Result<(), CallError>>;
}
