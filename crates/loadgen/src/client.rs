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

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Identifier that the caller gives the request; the node chooses one if it is empty.
    pub id: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Class of the request.
    pub class: Class,
    /// Model to run.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Deadline of the request.
    pub deadline: Duration,
}

/// A filing with a plain service.
#[derive(Clone, Debug)]
pub struct Filing {
    /// Identifier that the caller gives the request; the node chooses one if it is empty.
    pub id: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Idempotency key; none if it is empty.
    pub key: String,
    /// Text of the filing.
    pub text: String,
    /// Whether the caller states that it sends the key for the first time.
    pub first_send: bool,
    /// Deadline of the request.
    pub deadline: Duration,
}

/// A caller of one node.
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
    /// Creates a caller of the node at `addr`.
    pub fn new(clock: Rc<dyn Clock>, addr: SocketAddr) -> CallerClient {
        CallerClient { client: HttpClient::new(clock.clone(), addr), clock }
    }

    /// Requests a completion as a stream and reads all of it.
    pub async fn completion(&self, completion: &Completion) -> CompletionOutcome {
        let mut outcome = CompletionOutcome::default();
        let started = self.clock.now();
        if let Err(error) = self.read_completion(completion, &mut outcome).await {
            outcome.error = Some(error.to_string());
        }
        outcome.total = self.clock.now().since(started);
        outcome
    }

    /// Sends a filing.
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
        let request = with_caller(Request::builder(), &completion.id, &completion.organisation)
            .method(Method::POST)
            .uri("/v1/completions")
            .header("x-class", <&str>::from(completion.class))
            .header("x-deadline-ms", completion.deadline.as_millis().to_string())
            .body(Body::from(body.to_string()))
            .map_err(|error| CallError::Connect(error.to_string()))?;
        let limit = timeouts(completion.deadline);
        let started = self.clock.now();
        let response = self.client.send(request, limit).await?;
        outcome.status = response.status().as_u16();
        if outcome.status != 200 {
            outcome.verdict = verdict_of(&response);
            let body = response.collect(MAX_ANSWER_BYTES, limit.progress).await?;
            outcome.error = Some(String::from_utf8_lossy(&body).into_owned());
            return Ok(());
        }
        let mut events = EventReader::new(response);
        let mut last = started;
        while let Some(event) = events.next(limit.progress).await? {
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
                    outcome.intervals.push(now.since(last));
                }
                last = now;
            }
        }
        Err(CallError::Broken("the stream ended without its last event".into()))
    }

    async fn send_filing(
        &self,
        filing: &Filing,
        outcome: &mut FilingOutcome,
    ) -> Result<(), CallError> {
        let mut request = with_caller(Request::builder(), &filing.id, &filing.organisation)
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
        let limit = timeouts(filing.deadline);
        let response = self.client.send_on_new_connection(request, limit).await?;
        outcome.status = response.status().as_u16();
        outcome.verdict = verdict_of(&response);
        outcome.replayed = response.headers().contains_key("x-replayed");
        let body = response.collect(MAX_ANSWER_BYTES, limit.progress).await?;
        outcome.body = String::from_utf8_lossy(&body).into_owned();
        Ok(())
    }
}

fn with_caller(request: Builder, id: &str, organisation: &str) -> Builder {
    let request = request.header("host", "gypsumrack").header("x-organisation", organisation);
    if id.is_empty() { request } else { request.header(REQUEST_ID_HEADER, id) }
}

/// A caller waits somewhat longer than the deadline that it names, so that the node answers
/// first.
fn timeouts(deadline: Duration) -> Timeouts {
    Timeouts { connect: Duration::from_secs(1), progress: deadline + Duration::from_secs(2) }
}

fn verdict_of(response: &ResponseStream) -> Option<Verdict> {
    response.headers().get(VERDICT_HEADER)?.to_str().ok()?.parse().ok()
}
