//! Admission: a request waits here until engines for it are free.

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
use settings::RouteKind;
use types::{Failure, FailureKind, ModelName, Stage};

use crate::{completion::CompletionRun, state::Node};

/// Prompt tokens that cost an engine about as much as one generated token.
const PROMPT_SHARE: u32 = 16;

/// Answers a waiting request.
type Reply = oneshot::Sender<Result<Grant, Refusal>>;

/// Requests that wait for a route, and the budget for retries.
#[derive(Default)]
pub(crate) struct Admission {
    models: RefCell<BTreeMap<ModelName, ModelQueue>>,
    budget: RefCell<RetryBudget>,
}

/// Waiting requests of one model.
#[derive(Default)]
struct ModelQueue {
    queue: AdmissionQueue,
    waiters: BTreeMap<Ticket, Waiter>,
    /// Requests that have run before. They go first, since they hold a caller's partial answer.
    resumed: VecDeque<Waiter>,
}

/// A waiting request.
struct Waiter {
    wanted: RouteRequest,
    kind: RouteKind,
    reply: Reply,
}

/// A route whose engines are counted as used by the request that gets it.
struct Grant {
    node: Rc<Node>,
    route: Arc<[Stage]>,
    taken: bool,
}

/// A place in the queue, which is given up when the request no longer waits.
struct Place {
    node: Rc<Node>,
    model: ModelName,
    ticket: Ticket,
}

impl Node {
    /// Gives free routes to waiting requests of all models.
    pub(crate) fn admit_waiting(self: &Rc<Self>) {
        let models: Vec<_> = {
            let models = self.admission.models.borrow();
            let waiting = models.iter().filter(|(_, model)| model.has_waiters());
            waiting.map(|(name, _)| name.clone()).collect()
        };
        for model in models {
            while let Some((reply, route)) = self.next_admitted(&model) {
                let grant = Grant { node: self.clone(), route, taken: false };
                // A request that is gone gives its grant back when the grant is dropped.
                let _ = reply.send(Ok(grant));
            }
            self.count_waiting(&model);
        }
    }

    /// Takes the next waiting request out of its queue if there is a route for it.
    fn next_admitted(&self, model: &ModelName) -> Option<(Reply, Arc<[Stage]>)> {
        let mut models = self.admission.models.borrow_mut();
        let queue = models.get_mut(model)?;
        let waiter = queue.peek()?;
        let now = self.clock.now();
        let route: Arc<[Stage]> = self
            .with_policy(waiter.kind, |policy| {
                policy.choose(&self.view.borrow(), &waiter.wanted, now)
            })?
            .into();
        let waiter = queue.pop()?;
        self.view.borrow_mut().start_request(&route, now);
        Some((waiter.reply, route))
    }

    /// Requests of a model that run on this node now.
    fn running_of(&self, model: &ModelName) -> u32 {
        let view = self.view.borrow();
        let heads = view.engines.values().filter(|engine| {
            let report = engine.report.as_ref();
            report.is_some_and(|report| report.model == *model && report.layers.start == 0)
        });
        heads.map(|engine| engine.outstanding).sum()
    }

    fn count_waiting(&self, model: &ModelName) {
        let models = self.admission.models.borrow();
        let waiting = models.get(model).map_or(0, |model| model.queue.len());
        self.metrics.queue_length.with_label_values(&[model.as_str()]).set(waiting as i64);
    }
}

impl ModelQueue {
    fn has_waiters(&self) -> bool {
        !self.resumed.is_empty() || !self.queue.is_empty()
    }

    fn peek(&mut self) -> Option<&Waiter> {
        self.resumed.retain(|waiter| !waiter.reply.is_canceled());
        if let Some(waiter) = self.resumed.front() {
            return Some(waiter);
        }
        self.waiters.get(&self.queue.peek()?)
    }

    fn pop(&mut self) -> Option<Waiter> {
        if let Some(waiter) = self.resumed.pop_front() {
            return Some(waiter);
        }
        let ticket = self.queue.admit()?;
        self.waiters.remove(&ticket)
    }
}

