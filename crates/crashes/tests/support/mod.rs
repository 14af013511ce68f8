//! Times and requests that several tests use.

use std::time::Duration;

use clock::Timestamp;
use crashes::RequestParts;
use types::Digest;

pub(crate) const ACME: u128 = 1;
pub(crate) const OTHER: u128 = 2;

/// A time long after the origin, so that ages do not reach back before it.
pub(crate) fn at_ms(ms: u64) -> Timestamp {
    Timestamp::from_origin(Duration::from_secs(1000) + Duration::from_millis(ms))
}

pub(crate) fn request(organisation: u128, shared: &[u128], number: u128) -> RequestParts {
    RequestParts {
        organisation: Digest(organisation),
        shared: shared.iter().map(|part| Digest(*part)).collect(),
        fingerprint: Digest(1_000_000 * organisation + number),
    }
}
