//! Admission: completions wait here until a route of engines with free slots is available.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    sync::Arc,
};

use clock::{Timestamp, timeout};
use futures_channel::oneshot;
use operators::api::Decision;
use routing::{
    AdmissionQueue, Arrival, EnqueueOutcome, Refusal, RetryBudget, RouteRequest, Ticket,
};
use settings::BalancingPolicy;
use types::{Failure, FailureKind, ModelName, Stage};

use crate::{completion::CompletionRun, state::Node};

/// Number of prompt tokens that cost an engine about as much as one generated token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u32 = 16;

/// Sends a waiting request its route or its refusal.
type Reply = oneshot::Sender<Result<RouteReservation, Refusal>>;

/// The queues of requests that wait for a route, and the retry budget.
#[derive(Default)]
pub(crate) struct Admission {
    models: RefCell<BTreeMap<ModelName, ModelQueue>>,
    budget: RefCell<RetryBudget>,
}

/// The waiting requests of one model.
#[derive(Default)]
struct ModelQueue {
    queue: AdmissionQueue,
    waiters: BTreeMap<Ticket, Waiter>,
    /// Requests that wait for another attempt. They go first, because their callers may already
    /// have a part of the answer.
    retries: VecDeque<Waiter>,
}

/// A waiting request.
struct Waiter {
    route_request: RouteRequest,
    route_kind: BalancingPolicy,
    reply: Reply,
}

/// A route, as a chain of pipeline stages, that was reserved for a request. Its slots are counted
/// as used until the request takes the route or the reservation is dropped.
struct RouteReservation {
    node: Rc<Node>,
    route: Arc<[Stage]>,
    taken: bool,
}

/// Removes a request from the queue when it no longer waits.
struct QueueGuard {
    node: Rc<Node>,
    model: ModelName,
    ticket: Ticket,
}

impl Node {
    /// Grants routes to the waiting requests of all models for as long as there are free ones.
    pub(crate) fn admit_waiting(self: &Rc<Self>) {
        let models: Vec<_> = {
            let models = self.admission.models.borrow();
            let waiting = models.iter().filter(|(_, model_queue)| model_queue.has_waiters());
            waiting.map(|(name, _)| name.clone()).collect()
        };
        for model in models {
            while let Some((reply, route)) = self.next_admitted(&model) {
                let reservation = RouteReservation { node: self.clone(), route, taken: false };
                // If the request no longer waits, the dropped reservation frees the route.
                let _ = reply.send(Ok(reservation));
            }
            self.update_queue_length(&model);
        }
    }

    /// Removes the next waiting request of a model from its queue if there is a route for it, and
    /// counts the route's slots as used.
    fn next_admitted(&self, model: &ModelName) -> Option<(Reply, Arc<[Stage]>)> {
        let mut models = self.admission.models.borrow_mut();
        let model_queue = models.get_mut(model)?;
        let waiter = model_queue.peek()?;
        let now = self.clock.now();
        let route: Arc<[Stage]> = self
            .with_route_policy(waiter.route_kind, |policy| {
                policy.choose(&self.view.borrow(), &waiter.route_request, now)
            })?
            .into();
        let waiter = model_queue.pop()?;
        self.view.borrow_mut().start_request(&route, now);
        Some((waiter.reply, route))
    }

    /// Number of requests of a model that this node runs now.
    fn running_requests(&self, model: &ModelName) -> u32 {
        let view = self.view.borrow();
        let first_engines = view.engines.values().filter(|engine| {
            let report = engine.report.as_ref();
            report.is_some_and(|report| report.model == *model && report.layers.start == 0)
        });
        first_engines.map(|engine| engine.outstanding).sum()
    }

    /// Updates the metric of the queue length.
    fn update_queue_length(&self, model: &ModelName) {
        let models = self.admission.models.borrow();
        let waiting = models.get(model).map_or(0, |model_queue| model_queue.queue.len());
        self.metrics.queue_length.with_label_values(&[model.as_str()]).set(waiting as i64);
    }
}

impl ModelQueue {
    fn has_waiters(&self) -> bool {
        !self.retries.is_empty() || !self.queue.is_empty()
    }

