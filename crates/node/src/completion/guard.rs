//! Cleanup of an attempt that ends in any way, also when its future is dropped.

use std::sync::Arc;

use engines::api::Cancel;

use crate::admission::LoadGuard;

/// Counts a running attempt in the load view. When the guard is dropped before the engines have
/// ended the attempt, it cancels the attempt at them. The slots are then free for waiting requests.
pub(super) struct AttemptGuard {
    /// Dropped, as a field, after `drop` has queued the cancel calls, so that the slots are counted
    /// as free only then.
    load: LoadGuard,
    session: Arc<str>,
    attempt: u32,
    /// Prefill positions of this attempt that the load view counts as running.
    prefill_positions: u32,
    /// Whether the engines have ended the attempt.
    ended: bool,
}

impl AttemptGuard {
    pub(super) fn new(
        load: LoadGuard,
        session: Arc<str>,
        attempt: u32,
        prefill_positions: u32,
    ) -> AttemptGuard {
        load.node.view.borrow_mut().start_prefill(&load.route, prefill_positions);
        AttemptGuard { load, session, attempt, prefill_positions, ended: false }
    }

    /// Takes the prefill out of the load view. The first token shows that it has ended.
    pub(super) fn end_prefill(&mut self) {
        let positions = std::mem::take(&mut self.prefill_positions);
        if positions > 0 {
            let mut view = self.load.node.view.borrow_mut();
            view.finish_prefill(&self.load.route, positions);
        }
    }

    /// Notes that the engines have ended the attempt, so that there is nothing to cancel.
    pub(super) fn mark_ended(&mut self) {
        self.ended = true;
    }

    /// Cancels the attempt at every stage, because the first one may be unable to pass a cancel
    /// call on.
    fn cancel(&self) {
        for stage in self.load.route.iter() {
            let (session, attempt) = (self.session.clone(), self.attempt);
            self.load.node.cancel(&stage.engine, Cancel { session, attempt, at_step_end: false });
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end_prefill();
        if !self.ended {
            self.cancel();
        }
    }
}
