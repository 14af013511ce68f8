//! The clock that all timing goes through.
//!
//! Purpose: daemons use [`RuntimeClock`], tests use [`ManualClock`], which stands still until the
//! test advances it. The async runtime has no clock that can be paused, so nothing else in the
//! workspace reads the time or sleeps.
//!
//! Invariant: time never goes backwards. This crate must not know what its callers wait for.

mod manual;
mod runtime;
mod timeout;

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use futures_util::future::LocalBoxFuture;

pub use manual::ManualClock;
pub use runtime::RuntimeClock;
pub use timeout::{Elapsed, timeout};

/// A source of time and timers.
pub trait Clock {
    /// The current time.
    fn now(&self) -> Timestamp;

    /// Milliseconds since the Unix epoch, for values that leave the process.
    fn unix_millis(&self) -> u64;

    /// Completes after `duration`.
    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()>;
}

/// A point in time, counted from an origin that is fixed for the life of the clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// The point in time `since_origin` after the clock's origin.
    pub fn from_origin(since_origin: Duration) -> Timestamp {
        Timestamp(since_origin)
    }

    /// Time that passed since `earlier`, zero if `earlier` is in the future.
    pub fn since(self, earlier: Timestamp) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration))
    }
}
