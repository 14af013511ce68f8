//! How long an attempt waits for its next token before it counts as stalled.

use std::time::Duration;

use settings::Policy;

/// A wait that is this many times as long as expected counts as a stall. The factor is large
/// because new load can multiply an engine's step time before its next report shows that load.
const STALL_FACTOR: u32 = 8;
/// Largest multiple of the configured time-out that slow engines and repeated stalls can lead to.
const MAX_EXTENSION: u32 = 10;

/// Number of times that the time-out is doubled at most.
const MAX_DOUBLINGS: u32 = 4;

/// Longest wait for the first token of an attempt, which is expected after `expected`. If the
/// caller already has tokens, the wait is a gap in its stream, so the minimum is shorter.
pub(super) fn first_token(
    policy: &Policy,
    expected: Duration,
    is_first: bool,
    unexplained: u32,
) -> Duration {
    let configured = Duration::from_millis(policy.first_token_ms);
    let minimum = if is_first { configured / 2 } else { configured / 4 };
    adaptive_timeout(configured, minimum, expected, unexplained)
}

/// Longest wait for a further token, which is expected after `expected`.
pub(super) fn progress(policy: &Policy, expected: Duration, unexplained: u32) -> Duration {
    let configured = Duration::from_millis(policy.progress_ms);
    adaptive_timeout(configured, configured * 3 / 4, expected, unexplained)
}

/// Each stall without an identified cause, after the first, doubles the time-out. If the engines
/// are only slow, more attempts with the same time-out would add prefills to their load and fail as
/// well.
fn adaptive_timeout(
    configured: Duration,
    minimum: Duration,
    expected: Duration,
    unexplained: u32,
) -> Duration {
    let timeout = (expected * STALL_FACTOR).max(minimum)
        * 2_u32.pow(unexplained.saturating_sub(1).min(MAX_DOUBLINGS));
    timeout.min(configured * MAX_EXTENSION)
}
