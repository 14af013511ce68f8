//! Messages of the key-value service's HTTP API. Every call is a `POST` of a [`KvRequest`] to
//! `/v1/kv`; the answer is a [`KvReply`].

use serde::{Deserialize, Serialize};

/// Path of all calls.
pub const PATH: &str = "/v1/kv";

/// A call of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum KvRequest {
    /// Reads an entry.
    Get {
        /// Key of the entry.
        key: String,
    },
    /// Writes an entry.
    Put {
        /// Key of the entry.
        key: String,
        /// Condition of the write.
        expected: Expected,
        /// New value.
        value: String,
        /// Lease that the entry belongs to.
        lease: Option<u64>,
    },
    /// Deletes an entry of a given version.
    Delete {
        /// Key of the entry.
        key: String,
        /// Version that the entry must have.
        version: u64,
    },
    /// Reads entries in key order.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the list starts.
        after: String,
        /// Largest number of entries.
        limit: u32,
    },
    /// Waits for a newer version of an entry.
    Watch {
        /// Key of the entry.
        key: String,
        /// Version that is known.
        after: u64,
        /// Longest wait, in milliseconds.
        wait_millis: u64,
    },
    /// Grants a lease.
    Grant {
        /// Life of the lease, in milliseconds.
        ttl_millis: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease.
    Revoke {
        /// The lease.
        lease: u64,
    },
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// The entry does not exist.
    Absent,
    /// The entry has this version.
    Version(u64),
}

/// An entry. Versions come from one counter for the whole service, so they never repeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value, at most 1 MB.
    pub value: String,
    /// Version of the last write.
    pub version: u64,
    /// Version of the write that created the entry.
    pub created: u64,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PutReply {
    /// The entry was written with this version.
    Stored(u64),
    /// The condition does not hold; this is the entry as it is.
    Conflict(Option<Entry>),
}

/// Answer of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KvReply {
    /// Answer to a get or a watch.
    Entry(Option<Entry>),
    /// Answer to a list.
    Entries(Vec<Entry>),
    /// Answer to a put.
    Put(PutReply),
    /// Answer to a delete or a renewal: whether it took effect.
    Done(bool),
    /// Answer to a grant: the lease.
    Lease(u64),
}
