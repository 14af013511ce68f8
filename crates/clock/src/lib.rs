//! Clock abstraction for code that reads the time, sleeps or applies a time limit.
//!
//! Purpose: tests can control the time. Daemons use [`RuntimeClock`]; tests use [`ManualClock`],
//! whose time passes only when the test advances it. The async runtime's own clock cannot be
//! paused, so no other crate of the workspace reads the time or sleeps directly.
//!
//! Invariant: [`Clock::now`] never goes backwards. This crate must not know what its callers wait
//! for.

mod manual;
mod runtime;
mod supervise;
mod timeout;

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use futures_util::future::LocalBoxFuture;

pub use manual::ManualClock;
pub use runtime::RuntimeClock;
pub use supervise::supervise;
pub use timeout::{Elapsed, timeout};

/// A source of time and timers.
pub trait Clock {
    /// The current time.
    fn now(&self) -> Timestamp;

    /// Milliseconds since the Unix epoch, for timestamps in messages and stored data.
    fn unix_millis(&self) -> u64;

    /// Completes after `duration`.
    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()>;
}

/// A point in time, counted from an origin that is fixed for the life of the clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// Creates the point in time that is `since_origin` after the clock's origin.
    pub fn from_origin(since_origin: Duration) -> Timestamp {
        Timestamp(since_origin)
    }

    /// Time from `earlier` to this point; zero if `earlier` is later than this point.
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
