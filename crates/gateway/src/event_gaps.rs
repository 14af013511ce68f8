//! Reports the gaps between the events of a stream, to find links that have become slow.

use std::{rc::Rc, time::Duration};

use pipelines::Path;

use crate::Gateway;

/// Least wait that is reported. After a shorter one, the event was already in the receive buffer.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Reports the gaps of the stream of one attempt until it is dropped.
pub(crate) struct GapWatch {
    gateway: Rc<Gateway>,
    stream: u64,
    crosses: bool,
    /// Predicted gap, in milliseconds.
    predicted_ms: f64,
}

impl GapWatch {
    /// Starts to watch a stream over `path`; `None` if no times are predicted for it.
    pub(crate) fn start(gateway: Rc<Gateway>, path: &Path) -> Option<GapWatch> {
        let predicted_ms = path.times?.event_ms;
        let stream = gateway.crossing_gaps.borrow_mut().start_stream();
        Some(GapWatch { gateway, stream, crosses: path.crossings > 0, predicted_ms })
    }

    /// Records how long the node waited for an event after it had forwarded the one before.
    pub(crate) fn record_wait(&self, wait: Duration) {
        if wait < MIN_WAIT {
            return;
        }
        let gap = wait.as_secs_f64() * 1000.0 / self.predicted_ms;
        let now = self.gateway.clock.now();
        let mut gaps = self.gateway.crossing_gaps.borrow_mut();
        if let Some(ratio) = gaps.record(self.stream, self.crosses, gap, now) {
            self.gateway.metrics.slow_crossings.inc();
            tracing::info!(ratio, "links between failure domains have become slow");
        }
    }
}

impl Drop for GapWatch {
    fn drop(&mut self) {
        self.gateway.crossing_gaps.borrow_mut().end_stream(self.stream);
    }
}
