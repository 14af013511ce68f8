use std::{collections::HashSet, time::Duration};

use clock::Timestamp;
use types::Digest;

/// Time after which the newer of the two sets becomes the older one. A part is thus known for one to
/// two times as long after its last answer. A part may begin to crash engines at any time, and is no
/// suspect until then.
const ROTATION_TIME: Duration = Duration::from_secs(1);
/// Largest number of parts in each set. Further ones are left out, and so reported with the crashes
/// of their requests although they are sound.
const MAX_PARTS: usize = 16_384;

/// The parts of prompts that this node has seen in whole answers lately. They need not be told to the
/// other nodes as suspects, which keeps the notes on a crash short: a prompt may have a hundred parts.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    newer: HashSet<Digest>,
    older: HashSet<Digest>,
    rotated: Timestamp,
}

impl SoundParts {
    /// Adds the parts of a request that was answered whole by one engine.
    pub(crate) fn add(&mut self, parts: &[Digest], now: Timestamp) {
        self.rotate(now);
        let free = MAX_PARTS.saturating_sub(self.newer.len());
        self.newer.extend(parts.iter().take(free).copied());
    }

    /// Whether a request with the part was answered lately.
    pub(crate) fn contains(&mut self, part: Digest, now: Timestamp) -> bool {
        self.rotate(now);
        self.newer.contains(&part) || self.older.contains(&part)
    }

    fn rotate(&mut self, now: Timestamp) {
        let age = now.since(self.rotated);
        if age < ROTATION_TIME {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= ROTATION_TIME * 2 {
            self.older.clear();
        }
        self.rotated = now;
    }
}
