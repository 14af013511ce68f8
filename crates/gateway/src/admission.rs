//! Chooses the upstreams for an attempt, and waits for one while none has free capacity.

use std::{pin::pin, rc::Rc, time::Duration};

use admission::{QueueLimits, Standing, Waiting};
use clock::Timestamp;
use futures_util::future::{Either, select};
use types::ServiceName;

use crate::{
    Gateway,
    attempt::Attempts,
    lifecycle::ActiveRequest,
    selection::{NoSelection, Selection, SelectionQuery},
    wait_queue::{QueueEntry, WaitQueue},
};

/// Time for which a resumed request waits for capacity. Callers abandon a stream after two
/// seconds without an event.
const RESUME_WAIT: Duration = Duration::from_millis(1500);
/// Longest wait for capacity before a request is refused, as a share of the route's latency target,
/// without the settings for overload.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Latest start at which a request is expected to meet its latency target, as a share of the target.
/// The prompt takes the rest.
pub(crate) const START_SHARE: f64 = 0.5;
/// Requests that are admitted in a row by urgency before the one that has waited longest.
const GRANT_STREAK: u32 = 7;
/// Requests that are tried one after the other when capacity is freed. Each search for a path takes
/// time, and small nodes have a twelfth of a core.
const LOOKAHEAD: usize = 2;
/// The queue of a node without the settings for overload: by priority and arrival, without a bound.
const PLAIN_QUEUE: QueueLimits = QueueLimits { length: usize::MAX, streak: u32::MAX, lookahead: 1 };
/// Time between two capacity checks while a request waits. No notification arrives when the load of
/// other nodes drops or when an engine has loaded its layers.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a caller may retry a request that was refused for lack of capacity.
pub(crate) const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(700);

impl ActiveRequest {
    /// Chooses the upstreams for an attempt, and waits for capacity if there is none, for as long as
    /// this node may start it.
    pub(crate) async fn admit(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        let admitting = self.admit_in_time(query);
        let admitted = self.gateway.until_end(|| self.attempt_end(query), admitting).await;
        admitted.unwrap_or(Err(NoSelection::Stopping))
    }

    /// Chooses the upstreams for an attempt as [`admit`](Self::admit) does or, while this node is cut off
    /// from them, another node.
    pub(crate) async fn admit_or_relay(
        &self,
        attempts: &Attempts,
        query: SelectionQuery<'_>,
    ) -> Result<Selection, NoSelection> {
        // Without other nodes, nothing speaks against trying.
        if self.is_relayed || self.gateway.node_count() == 1 {
            return self.admit(query).await;
        }
        if attempts.has_no_entry_left(self) {
            return Err(NoSelection::NoUpstream);
        }
        // A check may be about an upstream that only this request has tried.
        if attempts.count > 0 {
            self.gateway.wait_for_link_check().await;
        }
        let cut_off = pin!(self.gateway.wait_until_cut_off());
        match select(cut_off, pin!(self.admit(query))).await {
            Either::Left(_) => self.choose_node(attempts),
            Either::Right((admitted, _)) => admitted,
        }
    }

    async fn admit_in_time(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        self.wait_for_crash_check().await;
        if self.refusal().is_some() {
            return Err(NoSelection::Poison);
        }
        let selection = self.select(query).await?;
        // A part of the prompt may have been refused while the request waited.
        if self.refusal().is_some() {
            return Err(NoSelection::Poison);
        }
        Ok(selection)
    }

    async fn select(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        let gateway = &self.gateway;
        let end = self.wait_end(query);
        self.check_pauses(query, end)?;
        let wait_queue = gateway.wait_queue(&self.service);
        if query.is_resumed || wait_queue.order().is_empty() {
            match self.choose(query) {
                Ok(selection) => return Ok(selection),
                Err(reason) if self.is_without_upstream(reason, query) => return Err(reason),
                Err(_) => {}
            }
        }
        let started = gateway.clock.now();
        let waiting = self.waiting(query, end);
        let wait = self.expected_wait(&wait_queue, &waiting, query).unwrap_or_default();
        let outcome = match wait_queue.enqueue(waiting, wait) {
            Ok(entry) => {
                let _waiting = self.count_waiting();
                self.wait_for_capacity(&entry, query, end).await
            }
            Err(NoSelection::Late) if self.has_time_elsewhere(wait) => Err(NoSelection::Stopping),
            Err(reason) => {
                self.record_queue_refusal(reason, wait);
                Err(reason)
            }
        };
        let label = wait_label(outcome.as_ref().err());
        gateway.metrics.waits.with_label_values(&[label]).inc();
        self.log.add_wait(gateway.clock.now().since(started));
        outcome
    }

