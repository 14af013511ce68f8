use std::{rc::Rc, time::Duration};

use clock::{Clock, timeout};
use engines::{Engine, api::Cancel};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;

/// Time after which a cancel call is given up. The engine then learns of the end from the closed
/// stream or from a newer attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A cancel call that is to be sent to an engine.
pub(crate) struct CancelOrder {
    pub(crate) engine: Rc<dyn Engine>,
    pub(crate) cancel: Cancel,
}

/// Sends the queued cancel calls. Requests don't wait for them, and a queue can also be used by a
/// guard that is dropped with the runtime, where no task can be spawned.
pub(crate) async fn send_cancels(clock: Rc<dyn Clock>, orders: UnboundedReceiver<CancelOrder>) {
    let send = async |order: CancelOrder| {
        let call = order.engine.cancel(order.cancel);
        if let Ok(Err(error)) = timeout(&*clock, CANCEL_TIMEOUT, call).await {
            tracing::debug!(%error, "cancel call failed");
        }
    };
    // The timeout bounds how many calls run at once.
    orders.for_each_concurrent(None, send).await;
}
