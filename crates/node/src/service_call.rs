//! Runs a call to a plain service. A call with an idempotent method is retried. Another one is sent
//! again only if it did not run, and with an idempotency key it is sent only under a claim.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use callers::{CallerResponse, ServiceRequest};
use claims::{Claim, ClaimKey, ClaimOutcome, ClaimRequest, StoredResponse};
use clock::{Timestamp, timeout};
use futures_util::future::{Either, select};
use operators::api::Decision;
use services::{ServiceCall, ServiceResponse};
use settings::{Policy, ServiceConfig};
use types::{Digest, Failure, FailureKind, UpstreamName, Verdict};

use crate::{state::Node, trace::TraceWriter};

const SECONDS_PER_HOUR: u64 = 3600;
/// Time without an answer after which an idempotent call is sent a second time.
const HEDGE_DELAY: Duration = Duration::from_secs(2);
/// Time-out of a lookup. The lookup has a time of its own because the request's deadline may have
/// passed when it starts, and it is short because the caller still waits for the answer.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// A running call to a plain service.
pub(crate) struct ServiceCallRun {
    pub(crate) node: Rc<Node>,
    pub(crate) request: ServiceRequest,
    pub(crate) service: ServiceConfig,
    pub(crate) policy: Policy,
    pub(crate) trace: TraceWriter,
    pub(crate) deadline: Timestamp,
    /// Whether the caller has gone away.
    pub(crate) caller_gone: Rc<Cell<bool>>,
}

impl ServiceCallRun {
    pub(crate) async fn run(self) -> Result<CallerResponse, Failure> {
        let method = self.request.method.as_str();
        if self.service.idempotent.iter().any(|idempotent| idempotent == method) {
            return self.run_idempotent().await;
        }
        let Some(key) = self.request.key.clone() else {
            let response = self.send_once().await?;
            return Ok(caller_response(response));
        };
        let organisation = self.request.caller.organisation.clone();
        self.run_claimed(ClaimKey { organisation, key }).await
    }

    async fn run_idempotent(&self) -> Result<CallerResponse, Failure> {
        let mut last = None;
        for _ in 0..self.policy.attempt_limit {
            match self.send_hedged().await {
                Ok(response) => return Ok(caller_response(response)),
                Err(failure) if failure.kind == FailureKind::Upstream => last = Some(failure),
                Err(failure) => return Err(failure),
            }
        }
        Err(last.unwrap_or_else(|| no_replica(&self.request)))
    }

    /// Sends an idempotent call, and sends it a second time if there is no answer within
    /// [`HEDGE_DELAY`], because the connection of the first may have gone silent. Returns the first
    /// response.
    async fn send_hedged(&self) -> Result<ServiceResponse, Failure> {
        let first = pin!(self.send_once());
        let first = match select(first, self.node.clock.sleep(HEDGE_DELAY)).await {
            Either::Left((outcome, _)) => return outcome,
            Either::Right(((), first)) => first,
        };
        match select(first, pin!(self.send_once())).await {
            Either::Left((Ok(response), _)) | Either::Right((Ok(response), _)) => Ok(response),
            Either::Left((Err(_), second)) => second.await,
            Either::Right((Err(_), first)) => first.await,
        }
    }

    async fn run_claimed(&self, key: ClaimKey) -> Result<CallerResponse, Failure> {
        let request = &self.request;
        let digest = Digest::of(&[
            request.service.as_bytes(),
            request.method.as_str().as_bytes(),
            request.path.as_bytes(),
            &request.body,
        ]);
        let claim_request =
            ClaimRequest { key, digest, deadline: self.deadline, first_send: request.first_send };
        match self.node.claims.claim_or_replay(&claim_request).await {
            Ok(ClaimOutcome::Replay(response)) => {
                self.node.metrics.replays.inc();
                self.trace.record(Decision::Replayed);
                Ok(replayed_response(response))
            }
            Ok(ClaimOutcome::Run(claim)) => {
                self.node.metrics.claims.inc();
                self.trace.record(Decision::Claimed);
                self.run_under_claim(claim, &claim_request.key).await
            }
            Err(failure) if failure.kind == FailureKind::OutcomeUnknown => {
                let found = self.look_up(&claim_request.key).await;
                let response = found.ok_or(failure)?;
                self.node.metrics.replays.inc();
                Ok(CallerResponse { replayed: true, ..caller_response(response) })
            }
            Err(failure) => Err(failure),
        }
    }

