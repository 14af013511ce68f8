//! Messages of the key-value service's HTTP API. Every call is a `POST` of a [`KvRequest`] to
//! `/v1/kv`; the reply is a [`KvReply`].

use serde::{Deserialize, Serialize};

/// HTTP path of all calls.
pub const PATH: &str = "/v1/kv";

/// A call to the service.
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
        /// Lease with which the entry ends, if any.
        lease: Option<u64>,
    },
    /// Deletes an entry if it has the given version.
    Delete {
        /// Key of the entry.
        key: String,
        /// Version that the entry must have.
        version: u64,
    },
    /// Reads the entries under a prefix, in key order.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the list starts. It is not included.
        after: String,
        /// Largest number of entries to return.
        limit: u32,
    },
    /// Waits for a newer version of an entry.
    Watch {
        /// Key of the entry.
        key: String,
        /// Version that the caller knows.
        after: u64,
        /// Longest wait, in milliseconds.
        wait_millis: u64,
    },
    /// Grants a lease.
    Grant {
        /// Time to live of the lease, in milliseconds.
        ttl_millis: u64,
    },
    /// Renews a lease.
    Renew {
        /// Identifier of the lease.
        lease: u64,
    },
    /// Ends a lease and deletes its entries.
    Revoke {
        /// Identifier of the lease.
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

/// A key and its value. The service takes the versions of all entries from one counter, so no two
/// writes have the same version.
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
    /// The entry was written and has this version now.
    Stored(u64),
    /// The condition does not hold. This is the current entry, if there is one.
    Conflict(Option<Entry>),
}

/// Reply of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KvReply {
    /// Reply to a get or a watch.
    Entry(Option<Entry>),
    /// Reply to a list.
    Entries(Vec<Entry>),
    /// Reply to a put.
    Put(PutReply),
    /// Reply to the deletion of an entry or to the renewal or revocation of a lease: whether the
    /// entry or lease existed, so that the call took effect.
    Done(bool),
    /// Reply to a grant: identifier of the lease.
    Lease(u64),
}
