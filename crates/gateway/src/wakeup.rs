use std::cell::RefCell;

use transport::StopSignal;

/// A signal that one task waits for again and again.
#[derive(Default)]
pub(crate) struct Wakeup(RefCell<StopSignal>);

impl Wakeup {
    /// Starts a new wait: only what is raised from now on ends it.
    pub(crate) fn arm(&self) -> StopSignal {
        let signal = StopSignal::new();
        self.0.replace(signal.clone());
        signal
    }

    /// Ends the present wait.
    pub(crate) fn raise(&self) {
        self.0.borrow().raise();
    }
}
