use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// A 128-bit digest of a request, used to recognise a request that has the same content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub u128);

impl Digest {
    /// Computes the digest of several parts. The length of each part is included, so that moving a
    /// byte from one part to the next changes the digest.
    pub fn of(parts: &[&[u8]]) -> Digest {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Digest(hasher.digest128())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
