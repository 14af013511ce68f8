use std::{rc::Rc, sync::Arc};

use engines::api::Cancel;
use types::Stage;

use crate::state::Node;

/// Counts a running attempt in the load view and cancels it at its engines when it is dropped
/// before its end.
pub(super) struct AttemptGuard {
    node: Rc<Node>,
    route: Arc<[Stage]>,
    session: Arc<str>,
    attempt: u32,
    /// Positions whose prefill is counted in the load view.
    prefilling: u32,
    ended: bool,
}

impl AttemptGuard {
    pub(super) fn new(
        node: Rc<Node>,
        route: Arc<[Stage]>,
        session: Arc<str>,
        attempt: u32,
        prefilling: u32,
    ) -> AttemptGuard {
        {
            let mut view = node.view.borrow_mut();
            view.start(&route);
            view.start_prefill(&route, prefilling);
        }
        AttemptGuard { node, route, session, attempt, prefilling, ended: false }
    }

    /// The first token has come, so that the prefill has ended.
    pub(super) fn prefilled(&mut self) {
        let positions = std::mem::take(&mut self.prefilling);
        if positions > 0 {
            self.node.view.borrow_mut().finish_prefill(&self.route, positions);
        }
    }

    /// The engines have ended the attempt, so that there is nothing to cancel.
    pub(super) fn ended(&mut self) {
        self.ended = true;
    }

    /// Tells every stage, because the first one may not be able to tell the others any more.
    fn cancel(&self) {
        for stage in self.route.iter() {
            let (session, attempt) = (self.session.clone(), self.attempt);
            self.node.cancel(&stage.engine, Cancel { session, attempt, at_step_end: false });
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.prefilled();
        self.node.view.borrow_mut().finish(&self.route);
        if !self.ended {
            self.cancel();
        }
    }
}