    /// The request that is next to get a route. Retries come before the queue.
    fn peek(&mut self) -> Option<&Waiter> {
        self.retries.retain(|waiter| !waiter.reply.is_canceled());
        if let Some(waiter) = self.retries.front() {
            return Some(waiter);
        }
        self.waiters.get(&self.queue.peek()?)
    }

    /// Removes the request that `peek` returns.
    fn pop(&mut self) -> Option<Waiter> {
        if let Some(waiter) = self.retries.pop_front() {
            return Some(waiter);
        }
        let ticket = self.queue.admit()?;
        self.waiters.remove(&ticket)
    }
}

impl CompletionRun {
    /// Waits for a route until the deadline. A retry first waits for the retry budget.
    pub(crate) async fn find_route(&mut self) -> Result<Arc<[Stage]>, Failure> {
        if self.attempt > 0 {
            if self.progress.failures > self.charged_failures {
                self.wait_for_budget().await?;
                self.charged_failures = self.progress.failures;
                self.node.metrics.retries.inc();
            }
            return self.wait_for_grant(None).await;
        }
        let now = self.node.clock.now();
        self.node.admission.budget.borrow_mut().count_request(now);
        let route = self.wait_for_grant(Some(self.arrival())).await;
        let waited = self.node.clock.now().since(self.arrived).as_secs_f64();
        let caller = &self.request.caller;
        let metrics = &self.node.metrics;
        let labels = [metrics.organisations.label(&caller.organisation), caller.class.into()];
        metrics.queue_wait.with_label_values(&labels).observe(waited);
        route
    }

    /// Waits until the retry budget allows another attempt. One retry of a request whose caller
    /// already has tokens is exempt.
    async fn wait_for_budget(&mut self) -> Result<(), Failure> {
        if !self.output_tokens.is_empty() && !self.used_exemption {
            self.used_exemption = true;
            return Ok(());
        }
        loop {
            let now = self.node.clock.now();
            if now >= self.deadline {
                self.node.metrics.queue_refusals.with_label_values(&["retry-budget"]).inc();
                let message = "the deadline passed while the request waited for a retry";
                return Err(self.failure(FailureKind::Deadline, message.into()));
            }
            let percent = self.policy.retry_percent;
            if self.node.admission.budget.borrow_mut().take(now, percent) {
                return Ok(());
            }
            let pause = self.node.admission.budget.borrow().time_until_retry(now);
            self.node.clock.sleep(pause.min(self.deadline.since(now))).await;
        }
    }

    async fn wait_for_grant(&self, arrival: Option<Arrival>) -> Result<Arc<[Stage]>, Failure> {
        let (reply, granted) = oneshot::channel();
        let _guard = self.enqueue(arrival, reply)?;
        self.node.admit_waiting();
        let left = self.deadline.since(self.node.clock.now());
        match timeout(&*self.node.clock, left, granted).await {
            Ok(Ok(Ok(reservation))) => Ok(reservation.take()),
            Ok(Ok(Err(refusal))) => Err(self.refusal_failure(refusal)),
            // A waiter is dropped without a reply only when the node is torn down.
            Ok(Err(_)) => Err(self.failure(FailureKind::Draining, "the node has ended".into())),
            Err(_) => Err(self.deadline_failure()),
        }
    }

    /// Enters the queue. A request without an `arrival` has made an attempt before and goes ahead
    /// of the others.
    fn enqueue(
        &self,
        arrival: Option<Arrival>,
        reply: Reply,
    ) -> Result<Option<QueueGuard>, Failure> {
        let model = &self.request.model;
        let mut route_request = self.route_request();
        let running = self.node.running_requests(model);
        let mut models = self.node.admission.models.borrow_mut();
        let model_queue = models.entry(model.clone()).or_default();
        let route_kind = self.policy.route;
        let Some(arrival) = arrival else {
            // No limit on slots: the failed attempt of this request has just freed as many as it
            // needs.
            route_request.slot_percent = 0;
            model_queue.retries.push_back(Waiter { route_request, route_kind, reply });
            return Ok(None);
        };
        let ticket = match model_queue.queue.enqueue(&arrival, running) {
            EnqueueOutcome::Waiting(ticket) => ticket,
            EnqueueOutcome::Replaced { ticket, refused } => {
                if let Some(waiter) = model_queue.waiters.remove(&refused) {
                    // Sending fails if the refused request no longer waits.
                    let _ = waiter.reply.send(Err(Refusal::Full));
                }
                ticket
            }
            EnqueueOutcome::Refused(refusal) => return Err(self.refusal_failure(refusal)),
        };
        model_queue.waiters.insert(ticket, Waiter { route_request, route_kind, reply });
        Ok(Some(QueueGuard { node: self.node.clone(), model: model.clone(), ticket }))
    }

