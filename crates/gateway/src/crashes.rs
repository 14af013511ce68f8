use std::{collections::HashMap, time::Duration};

use clock::Timestamp;

/// Upstream crashes during a request after which the request is refused.
const CRASH_LIMIT: u32 = 2;
/// Time for which a request is remembered after its last crash.
const CRASH_LIFETIME: Duration = Duration::from_secs(60);
/// Most requests that are remembered. Crashes are rare; the limit only bounds memory use.
const MAX_ENTRIES: usize = 256;

/// Number of upstreams that crashed during a request, by the request's fingerprint.
#[derive(Debug, Default)]
pub(crate) struct CrashTable {
    entries: HashMap<u64, (u32, Timestamp)>,
}

impl CrashTable {
    /// Counts a crash that this node has observed.
    pub(crate) fn record_crash(&mut self, fingerprint: u64, now: Timestamp) {
        self.expire(now);
        if self.entries.len() < MAX_ENTRIES {
            let entry = self.entries.entry(fingerprint).or_insert((0, now));
            *entry = (entry.0 + 1, now);
        }
    }

    /// Raises the number of crashes to the one that another node has announced.
    pub(crate) fn merge(&mut self, fingerprint: u64, crashes: u32, now: Timestamp) {
        if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(&fingerprint) {
            let entry = self.entries.entry(fingerprint).or_insert((0, now));
            if crashes > entry.0 {
                *entry = (crashes, now);
            }
        }
    }

    /// Forgets a request that was answered: it did not cause the crash.
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        self.entries.remove(&fingerprint);
    }

    /// Whether too many upstreams have crashed during a request for it to be sent again.
    pub(crate) fn is_poison(&self, fingerprint: u64, now: Timestamp) -> bool {
        self.entries
            .get(&fingerprint)
            .is_some_and(|(count, last)| *count >= CRASH_LIMIT && now.since(*last) < CRASH_LIFETIME)
    }

    /// Fingerprints of the remembered requests, each with its number of crashes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, u32)> {
        self.entries.iter().map(|(fingerprint, (count, _))| (*fingerprint, *count))
    }

    fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, (_, last)| now.since(*last) < CRASH_LIFETIME);
    }
}
