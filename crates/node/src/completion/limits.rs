use std::time::Duration;

use settings::Policy;

/// A wait that is this many times as long as expected counts as a stall. The load of an engine
/// can multiply the time of a step before the next report shows it.
const STALL_FACTOR: u32 = 8;
/// Largest multiple of the configured limit to which slow engines extend it.
const MAX_EXTENSION: u32 = 10;

/// Longest wait for the first token of an attempt that is expected after `expected`. While the
/// caller already has tokens, a wait is a gap in its stream, so the least limit is shorter.
pub(super) fn first_token(policy: &Policy, expected: Duration, is_first: bool) -> Duration {
    let base = Duration::from_millis(policy.first_token_ms);
    let least = if is_first { base / 2 } else { base / 4 };
    adapt(base, least, expected)
}

/// Longest wait for a further token that is expected after `expected`.
pub(super) fn progress(policy: &Policy, expected: Duration) -> Duration {
    let base = Duration::from_millis(policy.progress_ms);
    adapt(base, base * 3 / 4, expected)
}

fn adapt(base: Duration, least: Duration, expected: Duration) -> Duration {
    (expected * STALL_FACTOR).clamp(least, base * MAX_EXTENSION)
}
