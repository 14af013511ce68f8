//! The peer crate for plain services, which run beside the model engines and answer ordinary HTTP
//! calls.
//!
//! Invariants: every call goes over a new connection, so a failure to connect proves that the
//! call did not run; nothing is sent twice here. This crate must not know which calls are
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
    /// Method of the call.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The whole answer of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// Status.
    pub status: StatusCode,
    /// Content type, if there is one.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// One replica of a plain service.
pub trait Service {
    /// Sends a call once and reads the whole answer.
    fn call(&self, call: ServiceCall) -> LocalBoxFuture<'_, Result<ServiceResponse, CallError>>;

    /// Asks the replica whether it is healthy.
    fn ping(&self) -> LocalBoxFuture<'_, Result<(), CallError>>;
}
