use std::{error::Error, fmt, future::Future, pin::pin, time::Duration};

use futures_util::future::{Either, select};

use crate::Clock;

/// Error of [`timeout`]: the future did not complete in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("timed out")
    }
}

impl Error for Elapsed {}

/// Runs `future` for at most `duration`, then drops it.
pub async fn timeout<F: Future>(
    clock: &dyn Clock,
    duration: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    match select(pin!(future), clock.sleep(duration)).await {
        Either::Left((output, _)) => Ok(output),
        Either::Right(((), _)) => Err(Elapsed),
    }
}
