use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::future::{FutureExt, LocalBoxFuture};

use crate::{Clock, Timestamp};

/// The system's monotonic clock, with the timers of the async runtime.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    origin: Instant,
}

impl RuntimeClock {
    /// Creates a clock whose origin is now.
    pub fn new() -> RuntimeClock {
        RuntimeClock { origin: Instant::now() }
    }
}

impl Default for RuntimeClock {
    fn default() -> RuntimeClock {
        RuntimeClock::new()
    }
}

impl Clock for RuntimeClock {
    fn now(&self) -> Timestamp {
        Timestamp::from_origin(self.origin.elapsed())
    }

    fn unix_millis(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since_epoch.as_millis() as u64
    }

    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        compio::time::sleep(duration).boxed_local()
    }
}