impl CompletionRun {
    /// Waits for a route until the deadline.
    pub(crate) async fn find_route(&mut self) -> Result<Arc<[Stage]>, Failure> {
        if self.attempt > 0 {
            if self.progress.failures > self.allowed {
                self.wait_for_budget().await?;
                self.allowed = self.progress.failures;
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

    /// A request that has made progress goes on after its first failure without the budget.
    async fn wait_for_budget(&mut self) -> Result<(), Failure> {
        if !self.given.is_empty() && !self.resumed {
            self.resumed = true;
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
        let _place = self.enqueue(arrival, reply)?;
        self.node.admit_waiting();
        let left = self.deadline.since(self.node.clock.now());
        match timeout(&*self.node.clock, left, granted).await {
            Ok(Ok(Ok(grant))) => Ok(grant.take()),
            Ok(Ok(Err(refusal))) => Err(self.refused(refusal)),
            // The queue drops a waiter only when the node ends.
            Ok(Err(_)) => Err(self.failure(FailureKind::Draining, "the node has ended".into())),
            Err(_) => Err(self.expired()),
        }
    }

    /// Enters the queue; without an arrival the request has run before and waits ahead of it.
    fn enqueue(&self, arrival: Option<Arrival>, reply: Reply) -> Result<Option<Place>, Failure> {
        let model = &self.request.model;
        let mut wanted = self.route_request();
        let running = self.node.running_of(model);
        let mut models = self.node.admission.models.borrow_mut();
        let queue = models.entry(model.clone()).or_default();
        let kind = self.policy.route;
        let Some(arrival) = arrival else {
            // The places that the failed attempt has freed are this request's own.
            wanted.slot_percent = 0;
            queue.resumed.push_back(Waiter { wanted, kind, reply });
            return Ok(None);
        };
        let ticket = match queue.queue.enqueue(&arrival, running) {
            EnqueueOutcome::Waiting(ticket) => ticket,
            EnqueueOutcome::Replaced { ticket, refused } => {
                if let Some(waiter) = queue.waiters.remove(&refused) {
                    // The refused request may have gone away.
                    let _ = waiter.reply.send(Err(Refusal::Full));
                }
                ticket
            }
            EnqueueOutcome::Refused(refusal) => return Err(self.refused(refusal)),
        };
        queue.waiters.insert(ticket, Waiter { wanted, kind, reply });
        Ok(Some(Place { node: self.node.clone(), model: model.clone(), ticket }))
    }

    /// Learns from the token intervals of the last attempt.
    pub(crate) fn observe_interval(&self, route: &[Stage]) {
        let Some(interval) = self.progress.mean_interval() else { return };
        self.node.view.borrow_mut().observe_interval(route, interval);
    }

    fn arrival(&self) -> Arrival {
        let words = self.request.prompt.split_whitespace().count() as u32;
        Arrival {
            organisation: self.request.caller.organisation.clone(),
            class: self.request.caller.class,
            weight: self.policy.weight,
            work: u64::from(self.request.max_tokens + words / PROMPT_SHARE),
            arrived: self.arrived,
            deadline: self.deadline,
            max_waiting: self.policy.queue_depth as usize,
        }
    }

    fn refused(&self, refusal: Refusal) -> Failure {
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

    /// The failure of a request whose deadline passed while it waited.
    fn expired(&self) -> Failure {
        let mut wanted = self.route_request();
        wanted.slot_percent = 0;
        let now = self.node.clock.now();
        let covered = self.node.with_policy(self.policy.route, |policy| {
            policy.choose(&self.node.view.borrow(), &wanted, now).is_some()
        });
        if covered {
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

impl Grant {
    /// Takes the route. The caller counts it again before it awaits anything.
    fn take(mut self) -> Arc<[Stage]> {
        self.taken = true;
        self.node.view.borrow_mut().finish_request(&self.route, self.node.clock.now());
        self.route.clone()
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.taken {
            self.node.view.borrow_mut().finish_request(&self.route, self.node.clock.now());
            self.node.admit_waiting();
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        {
            let mut models = self.node.admission.models.borrow_mut();
            let Some(queue) = models.get_mut(&self.model) else { return };
            queue.queue.remove(self.ticket);
            queue.waiters.remove(&self.ticket);
        }
        self.node.count_waiting(&self.model);
    }
}

/// Counts a running attempt in the load view. When it ends, waiting requests get its engines.
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
        if let Some(queue) = self.node.admission.models.borrow_mut().get_mut(&self.model) {
            queue.queue.observe_service_time(now.since(self.started));
        }
        self.node.admit_waiting();
    }
}
