use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Method};
use transport::{Body, RequestBody};
use types::{Failure, RequestId};

/// A request that is routed by its host and path.
pub struct RoutedRequest {
    /// Identifier, which the caller chooses for each send.
    pub id: RequestId,
    /// Host that the request is for.
    pub host: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Arc<str>,
    /// Key that says which organisation the caller belongs to.
    pub key: Option<Arc<str>>,
    /// Headers that are passed on unchanged.
    pub headers: HeaderMap,
    /// Bytes of the head as it was received.
    pub head_bytes: usize,
    /// The body.
    pub body: RequestBody,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Size of the work, for a generation.
    pub generation: Option<GenerationSize>,
    /// Number of the last event that the caller has, when it resumes a stream.
    pub resume_after: Option<u64>,
}

/// Size of a generation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Largest number of tokens of the answer.
    pub output: u32,
    /// Number of tokens that the caller expects.
    pub output_hint: Option<u32>,
}

/// The answer to a routed request.
pub struct RoutedResponse {
    /// HTTP status of the upstream.
    pub status: u16,
    /// Headers of the upstream that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

/// A routed request that failed.
#[derive(Debug)]
pub struct RoutedFailure {
    /// What failed, and whether the request may have run.
    pub failure: Failure,
    /// When a request that has not run may be sent again.
    pub retry_after: Option<Duration>,
    /// Status that fits better than the one of the failure's kind.
    pub status: Option<u16>,
}

impl RoutedFailure {
    /// A failure of a request that has not run and may be sent again after a while.
    pub fn retry_after(failure: Failure, after: Duration) -> RoutedFailure {
        RoutedFailure { failure, retry_after: Some(after), status: None }
    }
}

impl From<Failure> for RoutedFailure {
    fn from(failure: Failure) -> RoutedFailure {
        RoutedFailure { failure, retry_after: None, status: None }
    }
}

/// What a front end for routed requests needs from the rest of a node.
pub trait Router {
    /// Runs a request. The future is dropped when the caller goes away.
    fn route(
        self: Rc<Self>,
        request: RoutedRequest,
    ) -> LocalBoxFuture<'static, Result<RoutedResponse, RoutedFailure>>;

    /// Whether the balancer should send new connections.
    fn is_ready(&self) -> bool;

    /// Whether the node is shutting down, so that connections end after their next answer.
    fn is_draining(&self) -> bool;

    /// The metrics of the node as text.
    fn metrics(&self) -> Bytes;
}