    /// Updates the estimated link costs of the route with the mean token interval of the last
    /// attempt.
    pub(crate) fn observe_interval(&self, route: &[Stage]) {
        let Some(interval) = self.progress.mean_interval() else { return };
        self.node.view.borrow_mut().observe_interval(route, interval);
    }

    fn arrival(&self) -> Arrival {
        let prompt_tokens = self.request.prompt.split_whitespace().count() as u32;
        Arrival {
            organisation: self.request.caller.organisation.clone(),
            class: self.request.caller.class,
            weight: self.policy.weight,
            work: u64::from(
                self.request.max_tokens + prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN,
            ),
            arrived: self.arrived,
            deadline: self.deadline,
            max_waiting: self.policy.queue_depth as usize,
        }
    }

    /// The failure of a request that the queue refused.
    fn refusal_failure(&self, refusal: Refusal) -> Failure {
        let (reason, message) = match refusal {
            Refusal::Full => ("queue-full", "the queue is full".to_owned()),
            Refusal::Late(wait) => {
                let wait = wait.as_millis();
                ("deadline", format!("the predicted wait of {wait} ms passes the deadline"))
            }
        };
        self.node.metrics.queue_refusals.with_label_values(&[reason]).inc();
        self.failure(FailureKind::Overloaded, message)
    }

    /// The failure of a request whose deadline passed while it waited: overload if there is a route
    /// without the limit on slots, else no route at all.
    fn deadline_failure(&self) -> Failure {
        let mut route_request = self.route_request();
        route_request.slot_percent = 0;
        let now = self.node.clock.now();
        let route_exists = self.node.with_route_policy(self.policy.route, |policy| {
            policy.choose(&self.node.view.borrow(), &route_request, now).is_some()
        });
        if route_exists {
            self.node.metrics.queue_refusals.with_label_values(&["expired"]).inc();
            let message = "the deadline passed while the request was queued".into();
            return self.failure(FailureKind::Overloaded, message);
        }
        self.trace.record(Decision::NoRoute);
        self.node.metrics.queue_refusals.with_label_values(&["no-route"]).inc();
        self.failure(
            FailureKind::Unavailable,
            "the deadline passed before a route was found".into(),
        )
    }
}

impl RouteReservation {
    /// Takes the route and frees its slots in the load view. The receiver has to count them again
    /// before its next `await`.
    fn take(mut self) -> Arc<[Stage]> {
        self.taken = true;
        self.node.view.borrow_mut().finish_request(&self.route, self.node.clock.now());
        self.route.clone()
    }
}

impl Drop for RouteReservation {
    fn drop(&mut self) {
        if !self.taken {
            self.node.view.borrow_mut().finish_request(&self.route, self.node.clock.now());
            self.node.admit_waiting();
        }
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        {
            let mut models = self.node.admission.models.borrow_mut();
            let Some(model_queue) = models.get_mut(&self.model) else { return };
            model_queue.queue.remove(self.ticket);
            model_queue.waiters.remove(&self.ticket);
        }
        self.node.update_queue_length(&self.model);
    }
}

/// Counts a running attempt in the load view until it is dropped. Then waiting requests are granted
/// the freed slots.
pub(crate) struct LoadGuard {
    pub(crate) node: Rc<Node>,
    model: ModelName,
    pub(crate) route: Arc<[Stage]>,
    started: Timestamp,
}

impl LoadGuard {
    pub(crate) fn new(node: Rc<Node>, model: ModelName, route: Arc<[Stage]>) -> LoadGuard {
        let started = node.clock.now();
        node.view.borrow_mut().start_request(&route, started);
        LoadGuard { node, model, route, started }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        self.node.view.borrow_mut().finish_request(&self.route, now);
        if let Some(model_queue) = self.node.admission.models.borrow_mut().get_mut(&self.model) {
            model_queue.queue.observe_service_time(now.since(self.started));
        }
        self.node.admit_waiting();
    }
}
