use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant decimal digits of a recorded time.
const DIGITS: u8 = 3;

/// Percentiles of times.
pub struct Percentiles {
    histogram: Histogram<u64>,
}

impl Percentiles {
    /// Records all times.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Percentiles {
        let mut histogram =
            Histogram::new_with_max(MAX_MICROS, DIGITS).expect("bounds of the histogram are valid");
        for time in times {
            histogram.saturating_record(time.as_micros() as u64);
        }
        Percentiles { histogram }
    }

    /// The time that `percent` of the recorded ones do not exceed.
    pub fn at(&self, percent: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_percentile(percent))
    }

    /// Number of recorded times.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }
}
