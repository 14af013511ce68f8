//! Signals with which the platform stops a process, or tells it that its settings have changed.

use std::io;

use futures_util::{FutureExt, future::LocalBoxFuture};

type PendingSignal = LocalBoxFuture<'static, io::Result<()>>;

/// Receives one signal for as long as the value exists. Meanwhile the signal never has its default
/// effect, which for most signals is the end of the process.
pub struct SignalListener {
    number: i32,
    next: PendingSignal,
    /// The runtime restores the default effect when its last future for a signal completes. This
    /// one is not polled again, so it never does.
    _installed: PendingSignal,
}

impl SignalListener {
    /// Signal that asks the process to stop.
    pub const TERMINATE: i32 = 15;
    /// Signal that announces a changed settings file.
    pub const HANG_UP: i32 = 1;

    /// Installs the handler of a signal.
    pub fn install(number: i32) -> io::Result<SignalListener> {
        let _installed = register(number)?;
        Ok(SignalListener { number, next: register(number)?, _installed })
    }

    /// Waits for the next signal. Signals that arrive before this is called count as one.
    pub async fn recv(&mut self) -> io::Result<()> {
        (&mut self.next).await?;
        self.next = register(self.number)?;
        Ok(())
    }
}

/// A future that completes at the first signal after this call.
fn register(number: i32) -> io::Result<PendingSignal> {
    let mut pending = compio::signal::unix::signal(number).boxed_local();
    match (&mut pending).now_or_never() {
        Some(Err(error)) => Err(error),
        Some(Ok(())) => Ok(std::future::ready(Ok(())).boxed_local()),
        None => Ok(pending),
    }
}
