//! Handler of OpenAI-style completion requests, with a streamed or a single response.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::{
    FutureExt, SinkExt, StreamExt,
    future::{Either, LocalBoxFuture, select},
};
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use transport::{Body, BodyWriter, encode_event, json_response};
use types::{
    Failure, FailureKind, MAX_NAME_BYTES, MAX_OUTPUT_TOKENS, MAX_PROMPT_TOKENS, RequestId, Verdict,
};

use crate::{
    CompletionRequest, CompletionSummary, RequestContext, RequestHandler, TokenSink,
    respond::{self, ErrorBody},
};

/// Maximum number of tokens buffered between the upstream and the caller's connection. When the
/// buffer is full, reading from the upstream pauses.
const MAX_BUFFERED_TOKENS: usize = 64;
/// Number of tokens to generate if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Serialize)]
struct CompletionChunk<'a> {
    id: &'a RequestId,
    object: &'static str,
    model: &'a str,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    verdict: Option<Verdict>,
}

#[derive(Serialize)]
struct Choice {
    index: u32,
    text: String,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
    attempts: u32,
}

struct ChannelSink {
    tokens: mpsc::Sender<String>,
}

impl TokenSink for ChannelSink {
    fn token(&mut self, text: String) -> LocalBoxFuture<'_, bool> {
        async move { self.tokens.send(text).await.is_ok() }.boxed_local()
    }
}

type CompletionFuture = LocalBoxFuture<'static, Result<CompletionSummary, Failure>>;

/// Parses a completion request, runs it and responds.
pub(crate) async fn handle<B: RequestHandler + 'static>(
    backend: Rc<B>,
    caller: RequestContext,
    body: Bytes,
) -> Response<Body> {
    let id = caller.id.clone();
    let (request, stream) = match parse(caller, &body) {
        Ok(parsed) => parsed,
        Err(message) => {
            let failure = Failure::not_run(FailureKind::Invalid, message);
            return respond::failure_response(&failure, &id);
        }
    };
    let model: Arc<str> = Arc::from(request.model.as_str());
    let (sender, tokens) = mpsc::channel(MAX_BUFFERED_TOKENS);
    let completion = backend.complete(request, Box::new(ChannelSink { tokens: sender }));
    if stream {
        respond_streamed(completion, tokens, id, model).await
    } else {
        respond_buffered(completion, tokens, id, model).await
    }
}

/// Parses the body. Also returns whether the response is to be streamed. The error message is
/// returned to the caller.
fn parse(caller: RequestContext, body: &[u8]) -> Result<(CompletionRequest, bool), String> {
    let body: CompletionBody = serde_json::from_slice(body)
        .map_err(|error| format!("request body is not valid: {error}"))?;
    if body.model.is_empty() || body.model.len() > MAX_NAME_BYTES {
        return Err(format!("model must have 1 to {MAX_NAME_BYTES} bytes"));
    }
    let prompt_tokens = body.prompt.split_whitespace().count();
    if prompt_tokens == 0 || prompt_tokens > MAX_PROMPT_TOKENS {
        return Err(format!("prompt must have 1 to {MAX_PROMPT_TOKENS} tokens"));
    }
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MAX_OUTPUT_TOKENS {
        return Err(format!("max_tokens must be from 1 to {MAX_OUTPUT_TOKENS}"));
    }
    let request = CompletionRequest {
        caller,
        model: body.model.into(),
        prompt: body.prompt.into(),
        max_tokens,
    };
    Ok((request, body.stream))
}

async fn respond_buffered(
    completion: CompletionFuture,
    tokens: mpsc::Receiver<String>,
    id: RequestId,
    model: Arc<str>,
) -> Response<Body> {
    let (outcome, text) = futures_util::join!(completion, tokens.collect::<String>());
    match outcome {
        Ok(summary) => {
            let chunk = final_chunk(&id, &model, text, &summary);
            respond::add_headers(json_response(StatusCode::OK, &chunk), &id, Some(Verdict::Ran))
        }
        Err(failure) => respond::failure_response(&failure, &id),
    }
}

/// Waits for the first token before it sends the status and headers, so that a request that fails
/// before its first token gets an error status.
async fn respond_streamed(
    completion: CompletionFuture,
    mut tokens: mpsc::Receiver<String>,
    id: RequestId,
    model: Arc<str>,
) -> Response<Body> {
    let (first, completion) = match select(tokens.next(), completion).await {
        Either::Left((first, completion)) => (first, completion),
        Either::Right((Err(failure), _)) => return respond::failure_response(&failure, &id),
        Either::Right((Ok(summary), first)) => {
            (first.await, futures_util::future::ready(Ok(summary)).boxed_local())
        }
    };
    let response_id = id.clone();
    let body = Body::streamed(move |writer| async move {
        write_stream(writer, completion, (first, tokens), id, model).await;
    });
    let mut response = Response::new(body);
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    // The verdict is known only at the end of the stream, so the last event carries it.
    respond::add_headers(response, &response_id, None)
}

async fn write_stream(
    mut writer: BodyWriter,
    completion: CompletionFuture,
    (first, mut tokens): (Option<String>, mpsc::Receiver<String>),
    id: RequestId,
    model: Arc<str>,
) {
    let mut token_writer = writer.clone();
    let forward = async {
        let mut next = first;
        while let Some(text) = next {
            let chunk = encode_event(&token_chunk(&id, &model, text));
            if !token_writer.write(chunk).await {
                return;
            }
            next = tokens.next().await;
        }
    };
    let (outcome, ()) = futures_util::join!(completion, forward);
    let last_event = match outcome {
        Ok(summary) => encode_event(&final_chunk(&id, &model, String::new(), &summary)),
        Err(failure) => encode_event(&ErrorBody::new(&failure, &id)),
    };
    if writer.write(last_event).await {
        writer.write("data: [DONE]\n\n").await;
    }
}

fn token_chunk<'a>(id: &'a RequestId, model: &'a str, text: String) -> CompletionChunk<'a> {
    CompletionChunk {
        id,
        object: "text_completion",
        model,
        choices: [Choice { index: 0, text, finish_reason: None }],
        usage: None,
        verdict: None,
    }
}

fn final_chunk<'a>(
    id: &'a RequestId,
    model: &'a str,
    text: String,
    summary: &CompletionSummary,
) -> CompletionChunk<'a> {
    CompletionChunk {
        id,
        object: "text_completion",
        model,
        choices: [Choice { index: 0, text, finish_reason: Some("length") }],
        usage: Some(Usage { completion_tokens: summary.tokens, attempts: summary.attempts }),
        verdict: Some(Verdict::Ran),
    }
}
