use std::{cell::RefCell, future::Future, rc::Rc};

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};

/// A signal that is raised once. Any number of tasks can wait for it.
#[derive(Clone)]
pub struct StopSignal {
    sender: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    receiver: Shared<oneshot::Receiver<()>>,
}

impl StopSignal {
    /// Creates a signal that is not raised.
    pub fn new() -> StopSignal {
        let (sender, receiver) = oneshot::channel();
        StopSignal { sender: Rc::new(RefCell::new(Some(sender))), receiver: receiver.shared() }
    }

    /// Raises the signal and wakes all waiting tasks.
    pub fn raise(&self) {
        if let Some(sender) = self.sender.borrow_mut().take() {
            // Sending fails only if no receiver is left.
            let _ = sender.send(());
        }
    }

    /// Whether the signal is raised.
    pub fn is_raised(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Completes when the signal is raised.
    pub fn raised(&self) -> impl Future<Output = ()> + 'static {
        let stop = self.clone();
        async move {
            // `stop` keeps the sender alive, so the receiver completes only when the signal is
            // raised.
            let _ = stop.receiver.clone().await;
        }
    }
}

impl Default for StopSignal {
    fn default() -> StopSignal {
        StopSignal::new()
    }
}
