use std::cell::RefCell;

use transport::StopSignal;

/// A signal that one task waits for repeatedly.
#[derive(Default)]
pub(crate) struct Wakeup(RefCell<StopSignal>);

impl Wakeup {
    /// Starts a new wait, which only later calls of [`Wakeup::raise`] end.
    pub(crate) fn arm(&self) -> StopSignal {
        let signal = StopSignal::new();
        self.0.replace(signal.clone());
        signal
    }

    /// Ends the current wait.
    pub(crate) fn raise(&self) {
        self.0.borrow().raise();
    }
}
