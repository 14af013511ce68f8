use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::Clock;
use http::{Method, Request, request::Builder};
use serde::Deserialize;
use transport::{
    Body, CallError, EventReader, HttpClient, REQUEST_ID_HEADER, ResponseStream, Timeouts,
    VERDICT_HEADER,
};
use types::{Class, Verdict};

use crate::{CompletionOutcome, FilingOutcome};

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Identifier of the request, chosen by the caller; if it is empty, the node chooses one.
    pub id: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Class of the request.
    pub class: Class,
    /// Model to run.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Time from sending the request to its deadline.
    pub deadline: Duration,
}

/// A filing: a text that a caller submits to the plain service `registry`.
#[derive(Clone, Debug)]
pub struct Filing {
    /// Identifier of the request, chosen by the caller; if it is empty, the node chooses one.
    pub id: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Idempotency key; if it is empty, none is sent.
    pub key: String,
    /// Text of the filing.
    pub text: String,
    /// Whether the caller declares that it has not sent this key before.
    pub first_send: bool,
    /// Time from sending the request to its deadline.
    pub deadline: Duration,
}

/// Sends requests to one node as a caller does.
pub struct CallerClient {
    clock: Rc<dyn Clock>,
    client: HttpClient,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    verdict: Option<Verdict>,
    usage: Option<Usage>,
    error: Option<ErrorDetail>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

#[derive(Deserialize)]
struct Usage {
    attempts: u32,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
    verdict: Verdict,
}

impl CallerClient {
    /// Creates a client for the node at `addr`.
    pub fn new(clock: Rc<dyn Clock>, addr: SocketAddr) -> CallerClient {
        CallerClient { client: HttpClient::new(clock.clone(), addr), clock }
    }

    /// Requests a completion as a stream and reads the stream to its end.
    pub async fn completion(&self, completion: &Completion) -> CompletionOutcome {
        let mut outcome = CompletionOutcome::default();
        let started = self.clock.now();
        if let Err(error) = self.read_completion(completion, &mut outcome).await {
            outcome.error = Some(error.to_string());
        }
        outcome.total = self.clock.now().since(started);
        outcome
    }

    /// Sends a filing over a new connection and reads the response.
    pub async fn file(&self, filing: &Filing) -> FilingOutcome {
        let mut outcome = FilingOutcome::default();
        let started = self.clock.now();
        if let Err(error) = self.send_filing(filing, &mut outcome).await {
            outcome.error = Some(error.to_string());
        }
        outcome.total = self.clock.now().since(started);
        outcome
    }

    async fn read_completion(
        &self,
        completion: &Completion,
        outcome: &mut CompletionOutcome,
    ) -> Result<(), CallError> {
        let body = serde_json::json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": true,
        });
        let request =
            with_caller_headers(Request::builder(), &completion.id, &completion.organisation)
                .method(Method::POST)
                .uri("/v1/completions")
                .header("x-class", <&str>::from(completion.class))
                .header("x-deadline-ms", completion.deadline.as_millis().to_string())
                .body(Body::from(body.to_string()))
                .map_err(|error| CallError::Connect(error.to_string()))?;
        let timeouts = timeouts_for(completion.deadline);
        let started = self.clock.now();
        let response = self.client.send(request, timeouts).await?;
        outcome.status = response.status().as_u16();
        if outcome.status != 200 {
            outcome.verdict = verdict_of(&response);
            let body = response.collect(MAX_RESPONSE_BYTES, timeouts.progress).await?;
            outcome.error = Some(String::from_utf8_lossy(&body).into_owned());
            return Ok(());
        }
        let mut events = EventReader::new(response);
        let mut last_arrival = started;
        while let Some(event) = events.next(timeouts.progress).await? {
            if event == "[DONE]" {
                return Ok(());
            }
            let chunk: Chunk = serde_json::from_slice(&event)
                .map_err(|error| CallError::Malformed(error.to_string()))?;
            let now = self.clock.now();
            if let Some(error) = chunk.error {
                outcome.verdict = Some(error.verdict);
                outcome.error = Some(error.message);
                return Ok(());
            }
            outcome.verdict = chunk.verdict.or(outcome.verdict);
            outcome.attempts = chunk.usage.map_or(outcome.attempts, |usage| usage.attempts);
            for choice in chunk.choices.iter().filter(|choice| !choice.text.is_empty()) {
                outcome.text.push_str(&choice.text);
                outcome.tokens += 1;
                if outcome.tokens == 1 {
                    outcome.first_token = now.since(started);
                } else {
                    outcome.intervals.push(now.since(last_arrival));
                }
                last_arrival = now;
            }
        }
        Err(CallError::Broken("stream ended without the [DONE] event".into()))
    }

    async fn send_filing(
        &self,
        filing: &Filing,
        outcome: &mut FilingOutcome,
    ) -> Result<(), CallError> {
        let mut request = with_caller_headers(Request::builder(), &filing.id, &filing.organisation)
            .method(Method::POST)
            .uri("/services/registry/filings")
            .header("x-deadline-ms", filing.deadline.as_millis().to_string())
            .header("x-first-send", filing.first_send.to_string());
        if !filing.key.is_empty() {
            request = request.header("idempotency-key", &filing.key);
        }
        let request = request
            .body(Body::from(filing.text.clone()))
            .map_err(|error| CallError::Connect(error.to_string()))?;
        let timeouts = timeouts_for(filing.deadline);
        let response = self.client.send_on_new_connection(request, timeouts).await?;
        outcome.status = response.status().as_u16();
        outcome.verdict = verdict_of(&response);
        outcome.replayed = response.headers().contains_key("x-replayed");
        let body = response.collect(MAX_RESPONSE_BYTES, timeouts.progress).await?;
        outcome.body = String::from_utf8_lossy(&body).into_owned();
        Ok(())
    }
}

fn with_caller_headers(request: Builder, id: &str, organisation: &str) -> Builder {
    let request = request.header("host", "gypsumrack").header("x-organisation", organisation);
    if id.is_empty() { request } else { request.header(REQUEST_ID_HEADER, id) }
}

/// Time limits for a request with this deadline. The client waits longer than the deadline, so that
/// the node reports a missed deadline before the client times out.
fn timeouts_for(deadline: Duration) -> Timeouts {
    Timeouts { connect: Duration::from_secs(1), progress: deadline + Duration::from_secs(2) }
}

fn verdict_of(response: &ResponseStream) -> Option<Verdict> {
    response.headers().get(VERDICT_HEADER)?.to_str().ok()?.parse().ok()
}
