use std::{collections::HashMap, time::Duration};

use clock::Timestamp;

/// Crashes of upstreams after which a request is refused.
const CRASH_LIMIT: u32 = 2;
/// Time for which crashes of a request are remembered.
const CRASH_LIFETIME: Duration = Duration::from_secs(60);
/// Requests that are remembered. Crashes are rare; the bound only limits the memory.
const MAX_ENTRIES: usize = 256;

/// Requests during which upstreams have crashed, by fingerprint.
#[derive(Debug, Default)]
pub(crate) struct CrashTable {
    entries: HashMap<u64, (u32, Timestamp)>,
}

impl CrashTable {
    /// Counts a crash during a request of this node.
    pub(crate) fn record_crash(&mut self, fingerprint: u64, now: Timestamp) {
        self.expire(now);
        if self.entries.len() < MAX_ENTRIES {
            let entry = self.entries.entry(fingerprint).or_insert((0, now));
            *entry = (entry.0 + 1, now);
        }
    }

    /// Takes over the count of another node.
    pub(crate) fn merge(&mut self, fingerprint: u64, crashes: u32, now: Timestamp) {
        if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(&fingerprint) {
            let entry = self.entries.entry(fingerprint).or_insert((0, now));
            if crashes > entry.0 {
                *entry = (crashes, now);
            }
        }
    }

    /// Forgets a request that was served: it was not the cause of the crash.
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        self.entries.remove(&fingerprint);
    }

    /// Whether a request has crashed too many upstreams to be sent again.
    pub(crate) fn is_poison(&self, fingerprint: u64, now: Timestamp) -> bool {
        self.entries
            .get(&fingerprint)
            .is_some_and(|(count, last)| *count >= CRASH_LIMIT && now.since(*last) < CRASH_LIFETIME)
    }

    /// The remembered requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, u32)> {
        self.entries.iter().map(|(fingerprint, (count, _))| (*fingerprint, *count))
    }

    fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, (_, last)| now.since(*last) < CRASH_LIFETIME);
    }
}
