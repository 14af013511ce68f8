//! The latency targets of a request, from its route and the time that it has taken so far.

use std::time::Duration;

use catalog::ModelProfile;
use pipelines::PathTargets;

use crate::lifecycle::ActiveRequest;

/// Least time that is assumed to be left for the first event. A request that has missed its target
/// takes the path with the earliest first event.
const MIN_FIRST_EVENT: Duration = Duration::from_millis(1);
/// Least limit on the gaps between events, so that the predicted times can be compared with it.
const MIN_GAP: Duration = Duration::from_millis(1);

impl ActiveRequest {
    /// Targets that the path of a stream should meet. `None` if this is not enabled, or if the
    /// configuration does not say how long the engines take.
    pub(crate) fn path_targets<'a>(&self, profile: &'a ModelProfile) -> Option<PathTargets<'a>> {
        if self.gateway.settings.overload.is_none() || !self.route.retry.is_stream() {
            return None;
        }
        let model = profile.latency.as_ref()?;
        let elapsed = self.gateway.clock.now().since(self.log.started());
        let first_event = self.route.latency_target.saturating_sub(elapsed).max(MIN_FIRST_EVENT);
        let gap = self.route.max_gap.map(|gap| millis(gap.max(MIN_GAP)));
        Some(PathTargets {
            model,
            prompt: f64::from(self.prompt),
            gap_ms: gap.unwrap_or(f64::INFINITY),
            first_event_ms: millis(first_event),
        })
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
