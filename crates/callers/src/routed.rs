use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Method};
use transport::{Body, RequestBody};
use types::{Digest, Failure, FailureKind, RequestId};

use crate::{ExplainQuery, Explanation};

/// A request that is routed by its host and path.
pub struct RoutedRequest {
    /// Identifier, which the caller chooses anew each time it sends the request.
    pub id: RequestId,
    /// Host name, without the port, in lower case.
    pub host: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Arc<str>,
    /// API key, which identifies the caller's organisation.
    pub key: Option<Arc<str>>,
    /// Headers to forward unchanged.
    pub headers: HeaderMap,
    /// Size of the request line and all received headers, in bytes.
    pub head_bytes: usize,
    /// Body of the request.
    pub body: RequestBody,
    /// Time that the caller waits for the response.
    pub deadline: Option<Duration>,
    /// Number of tokens, for a request that generates text with a model.
    pub generation: Option<GenerationSize>,
    /// Identifiers of the parts of the prompt that other requests may have as well, in the order of
    /// the prompt.
    pub shared_parts: Arc<[Digest]>,
    /// Number of the last event that the caller received, if it resumes a stream.
    pub resume_after: Option<u64>,
}

/// Size of a request that generates text with a model, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationSize {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub output: u32,
    /// Number of output tokens that the caller expects.
    pub output_hint: Option<u32>,
}

/// The response to a routed request.
pub struct RoutedResponse {
    /// HTTP status of the upstream.
    pub status: u16,
    /// Headers of the upstream to forward.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Body,
}

/// A routed request that failed.
#[derive(Debug)]
pub struct RoutedFailure {
    /// What failed, and whether the request may have run.
    pub failure: Failure,
    /// Time after which the caller may send the request again, for one that has not run.
    pub retry_after: Option<Duration>,
    /// HTTP status to use instead of the one that follows from the failure's kind and verdict.
    pub status: Option<u16>,
}

impl RoutedFailure {
    /// Creates a failure whose request the caller may send again when `after` has passed.
    pub fn retry_after(failure: Failure, after: Duration) -> RoutedFailure {
        RoutedFailure { failure, retry_after: Some(after), status: None }
    }
}

impl From<Failure> for RoutedFailure {
    fn from(failure: Failure) -> RoutedFailure {
        RoutedFailure { failure, retry_after: None, status: None }
    }
}

/// Routes the requests that a front end decodes. A node implements it.
pub trait Router {
    /// Routes a request to an upstream. The future is dropped when the caller disconnects.
    fn route(
        self: Rc<Self>,
        request: RoutedRequest,
    ) -> LocalBoxFuture<'static, Result<RoutedResponse, RoutedFailure>>;

    /// Whether the load balancer should open new connections to this node.
    fn is_ready(&self) -> bool;

    /// Whether the node is shutting down, so that each connection is closed after its next
    /// response.
    fn is_draining(&self) -> bool;

    /// The metrics of the node in text form.
    fn metrics(&self) -> Bytes;

    /// What the node would do with a request now. It is not sent, and nothing changes. Fails as the
    /// request would if it has no route or no valid API key. A node that does not support it has no
    /// route for any request here.
    fn explain(self: Rc<Self>, query: &ExplainQuery) -> Result<Explanation, RoutedFailure> {
        let message = format!("requests for {} cannot be explained here", query.host);
        Err(Failure::not_run(FailureKind::NotFound, message).into())
    }
}