    /// Whether waiting cannot help a request to a plain service: no replica is left, and none has
    /// asked for a pause. Engines may be loading their layers.
    pub(crate) fn is_without_upstream(
        &self,
        reason: NoSelection,
        query: SelectionQuery<'_>,
    ) -> bool {
        reason == NoSelection::NoUpstream
            && self.model_profile().is_none()
            && self.paused_until(query).is_none()
    }

    /// The request as one that waits until `end`.
    pub(crate) fn waiting(&self, query: SelectionQuery<'_>, end: Timestamp) -> Waiting {
        let resumed = query.is_resumed;
        if self.gateway.settings.overload.is_none() {
            // All requests are of one group and one organisation.
            let start_by = Timestamp::from_origin(Duration::MAX);
            let (rank, organisation, tokens) = (self.priority, None, 0);
            return Waiting { resumed, rank, organisation, tokens, start_by, end };
        }
        Waiting {
            resumed,
            rank: self.standing(resumed).rank,
            organisation: self.organisation.clone(),
            tokens: u64::from(self.tokens.max(1)),
            start_by: self.start_by,
            end,
        }
    }

    /// How long the request is expected to wait: behind those that are admitted before it, and at
    /// least until a replica that refuses requests may be tried. `None` if nothing is known.
    pub(crate) fn expected_wait(
        &self,
        wait_queue: &WaitQueue,
        waiting: &Waiting,
        query: SelectionQuery<'_>,
    ) -> Option<Duration> {
        self.expected_queue_wait(wait_queue, waiting).max(self.refusal_wait(query))
    }

    /// How long the request is expected to wait behind those that are admitted before it. A resumed
    /// one can no longer be refused as not run, so it waits whatever is expected. `None` without an
    /// observation: no request is refused for the estimate then.
    fn expected_queue_wait(&self, wait_queue: &WaitQueue, waiting: &Waiting) -> Option<Duration> {
        let is_plain = self.gateway.settings.overload.is_none();
        if waiting.resumed || is_plain || !self.gateway.flow(&self.service).has_observed() {
            return None;
        }
        let (fleet, now) = (self.gateway.fleet_load(&self.service), self.gateway.clock.now());
        let wait = fleet.expected_wait(wait_queue.order().ahead(waiting, now));
        if !self.has_replica_limits() {
            return Some(wait);
        }
        // One that will be late by then no longer comes before those that are late already.
        let ahead = wait_queue.order().ahead(waiting, now + wait);
        Some(wait.max(fleet.expected_wait(ahead)))
    }

    /// What the fill limit of the request depends on.
    pub(crate) fn standing(&self, resumed: bool) -> Standing {
        let (rank, ranks) = self.table.priority_rank(&self.service, self.priority);
        let late = self.gateway.clock.now() > self.start_by;
        Standing { rank, ranks, over_share: self.is_over_share(), late, resumed }
    }

    /// Whether the organisation of the request uses more than its fair share while capacity is
    /// scarce.
    fn is_over_share(&self) -> bool {
        let gateway = &self.gateway;
        self.organisation.as_ref().is_some_and(|name| gateway.over_share(&self.service, name))
    }

    /// Until when a request that arrives now may wait for capacity. A resumed one is not refused as
    /// too late, so it waits for a replica as long as for engines.
    pub(crate) fn wait_end(&self, query: SelectionQuery<'_>) -> Timestamp {
        if !query.is_resumed
            && let Some(end) = self.replica_wait_end()
        {
            return end;
        }
        let limit = if query.is_resumed {
            RESUME_WAIT
        } else {
            self.route.latency_target.mul_f64(self.gateway.wait_share())
        };
        (self.gateway.clock.now() + limit).min(self.end())
    }

