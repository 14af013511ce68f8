//! The key-value service as the other modules of the gateway use it. A connection to it that falls silent
//! shows itself to whichever call comes first; this tells all that wait on one.

use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};
use keyvalue::{
    Changes, Item, KeyValue, KvError, RevisionStore,
    api::{Entry, Expected, PutReply},
};

use crate::wakeup::Wakeup;

/// A client of the key-value service that reports calls which got no answer.
pub(crate) struct ObservedStore {
    inner: Rc<dyn RevisionStore>,
    /// Raised when a call was sent and not answered.
    unanswered: Rc<Wakeup>,
}

impl ObservedStore {
    pub(crate) fn new(inner: Rc<dyn RevisionStore>, unanswered: Rc<Wakeup>) -> ObservedStore {
        ObservedStore { inner, unanswered }
    }

    fn observe<'a, T: 'a>(
        &'a self,
        call: LocalBoxFuture<'a, Result<T, KvError>>,
    ) -> LocalBoxFuture<'a, Result<T, KvError>> {
        let observe = |result: &Result<T, KvError>| {
            if matches!(result, Err(KvError::Unknown)) {
                self.unanswered.raise();
            }
        };
        call.inspect(observe).boxed_local()
    }
}

impl KeyValue for ObservedStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        self.observe(self.inner.get(key))
    }

    fn put(
        &self,
        key: &str,
        expected: Expected,
        value: String,
        lease: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        self.observe(self.inner.put(key, expected, value, lease))
    }

    fn delete(&self, key: &str, version: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        self.observe(self.inner.delete(key, version))
    }

    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        self.observe(self.inner.list(prefix, after, limit))
    }

    fn watch(&self, key: &str, after: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        self.observe(self.inner.watch(key, after))
    }

    fn grant(&self, ttl_millis: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        self.observe(self.inner.grant(ttl_millis))
    }

    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        self.observe(self.inner.renew(lease))
    }

    fn revoke(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        self.observe(self.inner.revoke(lease))
    }
}

impl RevisionStore for ObservedStore {
    fn list_items(&self, prefix: &str) -> LocalBoxFuture<'_, Result<(Vec<Item>, u64), KvError>> {
        self.observe(self.inner.list_items(prefix))
    }

    fn changes(&self, prefix: &str, after: u64) -> LocalBoxFuture<'_, Result<Changes, KvError>> {
        self.inner.changes(prefix, after)
    }
}
