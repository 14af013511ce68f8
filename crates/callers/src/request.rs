use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Method};
use types::{Class, Failure, ModelName, Organisation, RequestId, ServiceName, Verdict};

/// Context of one request: its identifier, the organisation that sent it, and the class and
/// deadline that it chose.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Identifier of the request.
    pub id: RequestId,
    /// Organisation of the caller.
    pub organisation: Organisation,
    /// Class of the request.
    pub class: Class,
    /// Time from the arrival of the request in which the caller needs the response; the configured
    /// default if absent.
    pub deadline: Option<Duration>,
}

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Who sent the request.
    pub caller: RequestContext,
    /// Model to run.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Number of tokens to generate.
    pub max_tokens: u32,
}

/// Summary of a finished completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionSummary {
    /// Tokens that were generated.
    pub tokens: u32,
    /// Number of attempts that were needed.
    pub attempts: u32,
}

/// Receives the tokens of a completion.
pub trait TokenSink {
    /// Writes the text of one token. Returns `false` if the caller has closed the connection.
    fn token(&mut self, text: String) -> LocalBoxFuture<'_, bool>;
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Who sent the request.
    pub caller: RequestContext,
    /// Service to call.
    pub service: ServiceName,
    /// Method of the call.
    pub method: Method,
    /// Path and query within the service.
    pub path: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body of the call.
    pub body: Bytes,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
    /// Whether the caller states that it has never sent this key before.
    pub first_send: bool,
}

impl ServiceRequest {
    /// The failure to report when this request is refused before its idempotency key was looked up.
    /// If the caller may have sent the key before, that earlier request may have run, so the
    /// verdict is [`Verdict::MayHaveRun`].
    pub fn refusal(&self, failure: Failure) -> Failure {
        let sent_before = self.key.is_some() && !self.first_send;
        let verdict = if sent_before { Verdict::MayHaveRun } else { failure.verdict };
        Failure { verdict, ..failure }
    }
}

/// Response of a plain service, as it is returned to the caller.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if there is one.
    pub content_type: Option<String>,
    /// Body of the response.
    pub body: Bytes,
    /// Whether this is the stored response to an earlier request with the same idempotency key.
    pub replayed: bool,
}
