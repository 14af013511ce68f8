//! Sends cancel calls to engines.

use std::{rc::Rc, time::Duration};

use clock::{Clock, timeout};
use engines::{Engine, api::Cancel};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;

/// Time after which a cancel call is abandoned. The engine then learns that the attempt has ended
/// when the stream is closed or a newer attempt of the session arrives.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A queued cancel call and the engine that it goes to.
pub(crate) struct CancelCall {
    pub(crate) engine: Rc<dyn Engine>,
    pub(crate) cancel: Cancel,
}

/// Sends the queued cancel calls. The queue keeps requests from waiting for them. A guard can also
/// fill the queue when it is dropped together with the runtime, where it cannot spawn a task.
pub(crate) async fn send_cancels(clock: Rc<dyn Clock>, calls: UnboundedReceiver<CancelCall>) {
    let send = async |call: CancelCall| {
        let future = call.engine.cancel(call.cancel);
        if let Ok(Err(error)) = timeout(&*clock, CANCEL_TIMEOUT, future).await {
            tracing::debug!(%error, "cancel call failed");
        }
    };
    // Needs no limit on concurrent calls, because the timeout ends each of them.
    calls.for_each_concurrent(None, send).await;
}
