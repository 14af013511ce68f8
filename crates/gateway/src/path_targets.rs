//! The latency targets of a request, from its route and the time that it has taken so far.

use std::time::Duration;

use catalog::ModelProfile;
use pipelines::PathTargets;

use crate::{lifecycle::ActiveRequest, selection::SelectionQuery};

/// Least target, so that predicted times can be expressed as a share of it.
const MIN_TARGET: Duration = Duration::from_millis(1);

impl ActiveRequest {
    /// Targets that the path of a stream should meet. `None` if this is not enabled, or if the
    /// configuration does not say how long the engines take.
    pub(crate) fn path_targets<'a>(
        &self,
        profile: &'a ModelProfile,
        query: SelectionQuery<'_>,
    ) -> Option<PathTargets<'a>> {
        if self.gateway.settings.overload.is_none() || !self.route.retry.is_stream() {
            return None;
        }
        let model = profile.latency.as_ref()?;
        let elapsed = self.gateway.clock.now().since(self.log.started());
        let target = self.route.latency_target;
        let left = target.saturating_sub(elapsed);
        // The first event of a resumed stream has arrived, and a target that has passed cannot be
        // met. The path should still be as fast as for a new request.
        let first_event = if query.is_resumed || left.is_zero() { target } else { left };
        let gap = self.route.max_gap.map(|gap| millis(gap.max(MIN_TARGET)));
        Some(PathTargets {
            model,
            prompt: f64::from(self.prompt),
            gap_ms: gap.unwrap_or(f64::INFINITY),
            first_event_ms: millis(first_event.max(MIN_TARGET)),
        })
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
