use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest duration that the histogram resolves; longer ones are recorded as its largest value.
const MAX_MICROS: u64 = 600_000_000;
/// Number of significant decimal digits with which a duration is recorded.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of a set of durations.
pub struct Percentiles {
    histogram: Histogram<u64>,
}

impl Percentiles {
    /// Records the durations `times`.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Percentiles {
        let mut histogram = Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS)
            .expect("histogram bounds are valid");
        for time in times {
            histogram.saturating_record(time.as_micros() as u64);
        }
        Percentiles { histogram }
    }

    /// The duration that `percent` percent of the recorded ones do not exceed.
    pub fn at(&self, percent: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_percentile(percent))
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }
}
