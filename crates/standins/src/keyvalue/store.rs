use std::{collections::BTreeMap, ops::Bound, time::Duration};

use clock::Timestamp;
use keyvalue::api::{Entry, Expected, KvReply, KvRequest, PutReply};

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// The entries and leases of the key-value service.
#[derive(Default)]
pub(super) struct Store {
    /// Version of the last change; lease identifiers are taken from it too.
    version: u64,
    entries: BTreeMap<String, StoredEntry>,
    leases: BTreeMap<u64, Lease>,
}

struct StoredEntry {
    entry: Entry,
    /// The entry before the last write, for stale reads.
    previous: Option<Entry>,
    /// Lease whose end removes the entry.
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    deadline: Timestamp,
}

impl Store {
    /// Applies a call. Watches are answered by the service, which polls [`Store::get`].
    pub(super) fn apply(
        &mut self,
        call: KvRequest,
        now: Timestamp,
        stale_reads: bool,
    ) -> Result<KvReply, String> {
        self.expire(now);
        match call {
            KvRequest::Get { key } if stale_reads => Ok(KvReply::Entry(self.previous(&key))),
            KvRequest::Get { key } => Ok(KvReply::Entry(self.get(&key, now))),
            KvRequest::Put { key, expected, value, lease } => self.put(key, expected, value, lease),
            KvRequest::Delete { key, version } => {
                let matches = self.entries.get(&key).is_some_and(|s| s.entry.version == version);
                if matches {
                    self.version += 1;
                    self.entries.remove(&key);
                }
                Ok(KvReply::Done(matches))
            }
            KvRequest::List { prefix, after, limit } => {
                let start = if after.is_empty() {
                    Bound::Included(prefix.clone())
                } else {
                    Bound::Excluded(after)
                };
                let entries = self
                    .entries
                    .range((start, Bound::Unbounded))
                    .take_while(|(key, _)| key.starts_with(&prefix))
                    .take(limit as usize)
                    .map(|(_, stored)| stored.entry.clone())
                    .collect();
                Ok(KvReply::Entries(entries))
            }
            KvRequest::Grant { ttl_millis } => {
                self.version += 1;
                let ttl = Duration::from_millis(ttl_millis);
                self.leases.insert(self.version, Lease { ttl, deadline: now + ttl });
                Ok(KvReply::Lease(self.version))
            }
            KvRequest::Renew { lease } => {
                let found = self.leases.get_mut(&lease);
                let renewed = found.map(|lease| lease.deadline = now + lease.ttl).is_some();
                Ok(KvReply::Done(renewed))
            }
            KvRequest::Revoke { lease } => {
                let existed = self.leases.remove(&lease).is_some();
                self.entries.retain(|_, stored| stored.lease != Some(lease));
                Ok(KvReply::Done(existed))
            }
            KvRequest::Watch { .. } => Err("a watch is not applied to the store".into()),
        }
    }

    /// Reads an entry.
    pub(super) fn get(&mut self, key: &str, now: Timestamp) -> Option<Entry> {
        self.expire(now);
        self.entries.get(key).map(|stored| stored.entry.clone())
    }

    /// Returns the entry as it was before its last write, for stale reads.
    fn previous(&self, key: &str) -> Option<Entry> {
        let stored = self.entries.get(key)?;
        Some(stored.previous.clone().unwrap_or_else(|| stored.entry.clone()))
    }

    fn put(
        &mut self,
        key: String,
        expected: Expected,
        value: String,
        lease: Option<u64>,
    ) -> Result<KvReply, String> {
        if value.len() > MAX_VALUE_BYTES {
            return Err("value is larger than 1 MB".into());
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err("no such lease".into());
        }
        let current = self.entries.get(&key).map(|stored| stored.entry.clone());
        let matches = match expected {
            Expected::Absent => current.is_none(),
            Expected::Version(version) => current.as_ref().is_some_and(|e| e.version == version),
        };
        if !matches {
            return Ok(KvReply::Put(PutReply::Conflict(current)));
        }
        self.version += 1;
        let version = self.version;
        let created = current.as_ref().map_or(version, |entry| entry.created);
        let entry = Entry { key: key.clone(), value, version, created };
        self.entries.insert(key, StoredEntry { entry, previous: current, lease });
        Ok(KvReply::Put(PutReply::Stored(version)))
    }

    /// Removes the expired leases and their entries.
    fn expire(&mut self, now: Timestamp) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.deadline <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for lease in expired {
            self.leases.remove(&lease);
            self.entries.retain(|_, stored| stored.lease != Some(lease));
        }
    }
}
