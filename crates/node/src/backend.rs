//! Receives requests from the callers' front end, and runs them under the configuration in force.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use callers::{
    CallerResponse, CompletionRequest, CompletionSummary, RequestContext, RequestHandler,
    ServiceRequest, TokenSink,
};
use clock::Timestamp;
use futures_util::{
    FutureExt,
    future::{Either, LocalBoxFuture, select},
};
use operators::api::Decision;
use settings::Policy;
use types::{Digest, Failure, FailureKind, RequestId, Verdict};

use crate::{
    completion::{CompletionRun, Progress},
    service_call::ServiceCallRun,
    state::Node,
    trace::TraceWriter,
};

impl RequestHandler for Node {
    fn complete(
        self: Rc<Self>,
        request: CompletionRequest,
        sink: Box<dyn TokenSink>,
    ) -> LocalBoxFuture<'static, Result<CompletionSummary, Failure>> {
        async move {
            let _running = self.count_running();
            let caller = request.caller.clone();
            let trace = self.start_trace(&caller, &request.model);
            let result = self.clone().run_completion(request, sink, trace.clone()).await;
            let verdict = result.as_ref().map_or_else(|failure| failure.verdict, |_| Verdict::Ran);
            self.record_outcome(&caller, &trace, verdict, result.as_ref().err());
            result
        }
        .boxed_local()
    }

    fn call_service(
        self: Rc<Self>,
        request: ServiceRequest,
    ) -> LocalBoxFuture<'static, Result<CallerResponse, Failure>> {
        let drain_expired = self.drain_expired.clone();
        let caller_gone = Rc::new(Cell::new(false));
        let task_caller_gone = caller_gone.clone();
        // A call runs in its own task and goes on when its caller goes away, so that its outcome is
        // recorded under its claim.
        let task = compio::runtime::spawn(async move {
            let _running = self.count_running();
            let caller = request.caller.clone();
            let trace = self.start_trace(&caller, &request.service);
            let result =
                self.clone().run_service_call(request, task_caller_gone, trace.clone()).await;
            let verdict = result.as_ref().map_or_else(|failure| failure.verdict, |_| Verdict::Ran);
            self.record_outcome(&caller, &trace, verdict, result.as_ref().err());
            result
        });
        let drain_expired = drain_expired.raised();
        async move {
            let joined = pin!(DetachOnDrop { task: Some(task), caller_gone }.join());
            match select(joined, pin!(drain_expired)).await {
                Either::Left((outcome, _)) => outcome,
                Either::Right(_) => {
                    let message = "the node shut down before the call was answered";
                    Err(Failure::new(FailureKind::Draining, Verdict::MayHaveRun, message))
                }
            }
        }
        .boxed_local()
    }

    fn is_accepting(&self) -> bool {
        !self.stop.is_raised()
    }

    fn new_request_id(&self) -> RequestId {
        self.next_request_id()
    }
}

impl Node {
    fn start_trace(&self, caller: &RequestContext, target: &str) -> TraceWriter {
        let clock = self.clock.clone();
        self.traces.borrow_mut().start(clock, &self.settings.name, caller, target)
    }

    async fn run_completion(
        self: Rc<Self>,
        request: CompletionRequest,
        sink: Box<dyn TokenSink>,
        trace: TraceWriter,
    ) -> Result<CompletionSummary, Failure> {
        let config = self.config()?;
        let mut model = config.models.get(&request.model).cloned().ok_or_else(|| {
            let message = format!("there is no model {}", request.model);
            Failure::not_run(FailureKind::NotFound, message)
        })?;
        // All attempts of a request use one version of the model, so that its tokens are
        // consistent.
        let now = self.clock.now();
        model.version =
            self.view.borrow().served_version(&request.model, &model.version, model.layers, now);
        let policy = config.policy(&request.caller.organisation, &request.model);
        let arrived = self.clock.now();
        let progress = Progress::new(self.next_request_id().as_str().into(), arrived);
        let fingerprint = fingerprint(&request);
        let run = CompletionRun {
            deadline: deadline(arrived, &request.caller, &policy),
            node: self,
            request,
            model,
            policy,
            trace,
            arrived,
            output_tokens: Vec::new(),
            attempt: 0,
            avoid: Vec::new(),
            progress,
            charged_failures: 0,
            used_exemption: false,
            fingerprint,
        };
        run.run(sink).await
    }

    async fn run_service_call(
        self: Rc<Self>,
        request: ServiceRequest,
        caller_gone: Rc<Cell<bool>>,
        trace: TraceWriter,
    ) -> Result<CallerResponse, Failure> {
        let config = self.config().map_err(|failure| request.refusal(failure))?;
        let service = config.services.get(&request.service).cloned().ok_or_else(|| {
            let message = format!("there is no service {}", request.service);
            request.refusal(Failure::not_run(FailureKind::NotFound, message))
        })?;
        let policy = config.policy(&request.caller.organisation, &request.service);
        let arrived = self.clock.now();
        let limit = arrived + Duration::from_millis(policy.service_ms);
        let deadline = deadline(arrived, &request.caller, &policy).min(limit);
        let run =
            ServiceCallRun { node: self, request, service, policy, trace, deadline, caller_gone };
        run.run().await
    }

    /// Records the outcome of a request in the metrics, its trace and, for a failure, the log.
    fn record_outcome(
        &self,
        caller: &RequestContext,
        trace: &TraceWriter,
        verdict: Verdict,
        failure: Option<&Failure>,
    ) {
        let labels = [caller.class.into(), verdict.into()];
        self.metrics.requests.with_label_values::<&str>(&labels).inc();
        let Some(failure) = failure else {
            trace.record(Decision::Answered { verdict });
            return;
        };
        if verdict == Verdict::NotRun {
            self.metrics.refusals.with_label_values::<&str>(&[failure.kind.into()]).inc();
        }
        tracing::info!(
            request = %caller.id,
            organisation = %caller.organisation,
            kind = %failure.kind,
            %verdict,
            cause = failure.message,
            "request failed"
        );
        let (kind, message) = (failure.kind, failure.message.clone());
        trace.record(Decision::Failed { kind, verdict, message });
    }
}

/// A digest that is the same when a caller sends a request again, even under another identifier.
fn fingerprint(request: &CompletionRequest) -> Digest {
    let organisation = request.caller.organisation.as_str();
    let tokens = request.max_tokens.to_le_bytes();
    let (model, prompt) = (request.model.as_str(), request.prompt.as_bytes());
    Digest::of(&[organisation.as_bytes(), model.as_bytes(), prompt, &tokens])
}

fn deadline(arrived: Timestamp, caller: &RequestContext, policy: &Policy) -> Timestamp {
    arrived + caller.deadline.unwrap_or(Duration::from_millis(policy.deadline_ms))
}

/// Waits for a task. If the wait is dropped, the task is detached and goes on.
struct DetachOnDrop<T> {
    task: Option<compio::runtime::JoinHandle<Result<T, Failure>>>,
    /// Set when the wait is dropped before the task has ended.
    caller_gone: Rc<Cell<bool>>,
}

impl<T> DetachOnDrop<T> {
    async fn join(mut self) -> Result<T, Failure> {
        let lost = || {
            Failure::new(FailureKind::Upstream, Verdict::MayHaveRun, "the call ended unexpectedly")
        };
        let Some(task) = &mut self.task else { return Err(lost()) };
        let outcome = task.await;
        self.task = None;
        outcome.unwrap_or_else(|_| Err(lost()))
    }
}

impl<T> Drop for DetachOnDrop<T> {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            self.caller_gone.set(true);
            task.detach();
        }
    }
}
