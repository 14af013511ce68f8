//! Metrics of the calls to the key-value service.

use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};
use keyvalue::{
    KeyValue, KvError,
    api::{Entry, Expected, PutReply},
};
use prometheus::IntCounterVec;

/// Wraps a client of the key-value service and counts its calls by kind and outcome.
pub(crate) struct MeteredKeyValue {
    inner: Rc<dyn KeyValue>,
    calls: IntCounterVec,
}

impl MeteredKeyValue {
    /// Wraps `inner` and counts its calls in the metric `calls`.
    pub(crate) fn new(inner: Rc<dyn KeyValue>, calls: IntCounterVec) -> MeteredKeyValue {
        MeteredKeyValue { inner, calls }
    }

    fn count<'a, T: 'a>(
        &'a self,
        call: &'static str,
        future: LocalBoxFuture<'a, Result<T, KvError>>,
    ) -> LocalBoxFuture<'a, Result<T, KvError>> {
        async move {
            let result = future.await;
            let outcome = match &result {
                Ok(_) => "answered",
                Err(KvError::Unavailable) => "unavailable",
                Err(KvError::Unknown) => "unknown",
            };
            self.calls.with_label_values(&[call, outcome]).inc();
            result
        }
        .boxed_local()
    }
}

impl KeyValue for MeteredKeyValue {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        self.count("get", self.inner.get(key))
    }

    fn put(
        &self,
        key: &str,
        expected: Expected,
        value: String,
        lease: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        self.count("put", self.inner.put(key, expected, value, lease))
    }

    fn delete(&self, key: &str, version: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        self.count("delete", self.inner.delete(key, version))
    }

    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        self.count("list", self.inner.list(prefix, after, limit))
    }

    fn watch(&self, key: &str, after: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        self.count("watch", self.inner.watch(key, after))
    }

    fn grant(&self, ttl_millis: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        self.count("grant", self.inner.grant(ttl_millis))
    }

    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        self.count("renew", self.inner.renew(lease))
    }

    fn revoke(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        self.count("revoke", self.inner.revoke(lease))
    }
}
