use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Method};
use types::{Class, Failure, ModelName, Organisation, RequestId, ServiceName, Verdict};

/// Who sent a request, and how it is to be treated.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Identifier of the request.
    pub id: RequestId,
    /// Organisation of the caller.
    pub organisation: Organisation,
    /// Class of the request.
    pub class: Class,
    /// Time within which an answer is useful; the configuration's default if absent.
    pub deadline: Option<Duration>,
}

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Who sent the request.
    pub caller: Caller,
    /// Model to run.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Number of tokens to generate.
    pub max_tokens: u32,
}

/// What is known after a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionSummary {
    /// Tokens that were generated.
    pub tokens: u32,
    /// Attempts that were needed.
    pub attempts: u32,
}

/// Takes the tokens of a completion.
pub trait TokenSink {
    /// Takes the text of one token. Returns whether the caller is still there.
    fn token(&mut self, text: String) -> LocalBoxFuture<'_, bool>;
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Who sent the request.
    pub caller: Caller,
    /// Service to call.
    pub service: ServiceName,
    /// Method of the call.
    pub method: Method,
    /// Path and query within the service.
    pub path: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
    /// Whether the caller states that it has never sent this key before.
    pub first_send: bool,
}

impl ServiceRequest {
    /// The failure of this request when it is refused before its idempotency key was looked up. An
    /// earlier send of the key may have run, unless the caller states that there was none.
    pub fn refusal(&self, failure: Failure) -> Failure {
        let sent_before = self.key.is_some() && !self.first_send;
        let verdict = if sent_before { Verdict::MayHaveRun } else { failure.verdict };
        Failure { verdict, ..failure }
    }
}

/// Answer of a plain service.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if there is one.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Whether the answer is that of an earlier send with the same idempotency key.
    pub replayed: bool,
}
