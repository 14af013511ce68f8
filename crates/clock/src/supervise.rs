use std::{future::Future, panic::AssertUnwindSafe, time::Duration};

use futures_util::FutureExt;

use crate::Clock;

/// Delay before a task that has panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a background task until it ends. A task that panics is started again: the runtime would only
/// drop it, and the process would go on without it. `name` is for the log.
pub async fn supervise<F: Future<Output = ()>>(
    clock: &dyn Clock,
    name: &'static str,
    start: impl Fn() -> F,
) {
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        tracing::error!(task = name, "task has panicked and is started again");
        clock.sleep(RESTART_DELAY).await;
    }
}
