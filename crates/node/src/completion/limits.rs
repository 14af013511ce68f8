use std::time::Duration;

use settings::Policy;

/// A wait that is this many times as long as expected counts as a stall. The load of an engine
/// can multiply the time of a step before the next report shows it.
const STALL_FACTOR: u32 = 8;
/// Largest multiple of the configured limit to which slow engines extend it.
const MAX_EXTENSION: u32 = 10;

/// Doublings of the limits after failed attempts.
const MAX_DOUBLINGS: u32 = 4;

/// Longest wait for the first token of an attempt that is expected after `expected`. While the
/// caller already has tokens, a wait is a gap in its stream, so the least limit is shorter.
pub(super) fn first_token(
    policy: &Policy,
    expected: Duration,
    is_first: bool,
    unexplained: u32,
) -> Duration {
    let base = Duration::from_millis(policy.first_token_ms);
    let least = if is_first { base / 2 } else { base / 4 };
    adapt(base, least, expected, unexplained)
}

/// Longest wait for a further token that is expected after `expected`.
pub(super) fn progress(policy: &Policy, expected: Duration, unexplained: u32) -> Duration {
    let base = Duration::from_millis(policy.progress_ms);
    adapt(base, base * 3 / 4, expected, unexplained)
}

/// Each stall that no probe explained, after the first, doubles the limit: if the engines were only
/// slow, more attempts at the same limit would add prefills to their load and fail as well.
fn adapt(base: Duration, least: Duration, expected: Duration, unexplained: u32) -> Duration {
    let limit = (expected * STALL_FACTOR).max(least)
        * 2_u32.pow(unexplained.saturating_sub(1).min(MAX_DOUBLINGS));
    limit.min(base * MAX_EXTENSION)
}