    /// Fails if pauses of upstreams keep the request from being served until after `end`.
    pub(crate) fn check_pauses(
        &self,
        query: SelectionQuery<'_>,
        end: Timestamp,
    ) -> Result<(), NoSelection> {
        match self.paused_until(query) {
            Some(until) if until > end => Err(NoSelection::Paused(until)),
            _ => Ok(()),
        }
    }

    async fn wait_for_capacity(
        &self,
        entry: &QueueEntry,
        query: SelectionQuery<'_>,
        end: Timestamp,
    ) -> Result<Selection, NoSelection> {
        let clock = &self.gateway.clock;
        loop {
            if self.waits_too_long(entry, query) {
                return Err(NoSelection::Stopping);
            }
            self.check_pauses(query, end)?;
            if entry.is_shed() {
                return Err(NoSelection::QueueFull);
            }
            let mut no_selection = NoSelection::Full;
            if entry.may_try() {
                match self.choose(query) {
                    Ok(selection) => {
                        entry.grant();
                        return Ok(selection);
                    }
                    Err(reason) => no_selection = reason,
                }
                // Only with the settings for overload, such a request would wait until its deadline.
                if self.gateway.settings.overload.is_some()
                    && self.is_without_upstream(no_selection, query)
                {
                    return Err(no_selection);
                }
                entry.block(clock.now() + CHECK_INTERVAL);
            }
            let remaining = end.since(clock.now());
            if remaining.is_zero() {
                return Err(no_selection);
            }
            let pause = clock.sleep(remaining.min(CHECK_INTERVAL));
            select(pin!(entry.woken()), pause).await;
        }
    }

    /// Chooses the upstreams for an attempt from those that have capacity now. Upstreams that are
    /// leaving are chosen only if there are no others.
    fn choose(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        match self.choose_now(query) {
            Err(NoSelection::NoUpstream) if self.gateway.has_last_uses(&self.service) => {
                self.choose_now(SelectionQuery { with_leaving: true, ..query })
            }
            chosen => chosen,
        }
    }

    fn choose_now(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        match self.model_profile() {
            Some(profile) => self.choose_engines(&profile, query),
            None => self.choose_replica(query),
        }
    }
}

impl Gateway {
    /// The queue of the requests that wait for capacity of `service`. Without the settings for
    /// overload, all services share one.
    pub(crate) fn wait_queue(&self, service: &ServiceName) -> Rc<WaitQueue> {
        let (key, limits) = match &self.settings.overload {
            Some(overload) => {
                let length = overload.queue_length;
                let limits = QueueLimits { length, streak: GRANT_STREAK, lookahead: LOOKAHEAD };
                (service.clone(), limits)
            }
            None => ("".into(), PLAIN_QUEUE),
        };
        let mut queues = self.wait_queues.borrow_mut();
        let waiting = &self.metrics.waiting;
        let create = || Rc::new(WaitQueue::new(self.clock.clone(), limits, waiting.clone()));
        queues.entry(key).or_insert_with(create).clone()
    }

    /// Longest wait of a request for engines, as a share of its route's latency target.
    fn wait_share(&self) -> f64 {
        self.settings.overload.as_ref().map_or(MAX_WAIT_SHARE, |overload| overload.wait_share)
    }

    /// Whether a request waits for capacity.
    pub(crate) fn has_waiting(&self) -> bool {
        self.wait_queues.borrow().values().any(|wait_queue| !wait_queue.order().is_empty())
    }

    /// Wakes the first waiting request of each service, since capacity was freed.
    pub(crate) fn wake_waiting(&self) {
        for wait_queue in self.wait_queues.borrow().values() {
            wait_queue.wake_first();
        }
    }
}

/// How a wait ended, for the metrics.
fn wait_label(reason: Option<&NoSelection>) -> &'static str {
    match reason {
        None => "admitted",
        Some(NoSelection::Full) => "expired",
        Some(NoSelection::QueueFull) => "queue-full",
        Some(NoSelection::Late) => "late",
        Some(NoSelection::Stopping) => "stopping",
        Some(_) => "failed",
    }
}
