//! Client of the platform's key-value service: the messages of its HTTP API, the [`KeyValue`] trait
//! with an implementation over HTTP, and [`Lease`], which holds a lock on a key.
//!
//! Invariants: the error of a failed write says whether the write may have taken effect; a
//! [`Lease`] computes its expiry from a time before the call that granted or renewed it, so it
//! never counts as valid after the service has let it expire. This crate must not know what is
//! stored.

pub mod api;
mod client;
mod lease;

use futures_util::future::LocalBoxFuture;

pub use client::HttpKeyValue;
pub use lease::Lease;

use api::{Entry, Expected, PutReply};

/// Why a call to the key-value service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvError {
    /// The service could not be reached or refused the call. A write took no effect.
    Unavailable,
    /// The service gave no usable answer: none at all, a malformed one, or one of an unexpected
    /// kind. Reads fail with this error too; a write may have taken effect.
    Unknown,
}

impl std::fmt::Display for KvError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            KvError::Unavailable => "key-value service is unavailable",
            KvError::Unknown => "key-value service did not answer; the write may have taken effect",
        })
    }
}

impl std::error::Error for KvError {}

/// The platform's key-value service.
pub trait KeyValue {
    /// Reads the entry of `key`.
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>>;

    /// Writes `value` if the entry meets the condition `expected`. If `lease` is given, the service
    /// deletes the entry when the lease ends.
    fn put(
        &self,
        key: &str,
        expected: Expected,
        value: String,
        lease: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>>;

    /// Deletes the entry if it has the version `version`. Returns whether it was deleted.
    fn delete(&self, key: &str, version: u64) -> LocalBoxFuture<'_, Result<bool, KvError>>;

    /// Reads the entries whose keys start with `prefix` and follow the key `after`: the first
    /// `limit` of them, in key order. An implementation may return fewer, also when further entries
    /// exist.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>>;

    /// Waits until the entry of `key` has a version above `after`. If the service ends the wait
    /// before that, the result is `None` or, with some implementations, the unchanged entry. `None`
    /// can also mean that the entry was deleted.
    fn watch(&self, key: &str, after: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>>;

    /// Grants a lease and returns its identifier. The lease ends `ttl_millis` after the service has
    /// granted it or last renewed it.
    fn grant(&self, ttl_millis: u64) -> LocalBoxFuture<'_, Result<u64, KvError>>;

    /// Renews a lease. Returns `false` if it no longer exists.
    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, Result<bool, KvError>>;

    /// Ends a lease and deletes its entries.
    fn revoke(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), KvError>>;
}

/// A key and its value, or a deletion of the key, with the revision of that change. The service
/// increments one revision with each change of any key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value, or `None` if the key was deleted or the value could not be decoded.
    pub value: Option<Vec<u8>>,
    /// Revision at which the value was written or the key was deleted.
    pub revision: u64,
}

/// Reply to a request for the changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// All changes up to `revision`, in order.
    Items {
        /// The changes.
        items: Vec<Item>,
        /// Revision up to which the list is complete.
        revision: u64,
    },
    /// The service has discarded some of the changes after the requested revision, so all items
    /// have to be read again.
    HistoryGone,
}

/// A key-value service with one revision counter for all keys. All changes under a prefix can be
/// watched.
pub trait RevisionStore: KeyValue {
    /// Reads all items under `prefix`. The list includes at least all changes up to the returned
    /// revision; later changes may be missing.
    fn list_items(&self, prefix: &str) -> LocalBoxFuture<'_, Result<(Vec<Item>, u64), KvError>>;

    /// Waits for changes under `prefix` after revision `after`. If there are none for a while, the
    /// service ends the wait with an empty list.
    fn changes(&self, prefix: &str, after: u64) -> LocalBoxFuture<'_, Result<Changes, KvError>>;
}