    /// Sends the call under a claim, and ends the claim with the outcome.
    async fn run_under_claim(
        &self,
        claim: Claim,
        key: &ClaimKey,
    ) -> Result<CallerResponse, Failure> {
        if self.node.clock.now() >= self.deadline {
            claim.release().await;
            return Err(Failure::not_run(FailureKind::Deadline, "the deadline has passed"));
        }
        // A caller that went away while this send waited for its claim may have sent the key again
        // and may have been told `not-run`. That has to stay true.
        if self.caller_gone.get() {
            claim.release().await;
            return Err(Failure::not_run(FailureKind::Invalid, "the caller went away"));
        }
        match self.send_once().await {
            Ok(response) => {
                claim.finish(stored_response(&response), self.retention()).await;
                Ok(caller_response(response))
            }
            Err(failure) if failure.verdict == Verdict::NotRun => {
                claim.release().await;
                Err(failure)
            }
            Err(failure) => match self.look_up(key).await {
                Some(response) => {
                    claim.finish(stored_response(&response), self.retention()).await;
                    Ok(caller_response(response))
                }
                None => {
                    claim.finish_unknown().await;
                    Err(failure)
                }
            },
        }
    }

    /// Sends the call to one replica after the other, and goes on to the next only if the call did
    /// not run on the one before.
    async fn send_once(&self) -> Result<ServiceResponse, Failure> {
        let mut tried: Vec<UpstreamName> = Vec::new();
        let clock = &self.node.clock;
        loop {
            let left = self.deadline.since(clock.now());
            if left.is_zero() {
                return Err(Failure::not_run(FailureKind::Deadline, "the deadline has passed"));
            }
            let chosen =
                self.node.replicas.borrow_mut().choose(&self.request.service, &tried, clock.now());
            let Some((name, client)) = chosen else { return Err(no_replica(&self.request)) };
            self.trace.record(Decision::Sent { upstream: name.clone() });
            let sent = timeout(&**clock, left, client.call(self.service_call())).await;
            let (cause, verdict) = match sent {
                Ok(Ok(response)) if self.service.refusals.contains(&response.status.as_u16()) => {
                    (format!("refused with status {}", response.status), Verdict::NotRun)
                }
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(error)) => {
                    let now = clock.now();
                    if error.is_unreachable() {
                        self.node.replicas.borrow_mut().mark_suspect(
                            &self.request.service,
                            &name,
                            now,
                        );
                    }
                    // The client returns answers with any status, so the call itself has failed.
                    (error.to_string(), error.verdict())
                }
                Err(_) => ("the deadline passed".to_owned(), Verdict::MayHaveRun),
            };
            let failed = Decision::CallFailed { upstream: name.clone(), cause: cause.clone() };
            self.trace.record(failed);
            tracing::info!(
                request = %self.request.caller.id,
                organisation = %self.request.caller.organisation,
                upstream = %name,
                cause,
                "call failed"
            );
            if verdict != Verdict::NotRun {
                let message = format!("the call was sent, but it was not answered: {cause}");
                return Err(Failure::new(FailureKind::Upstream, verdict, message));
            }
            tried.push(name);
        }
    }

    /// Asks the service for the outcome of the call with a key. Only a successful answer tells the
    /// outcome: if the service does not know the key, the call may still arrive there.
    async fn look_up(&self, key: &ClaimKey) -> Option<ServiceResponse> {
        let path = self.service.lookup.as_ref()?.replace("{key}", &key.key);
        let now = self.node.clock.now();
        let (_, client) =
            self.node.replicas.borrow_mut().choose(&self.request.service, &[], now)?;
        let call = ServiceCall {
            method: http::Method::GET,
            path,
            // They name the organisation and authorise it; each organisation has its own keys.
            headers: self.request.headers.clone(),
            body: bytes::Bytes::new(),
        };
        let found = timeout(&*self.node.clock, LOOKUP_TIMEOUT, client.call(call)).await;
        let response = found.ok()?.ok()?;
        response.status.is_success().then_some(response)
    }

    /// Time for which the outcome of a claimed call is stored.
    fn retention(&self) -> Duration {
        Duration::from_secs(self.policy.retention_hours * SECONDS_PER_HOUR)
    }

    fn service_call(&self) -> ServiceCall {
        ServiceCall {
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
        }
    }
}

fn no_replica(request: &ServiceRequest) -> Failure {
    let message = format!("no replica of service {} can be reached", request.service);
    Failure::not_run(FailureKind::Unavailable, message)
}

fn caller_response(response: ServiceResponse) -> CallerResponse {
    CallerResponse {
        status: response.status.as_u16(),
        content_type: response.content_type,
        body: response.body,
        replayed: false,
    }
}

fn replayed_response(response: StoredResponse) -> CallerResponse {
    CallerResponse {
        status: response.status,
        content_type: response.content_type,
        body: response.body.unwrap_or_default().into(),
        replayed: true,
    }
}

fn stored_response(response: &ServiceResponse) -> StoredResponse {
    StoredResponse {
        status: response.status.as_u16(),
        content_type: response.content_type.clone(),
        body: Some(response.body.to_vec()),
    }
}
