//! Holds requests to plain services back while all replicas have as many requests of this node as
//! they bear. The limit is that of [`pipelines::ReplicaLimits`]; it applies only with the settings
//! table `overload`.

use std::time::Duration;

use catalog::{Phase, Upstream};
use clock::Timestamp;
use pipelines::Replica;
use types::ServiceName;

use crate::{
    Gateway,
    attempt::Attempts,
    lifecycle::ActiveRequest,
    selection::{NoSelection, Selection, SelectionQuery},
};

impl ActiveRequest {
    /// Until when a request to a plain service may wait for a replica, so that it is answered
    /// before its deadline; `None` without limits on replicas.
    pub(crate) fn replica_wait_end(&self) -> Option<Timestamp> {
        if !self.has_replica_limits() {
            return None;
        }
        let hold = self.gateway.replica_hold(&self.service);
        Some(self.end() - hold.unwrap_or_default())
    }

    /// Records that the queue did not take this request, which was expected to wait for `wait`.
    pub(crate) fn record_queue_refusal(&self, reason: NoSelection, wait: Duration) {
        if reason != NoSelection::Late || !self.has_replica_limits() {
            return;
        }
        self.gateway.metrics.replica_refusals.inc();
        let wait_ms = wait.as_millis() as u64;
        tracing::debug!(request = %self.id, service = %self.service, wait_ms,
            "no replica is free before the deadline");
    }

    /// Time until the first of the replicas may be tried, if all of them refuse requests. A resumed
    /// request is not refused for it.
    pub(crate) fn refusal_wait(&self, query: SelectionQuery<'_>) -> Option<Duration> {
        if query.is_resumed || !self.has_replica_limits() {
            return None;
        }
        let gateway = &self.gateway;
        let catalog = gateway.catalog.borrow();
        let replicas = catalog.upstreams().filter(|upstream| {
            upstream.service == self.service
                && upstream.phase == Phase::Serving
                && !query.avoid.contains(&upstream.name)
        });
        let ends: Option<Vec<Timestamp>> =
            replicas.map(|upstream| gateway.refusing_until(upstream)).collect();
        Some(ends?.into_iter().min()?.since(gateway.clock.now()))
    }

    pub(crate) fn has_replica_limits(&self) -> bool {
        self.gateway.settings.overload.is_some() && self.model_profile().is_none()
    }

    /// Lets the request use the replica of the last failed attempt again after its pause, if it only
    /// refused the request. Otherwise, one refusal by each replica would end the request.
    pub(crate) fn allow_refusing_replica(&self, attempts: &mut Attempts, selection: &Selection) {
        let (gateway, upstream) = (&self.gateway, &selection.upstream);
        let has_pause = gateway.is_replica_refusing(upstream) || gateway.is_paused(upstream);
        if self.has_replica_limits() && has_pause {
            attempts.avoided.pop();
        }
    }

    /// Records that a replica has not answered a request that was sent at `started` and is given up.
    pub(crate) fn record_replica_timeout(&self, selection: &Selection, started: Timestamp) {
        let gateway = &self.gateway;
        if !self.has_replica_limits() {
            return;
        }
        let now = gateway.clock.now();
        let upstream = &selection.upstream;
        let taken = now.since(started);
        let mut limits = gateway.replica_limits.borrow_mut();
        let was_reduced = limits.record_timeout(replica(upstream), taken, now);
        drop(limits);
        if was_reduced {
            gateway.report_reduced_limit(upstream, "slow");
        }
    }

    /// Records that a replica answered a request that was sent at `started`.
    pub(crate) fn record_replica_answer(&self, selection: &Selection, started: Timestamp) {
        let gateway = &self.gateway;
        if !self.has_replica_limits() {
            return;
        }
        let now = gateway.clock.now();
        let upstream = &selection.upstream;
        let in_flight = gateway.own_requests(upstream);
        let taken = now.since(started);
        let mut limits = gateway.replica_limits.borrow_mut();
        let was_reduced = limits.record_answer(replica(upstream), in_flight, taken, now);
        drop(limits);
        if was_reduced {
            gateway.report_reduced_limit(upstream, "slow");
        }
    }

    /// Records that a replica refused a request for lack of capacity.
    pub(crate) fn record_replica_refusal(&self, upstream: &Upstream) {
        let gateway = &self.gateway;
        if !self.has_replica_limits() {
            return;
        }
        let now = gateway.clock.now();
        if gateway.replica_limits.borrow_mut().record_refusal(replica(upstream), now) {
            gateway.report_reduced_limit(upstream, "refusal");
        }
    }
}

impl Gateway {
    /// Whether a replica has as many requests of this node as its limit allows.
    pub(crate) fn is_replica_full(&self, upstream: &Upstream) -> bool {
        self.settings.overload.is_some()
            && self.own_requests(upstream) >= self.replica_limit(upstream)
    }

    /// Whether a replica is avoided for its refusals alone. It has no capacity then, so that trying
    /// it would only use up the retry budget.
    pub(crate) fn is_replica_refusing(&self, upstream: &Upstream) -> bool {
        self.refusing_until(upstream).is_some()
    }

    /// When the pause after refusals of a replica ends; `None` if it is not avoided for them alone.
    fn refusing_until(&self, upstream: &Upstream) -> Option<Timestamp> {
        self.settings.overload.as_ref()?;
        let (name, now) = (&upstream.name, self.clock.now());
        self.health.borrow().refusing_until(name, upstream.incarnation, now)
    }

    /// Requests of this node that may be in flight at a replica.
    pub(crate) fn replica_limit(&self, upstream: &Upstream) -> u32 {
        self.replica_limits.borrow().limit(replica(upstream))
    }

    /// Requests of this node in flight at an upstream.
    pub(crate) fn own_requests(&self, upstream: &Upstream) -> u32 {
        let load = self.load.borrow();
        load.own().find(|(name, _)| **name == upstream.name).map_or(0, |(_, load)| load.requests)
    }

    /// What an answer of the replicas of a plain service usually takes: the mean over the replicas
    /// that have answered.
    fn replica_hold(&self, service: &ServiceName) -> Option<Duration> {
        let catalog = self.catalog.borrow();
        let limits = self.replica_limits.borrow();
        let replicas = catalog.upstreams().filter(|upstream| upstream.service == *service);
        let times: Vec<Duration> =
            replicas.filter_map(|upstream| limits.usual_time(replica(upstream))).collect();
        let count = u32::try_from(times.len()).ok().filter(|count| *count > 0)?;
        Some(times.iter().sum::<Duration>() / count)
    }

    fn report_reduced_limit(&self, upstream: &Upstream, cause: &str) {
        self.metrics.replica_reductions.with_label_values(&[cause]).inc();
        tracing::info!(upstream = %upstream.name, cause, limit = self.replica_limit(upstream),
            slots = upstream.capacity, "limit on requests at a replica is reduced");
    }
}

fn replica(upstream: &Upstream) -> Replica<'_> {
    Replica { name: &upstream.name, incarnation: upstream.incarnation, slots: upstream.capacity }
}
