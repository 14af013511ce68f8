use std::{rc::Rc, sync::Arc, time::Duration};

use clock::timeout;
use engines::{Engine, api::Cancel};
use types::{ModelName, Stage};

use crate::{admission::LoadGuard, state::Node};

/// Time after which a cancel call is given up. The engine then learns of the end from the closed
/// stream or from a newer attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Counts a running attempt in the load view, cancels it at its engines when it is dropped before
/// its end, and then gives its engines to waiting requests.
pub(super) struct AttemptGuard {
    node: Rc<Node>,
    route: Arc<[Stage]>,
    session: Arc<str>,
    attempt: u32,
    ended: bool,
    /// Dropped after the cancel calls are on their way.
    _load: LoadGuard,
}

impl AttemptGuard {
    pub(super) fn new(
        node: Rc<Node>,
        model: ModelName,
        route: Arc<[Stage]>,
        session: Arc<str>,
        attempt: u32,
    ) -> AttemptGuard {
        let load = LoadGuard::new(node.clone(), model, route.clone());
        AttemptGuard { node, route, session, attempt, ended: false, _load: load }
    }

    /// The engines have ended the attempt, so that there is nothing to cancel.
    pub(super) fn ended(&mut self) {
        self.ended = true;
    }

    /// Tells every stage, because the first one may not be able to tell the others any more.
    fn cancel(&self) {
        for stage in self.route.iter() {
            let Some(engine) = self.node.engine(&stage.engine) else { continue };
            let (session, attempt) = (self.session.clone(), self.attempt);
            let clock = self.node.clock.clone();
            let cancel = Cancel { session, attempt, at_step_end: false };
            spawn(async move {
                // Nothing depends on the outcome.
                let _ = timeout(&*clock, CANCEL_TIMEOUT, engine.cancel(cancel)).await;
            });
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.cancel();
        }
    }
}

/// Sends a cancel call without waiting for its answer.
pub(super) fn send_cancel(engine: Rc<dyn Engine>, cancel: Cancel) {
    spawn(async move {
        if let Err(error) = engine.cancel(cancel).await {
            tracing::debug!(%error, "cancel call failed");
        }
    });
}

/// Spawns a task. A guard that is dropped with the runtime has nowhere to spawn one.
fn spawn(task: impl Future<Output = ()> + 'static) {
    let spawned =
        compio::runtime::Runtime::try_with_current(|runtime| runtime.spawn(task).detach());
    if spawned.is_err() {
        tracing::debug!("attempt was not cancelled because the process is ending");
    }
}
