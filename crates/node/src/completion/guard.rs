use std::sync::Arc;

use engines::api::Cancel;

use crate::admission::LoadGuard;

/// Counts a running attempt in the load view, cancels it at its engines when it is dropped before
/// its end, and then gives its engines to waiting requests.
pub(super) struct AttemptGuard {
    /// Dropped after the cancel calls are on their way.
    load: LoadGuard,
    session: Arc<str>,
    attempt: u32,
    /// Positions whose prefill is counted in the load view.
    prefilling: u32,
    ended: bool,
}

impl AttemptGuard {
    pub(super) fn new(
        load: LoadGuard,
        session: Arc<str>,
        attempt: u32,
        prefilling: u32,
    ) -> AttemptGuard {
        load.node.view.borrow_mut().start_prefill(&load.route, prefilling);
        AttemptGuard { load, session, attempt, prefilling, ended: false }
    }

    /// The first token has come, so that the prefill has ended.
    pub(super) fn prefilled(&mut self) {
        let positions = std::mem::take(&mut self.prefilling);
        if positions > 0 {
            let mut view = self.load.node.view.borrow_mut();
            view.finish_prefill(&self.load.route, positions);
        }
    }

    /// The engines have ended the attempt, so that there is nothing to cancel.
    pub(super) fn ended(&mut self) {
        self.ended = true;
    }

    /// Tells every stage, because the first one may not be able to tell the others any more.
    fn cancel(&self) {
        for stage in self.load.route.iter() {
            let (session, attempt) = (self.session.clone(), self.attempt);
            self.load.node.cancel(&stage.engine, Cancel { session, attempt, at_step_end: false });
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.prefilled();
        if !self.ended {
            self.cancel();
        }
    }
}
