use std::{cell::Cell, future::poll_fn, task::Poll};

/// Lets all other tasks and timers run now and then during a loop whose awaits may be ready at once
/// each time: the runtime completes an operation on a socket without a pause while the peer sends.
pub struct TurnLimit {
    max_steps: u32,
    steps: Cell<u32>,
}

impl TurnLimit {
    /// Creates a limit of `max_steps` steps in one turn.
    pub const fn new(max_steps: u32) -> TurnLimit {
        TurnLimit { max_steps, steps: Cell::new(0) }
    }

    /// Records that others have run since the last step.
    pub(crate) fn restart(&self) {
        self.steps.set(0);
    }

    /// Counts a step, and ends the turn after the last one.
    pub async fn step(&self) {
        self.steps.set(self.steps.get() + 1);
        if self.steps.get() < self.max_steps {
            return;
        }
        self.steps.set(0);
        yield_now().await;
    }
}

/// Ends this poll of the task. It is polled again once others have run.
pub(crate) async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|context| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
