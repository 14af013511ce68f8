//! How many tokens a request is expected to hold in the KV caches of its engines.

use std::ops::RangeInclusive;

/// Range of a caller's estimate of the output, as factors on the usual output of the model. Single
/// estimates may be far off.
const ESTIMATE_FACTORS: RangeInclusive<f64> = 0.5..=2.0;

/// The sizes that are known of a request before it runs, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizeHints {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Largest number of output tokens.
    pub max_output: u32,
    /// The caller's estimate of the number of output tokens.
    pub estimate: Option<u32>,
    /// Mean number of output tokens of the model's requests.
    pub usual_output: f64,
}

impl SizeHints {
    /// Tokens that the request is expected to hold on average while it runs: its prompt and half of
    /// its output.
    ///
    /// Few requests reach their largest output, and none holds it from the start. An engine runs many
    /// requests at once, so the sum of these sizes is close to what they hold, and reservations of the
    /// largest sizes would leave much of the memory unused.
    pub fn expected_tokens(&self) -> u32 {
        let usual = if self.usual_output.is_finite() { self.usual_output.max(1.0) } else { 1.0 };
        let estimate = self.estimate.map_or(usual, |estimate| {
            f64::from(estimate)
                .clamp(usual * ESTIMATE_FACTORS.start(), usual * ESTIMATE_FACTORS.end())
        });
        let output = (f64::from(self.max_output).min(estimate) / 2.0).ceil();
        self.prompt.saturating_add(output as u32)
    }
}
