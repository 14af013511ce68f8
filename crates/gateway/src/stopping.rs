//! What a stopping node still does: until when it starts requests, and until when it answers them.
//!
//! Every wait of a request ends with the node: what has not been sent by the latest start is refused as
//! not run, and what is at work is answered before the connections are closed. A request is refused as
//! soon as it is known that it cannot be started in time, so that its caller has time for another node.

use std::{future::Future, pin::pin, time::Duration};

use catalog::{Phase, Route};
use clock::Timestamp;
use futures_util::future::{Either, select};
use types::ServiceName;

use crate::{Gateway, lifecycle::ActiveRequest, selection::SelectionQuery, wait_queue::QueueEntry};

/// Time after which a caller may retry when the node is shutting down. It is short since the retry
/// goes to another node.
pub(crate) const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Share of the grace period during which a stopping node still takes new streams.
const STREAM_GRACE_SHARE: f64 = 0.35;
/// Last part of the grace period, reserved for the process to exit. Connections are closed before it.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Time before the connections are closed, in which the last responses are written.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

impl Gateway {
    /// Time after the stop signal for which open connections are waited for.
    pub(crate) fn drain_limit(&self) -> Duration {
        Duration::from_secs_f64(self.settings.grace_s).saturating_sub(EXIT_MARGIN)
    }

    /// When the node was told to stop; `None` if it was not.
    fn stopped_since(&self) -> Option<Timestamp> {
        if !self.stop.is_raised() {
            return None;
        }
        if self.stopped_at.get().is_none() {
            self.stopped_at.set(Some(self.clock.now()));
        }
        self.stopped_at.get()
    }

    /// Time by which a stopping node has answered all requests.
    pub(crate) fn answer_end(&self) -> Option<Timestamp> {
        Some(self.stopped_since()? + self.drain_limit().saturating_sub(RESPONSE_TIME))
    }

    /// Whether a request of `route` that arrives now can be answered before the process exits. The
    /// balancer may send connections to a stopping node until it exits, if other nodes are stopping
    /// too.
    pub(crate) fn has_time_for(&self, route: &Route) -> bool {
        let Some((stopped_at, answer_end)) = self.stopped_since().zip(self.answer_end()) else {
            return true;
        };
        let now = self.clock.now();
        if route.retry.is_stream() {
            let grace = Duration::from_secs_f64(self.settings.grace_s);
            return now < stopped_at + grace.mul_f64(STREAM_GRACE_SHARE);
        }
        now + route.timeout < answer_end
    }

    /// Latest time at which a stopping node starts a request that it has taken, so that it is answered
    /// before the process exits.
    pub(crate) fn start_end(&self, route: &Route, service: &ServiceName) -> Option<Timestamp> {
        let answer_end = self.answer_end()?;
        let flow = *self.flow(service);
        let work = if flow.has_observed() { flow.hold() } else { route.latency_target };
        Some(answer_end - work)
    }

    /// Runs `future`. `None` if a stopping node has reached the time that `end` gives before it
    /// completes. `end` is only asked after the stop signal.
    pub(crate) async fn until_end<F: Future>(
        &self,
        end: impl Fn() -> Option<Timestamp>,
        future: F,
    ) -> Option<F::Output> {
        let ended = pin!(async {
            self.stop.raised().await;
            while let Some(left) = end().map(|end| end.since(self.clock.now()))
                && !left.is_zero()
            {
                self.clock.sleep(left).await;
            }
        });
        match select(ended, pin!(future)).await {
            Either::Left(_) => None,
            Either::Right((output, _)) => Some(output),
        }
    }
}

impl ActiveRequest {
    /// When the request is given up: at its deadline, or when a stopping node has to answer it.
    pub(crate) fn end(&self) -> Timestamp {
        self.gateway.answer_end().map_or(self.deadline, |end| end.min(self.deadline))
    }

    /// Time until the request is given up.
    pub(crate) fn time_left(&self) -> Duration {
        self.end().since(self.gateway.clock.now())
    }

    /// Latest start of an attempt on a stopping node. The rest of a stream that the caller already has a
    /// part of is sent for as long as possible.
    pub(crate) fn attempt_end(&self, query: SelectionQuery<'_>) -> Option<Timestamp> {
        if query.is_resumed {
            return self.gateway.answer_end();
        }
        self.gateway.start_end(&self.route, &self.service)
    }

    /// Whether a waiting request will not be started before the latest start of a stopping node, also
    /// if all replicas are free at once for the requests before it.
    pub(crate) fn waits_too_long(&self, entry: &QueueEntry, query: SelectionQuery<'_>) -> bool {
        let Some(end) = self.attempt_end(query).filter(|_| !query.is_resumed) else {
            return false;
        };
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let first_start = self.paused_until(query).map_or(now, |until| until.max(now));
        first_start + self.least_queue_time(entry) >= end
    }

    /// Whether it is only the exit of this node that leaves too little time for a request which is
    /// expected to wait for `wait`.
    pub(crate) fn has_time_elsewhere(&self, wait: Duration) -> bool {
        self.gateway.stop.is_raised() && self.gateway.clock.now() + wait < self.deadline
    }

    /// Time that the requests before this one take at least. Zero if it is not replicas with a known
    /// number of slots that they wait for.
    fn least_queue_time(&self, entry: &QueueEntry) -> Duration {
        let gateway = &self.gateway;
        let flow = *gateway.flow(&self.service);
        if !self.has_replica_limits() || !flow.has_observed() {
            return Duration::ZERO;
        }
        let catalog = gateway.catalog.borrow();
        let replicas = catalog.upstreams().filter(|upstream| {
            upstream.service == self.service && upstream.phase == Phase::Serving
        });
        let slots: u32 = replicas.map(|upstream| upstream.capacity).sum();
        let rounds = entry.position() / (slots as usize).max(1);
        flow.hold() * u32::try_from(rounds).unwrap_or(u32::MAX)
    }
}
