use std::ops::RangeInclusive;

use serde::Deserialize;

/// Limits on what callers may take up. They follow from the machine of the node, and no caller that
/// keeps to the published limits meets them.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Memory of the machine, in megabytes.
    pub ram_mb: f64,
    /// Descriptors that the process may open.
    pub max_fds: f64,
    /// Largest head of a request, with the empty lines before it, in bytes.
    pub head_bytes: usize,
    /// Time from the first byte of a head to its end, in milliseconds.
    pub head_ms: u64,
    /// Time for which a connection may be idle between two requests, in milliseconds.
    pub idle_ms: u64,
    /// Time for which a body may make no progress, in milliseconds.
    pub body_pause_ms: u64,
    /// Least rate of a body, in bytes per second, averaged over its whole time.
    pub body_rate: usize,
}

/// Allowed range of `ram_mb`, in megabytes. Less memory leaves none for a body of the largest size.
const RAM_MB: RangeInclusive<f64> = 48.0..=1_048_576.0;
/// Allowed range of `max_fds`.
const MAX_FDS: RangeInclusive<f64> = 128.0..=1_048_576.0;
/// Allowed range of `head_bytes`. The HTTP library needs the lower bound.
const HEAD_BYTES: RangeInclusive<usize> = 8192..=1 << 20;
/// Allowed range of the times, in milliseconds.
const TIME_MS: RangeInclusive<u64> = 100..=600_000;
/// Allowed range of `body_rate`, in bytes per second.
const BODY_RATE: RangeInclusive<usize> = 0..=1 << 20;

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            ram_mb: 256.0,
            max_fds: 1024.0,
            // The published limit is 16,384 bytes, without the line ends.
            head_bytes: 24 << 10,
            // The published limits are 3,000 ms for a head and 15,000 ms for an idle connection.
            head_ms: 5000,
            idle_ms: 20_000,
            body_pause_ms: 20_000,
            body_rate: 128,
        }
    }
}

impl LimitSettings {
    /// Checks that all values are in their ranges.
    pub(crate) fn check(&self) -> Result<(), String> {
        check("limits.ram_mb", self.ram_mb, &RAM_MB, "megabytes")?;
        check("limits.max_fds", self.max_fds, &MAX_FDS, "descriptors")?;
        check("limits.head_bytes", self.head_bytes, &HEAD_BYTES, "bytes")?;
        check("limits.head_ms", self.head_ms, &TIME_MS, "ms")?;
        check("limits.idle_ms", self.idle_ms, &TIME_MS, "ms")?;
        check("limits.body_pause_ms", self.body_pause_ms, &TIME_MS, "ms")?;
        check("limits.body_rate", self.body_rate, &BODY_RATE, "bytes per second")
    }
}

fn check<T: PartialOrd + std::fmt::Display>(
    key: &str,
    value: T,
    range: &RangeInclusive<T>,
    unit: &str,
) -> Result<(), String> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(format!("{key} is {value}, but must be from {} to {} {unit}", range.start(), range.end()))
}
