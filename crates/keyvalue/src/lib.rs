//! The peer crate for the platform's key-value service: its HTTP API, a client behind the
//! [`KeyValue`] trait, and a lease holder.
//!
//! Invariants: a failed write says whether it may have taken effect; a [`Lease`] counts its life
//! from before the request that granted or renewed it, so it never believes in more time than the
//! service has given. This crate must not know what is stored.

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
    /// The call did not reach the service or was refused; a write took no effect.
    Unavailable,
    /// No answer came; a write may have taken effect.
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

    /// Writes `value` if the entry is as `expected`. With a lease, the entry ends with the lease.
    fn put(
        &self,
        key: &str,
        expected: Expected,
        value: String,
        lease: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>>;

    /// Deletes the entry if it has the version `version`. Returns whether it was deleted.
    fn delete(&self, key: &str, version: u64) -> LocalBoxFuture<'_, Result<bool, KvError>>;

    /// Reads the entries whose keys start with `prefix`, at most `limit`, after key `after`.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>>;

    /// Waits until the entry of `key` has a version above `after`, or until the service ends the
    /// wait with `None`.
    fn watch(&self, key: &str, after: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>>;

    /// Grants a lease that ends `ttl_millis` after the service has granted or renewed it.
    fn grant(&self, ttl_millis: u64) -> LocalBoxFuture<'_, Result<u64, KvError>>;

    /// Renews a lease. Returns whether it still existed.
    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, Result<bool, KvError>>;

    /// Ends a lease and deletes its entries.
    fn revoke(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), KvError>>;
}

/// An item as it was read or written at a revision. The service counts one revision for all keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; `None` means that the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the write or of the deletion.
    pub revision: u64,
}

/// What changed after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// All changes up to `revision`, in order.
    Items {
        /// The changes.
        items: Vec<Item>,
        /// Revision up to which the list is complete.
        revision: u64,
    },
    /// The service no longer has the history after the given revision.
    HistoryGone,
}

/// A key-value service with one revision counter, whose prefixes can be listed and watched.
pub trait RevisionStore: KeyValue {
    /// Reads all items under `prefix` and the lowest revision that the answer holds for.
    fn list_items(&self, prefix: &str) -> LocalBoxFuture<'_, Result<(Vec<Item>, u64), KvError>>;

    /// Waits for changes under `prefix` after revision `after`. The service ends the wait without
    /// any after a while.
    fn changes(&self, prefix: &str, after: u64) -> LocalBoxFuture<'_, Result<Changes, KvError>>;
}
