//! Chooses the upstreams for an attempt, and waits for one while none has free capacity.

use std::{pin::pin, time::Duration};

use clock::Timestamp;
use futures_util::future::select;

use crate::{
    lifecycle::ActiveRequest,
    selection::{NoSelection, Selection, SelectionQuery},
    wait_queue::QueueEntry,
};

/// Time for which a resumed request waits for capacity. Callers abandon a stream after two
/// seconds without an event.
const RESUME_WAIT: Duration = Duration::from_millis(1500);
/// Priority of a resumed request in the wait queue; lower numbers go first.
const RESUME_PRIORITY: u32 = 0;
/// Longest wait for capacity before a request is refused, as a share of the route's latency target.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Time between two capacity checks while a request waits. No notification arrives when the load of
/// other nodes drops or when an engine has loaded its layers.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a caller may retry a request that was refused for lack of capacity.
pub(crate) const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(700);

impl ActiveRequest {
    /// Chooses the upstreams for an attempt, and waits for capacity if there is none.
    pub(crate) async fn admit(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
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
        let end = self.replica_wait_end().unwrap_or_else(|| self.wait_end(query));
        self.check_pauses(query, end)?;
        if query.is_resumed || gateway.wait_queue.is_empty() || self.is_first_for_replica() {
            match self.choose(query) {
                Ok(selection) => return Ok(selection),
                Err(NoSelection::NoUpstream)
                    if self.model_profile().is_none() && self.paused_until(query).is_none() =>
                {
                    return Err(NoSelection::NoUpstream);
                }
                Err(_) => {}
            }
        }
        if self.is_too_late_for_replica(end) {
            return Err(self.refuse_for_replicas());
        }
        let _waiting = self.wait_for_replica();
        let priority = if query.is_resumed { RESUME_PRIORITY } else { self.priority + 1 };
        let entry = gateway.wait_queue.enqueue(priority);
        gateway.metrics.waiting.inc();
        let outcome = self.wait_for_capacity(&entry, query, end).await;
        gateway.metrics.waiting.dec();
        outcome
    }

    /// Until when a request that arrives now may wait for capacity.
    pub(crate) fn wait_end(&self, query: SelectionQuery<'_>) -> Timestamp {
        let limit = if query.is_resumed {
            RESUME_WAIT
        } else {
            self.route.latency_target.mul_f64(MAX_WAIT_SHARE)
        };
        (self.gateway.clock.now() + limit).min(self.deadline)
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
        entry: &QueueEntry<'_>,
        query: SelectionQuery<'_>,
        end: Timestamp,
    ) -> Result<Selection, NoSelection> {
        let clock = &self.gateway.clock;
        loop {
            self.check_pauses(query, end)?;
            let mut no_selection = NoSelection::Full;
            if entry.is_first() {
                match self.choose(query) {
                    Ok(selection) => return Ok(selection),
                    Err(reason) => no_selection = reason,
                }
            }
            let remaining = end.since(clock.now());
            if remaining.is_zero() {
                return Err(no_selection);
            }
            let pause = clock.sleep(remaining.min(CHECK_INTERVAL));
            select(pin!(entry.capacity_freed()), pause).await;
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
