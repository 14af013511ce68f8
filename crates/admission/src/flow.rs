//! How fast capacity is freed, how long a request waits for it, and when a refused caller should
//! come back.

use std::time::Duration;

use clock::Timestamp;

/// Weight of the newest observation in the moving average of hold times.
const HOLD_WEIGHT: f64 = 0.1;
/// Hold time assumed until one is observed.
const TYPICAL_HOLD: Duration = Duration::from_secs(3);
/// Shortest hold time. A shorter one would mean that capacity is never scarce.
const MIN_HOLD: Duration = Duration::from_millis(1);
/// Longest estimate of a wait.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Shortest time after which a caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// A caller is told to wait for at most a third of its request's remaining time.
const RETRY_DIVISOR: u32 = 3;
/// Share of the time until a retry that is random, to both sides of the estimate. Callers that are
/// refused together would otherwise return together.
const RETRY_JITTER: f64 = 0.5;

/// What is known of the load of all nodes on a service.
#[derive(Clone, Copy, Debug)]
pub struct FleetLoad {
    /// Requests in flight of all nodes.
    pub in_flight: u32,
    /// Mean time that a request holds its upstreams.
    pub hold: Duration,
    /// Number of nodes, including this one.
    pub nodes: usize,
    /// Requests that wait at the other nodes; `None` if they do not report them. This node's are
    /// then taken for an equal part of all.
    pub waiting_elsewhere: Option<u32>,
    /// Age of that report.
    pub age: Duration,
}

impl FleetLoad {
    /// Requests that end in a second, on all nodes. At least one of each node counts as in flight: a
    /// node that does not know the others would expect nothing to be freed.
    fn freed_per_s(&self) -> f64 {
        (f64::from(self.in_flight)).max(self.nodes.max(1) as f64)
            / self.hold.max(MIN_HOLD).as_secs_f64()
    }

    /// Requests of this node that end in a second, if each node has an equal part.
    fn own_freed_per_s(&self) -> f64 {
        self.freed_per_s() / self.nodes.max(1) as f64
    }

    /// Time until capacity is freed for a request that comes after `ahead` others which wait at
    /// this node.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let freed_per_s = self.freed_per_s();
        let wait = match self.waiting_elsewhere {
            None => ahead as f64 / self.own_freed_per_s(),
            Some(waiting) => {
                // Some of those that waited when the report was sent have been served since.
                let served = freed_per_s * self.age.as_secs_f64();
                (ahead as f64 + (f64::from(waiting) - served).max(0.0)) / freed_per_s
            }
        };
        seconds(wait)
    }
}

/// This node's observations of a service: how long requests hold its upstreams, and how many were
/// refused just before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    hold: Option<Duration>,
    /// Refused requests whose callers could not yet have been served, at the time `updated`.
    refused: f64,
    updated: Timestamp,
}

impl Flow {
    /// Adds the time for which a request held its upstreams to the moving average.
    pub fn observe_hold(&mut self, time: Duration) {
        let time = time.min(MAX_WAIT);
        let mean = self.hold.unwrap_or(time);
        self.hold = Some(mean.mul_f64(1.0 - HOLD_WEIGHT) + time.mul_f64(HOLD_WEIGHT));
    }

    /// Whether a hold time was observed.
    pub fn has_observed(&self) -> bool {
        self.hold.is_some()
    }

    /// Mean time for which a request holds its upstreams, or a typical time if none was observed.
    pub fn hold(&self) -> Duration {
        self.hold.unwrap_or(TYPICAL_HOLD)
    }

    /// Counts a refused request. Returns [`wait_if_refused`](Self::wait_if_refused).
    pub fn record_refusal(
        &mut self,
        fleet: &FleetLoad,
        waiting: usize,
        now: Timestamp,
    ) -> Duration {
        let wait = self.wait_if_refused(fleet, waiting, now);
        self.refused = self.refused_with_next(fleet, now);
        self.updated = now;
        wait
    }

    /// Time until the requests that wait at this node and those that it refused just before will
    /// have been served, if one more is refused now. It is not counted.
    pub fn wait_if_refused(&self, fleet: &FleetLoad, waiting: usize, now: Timestamp) -> Duration {
        let refused = seconds(self.refused_with_next(fleet, now) / fleet.own_freed_per_s());
        (fleet.expected_wait(waiting) + refused).min(MAX_WAIT)
    }

    /// Refused requests whose callers could not yet have been served, with one more.
    fn refused_with_next(&self, fleet: &FleetLoad, now: Timestamp) -> f64 {
        let served = fleet.own_freed_per_s() * now.since(self.updated).as_secs_f64();
        (self.refused - served).max(0.0) + 1.0
    }
}

/// Time after which the caller of a refused request should come back, if capacity for it is expected
/// after `wait` and the request has `time_left`. `draw` is a random number from 0 to 1.
pub fn retry_after(wait: Duration, time_left: Duration, draw: f64) -> Duration {
    let longest = (time_left / RETRY_DIVISOR).max(MIN_RETRY_AFTER);
    let expected = wait.clamp(MIN_RETRY_AFTER, longest);
    let earliest = expected.mul_f64(1.0 - RETRY_JITTER).max(MIN_RETRY_AFTER);
    let latest = expected.mul_f64(1.0 + RETRY_JITTER).max(MIN_RETRY_AFTER * 2).min(longest);
    let draw = if draw.is_nan() { 0.0 } else { draw.clamp(0.0, 1.0) };
    (earliest + latest.saturating_sub(earliest).mul_f64(draw)).min(longest)
}

/// `wait` seconds, at most [`MAX_WAIT`].
fn seconds(wait: f64) -> Duration {
    Duration::try_from_secs_f64(wait).unwrap_or(MAX_WAIT).min(MAX_WAIT)
}
