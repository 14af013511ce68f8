//! An in-memory key-value service.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::Duration,
};

use futures_util::{FutureExt, future::LocalBoxFuture};
use keyvalue::{
    Changes, Item, KeyValue, KvError, RevisionStore,
    api::{Entry, Expected, PutReply},
};

use super::ready;

/// An in-memory key-value service. It implements only what the gateway uses.
#[derive(Default)]
pub struct MemoryStore {
    pub items: RefCell<BTreeMap<String, Item>>,
    pub revision: Cell<u64>,
    /// Whether calls fail as unavailable.
    pub is_down: Cell<bool>,
    /// Whether watches that wait now stay unanswered for good.
    pub is_silent: Cell<bool>,
    /// The lease whose renewals are not answered.
    pub silent_lease: Cell<Option<u64>>,
    /// Whether the next watch fails because the history is gone.
    pub history_gone: Cell<bool>,
    pub leases: Cell<u64>,
}

impl MemoryStore {
    /// Writes a value, or deletes the key if `value` is `None`. Returns the new revision.
    pub fn write(&self, key: &str, value: Option<&str>) -> u64 {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let value = value.map(|value| value.as_bytes().to_vec());
        let item = Item { key: key.into(), value, revision };
        self.items.borrow_mut().insert(key.into(), item);
        revision
    }

    fn check_available(&self) -> Result<(), KvError> {
        if self.is_down.get() { Err(KvError::Unavailable) } else { Ok(()) }
    }
}

impl KeyValue for MemoryStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        let item = self.items.borrow().get(key).cloned();
        let entry = item.and_then(|item| {
            let value = String::from_utf8(item.value?).ok()?;
            Some(Entry { key: item.key, value, version: item.revision, created: item.revision })
        });
        ready(self.check_available().map(|()| entry))
    }

    fn put(
        &self,
        key: &str,
        expected: Expected,
        value: String,
        _: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        let current = self.items.borrow().get(key).cloned().filter(|item| item.value.is_some());
        let version_matches = match expected {
            Expected::Absent => current.is_none(),
            Expected::Version(version) => current.is_some_and(|item| item.revision == version),
        };
        let reply = if version_matches {
            PutReply::Stored(self.write(key, Some(&value)))
        } else {
            PutReply::Conflict(None)
        };
        ready(self.check_available().map(|()| reply))
    }

    fn delete(&self, key: &str, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        self.write(key, None);
        ready(self.check_available().map(|()| true))
    }

    fn list(&self, _: &str, _: &str, _: u32) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        ready(self.check_available().map(|()| Vec::new()))
    }

    fn watch(&self, key: &str, _: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        self.get(key)
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        self.leases.set(self.leases.get() + 1);
        ready(self.check_available().map(|()| self.leases.get()))
    }

    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        if self.silent_lease.get() == Some(lease) {
            return ready(Err(KvError::Unknown));
        }
        ready(self.check_available().map(|()| true))
    }

    fn revoke(&self, _: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        ready(self.check_available())
    }
}

impl RevisionStore for MemoryStore {
    fn list_items(&self, prefix: &str) -> LocalBoxFuture<'_, Result<(Vec<Item>, u64), KvError>> {
        let items = self.items.borrow();
        let live = items.values().filter(|item| item.value.is_some());
        let found = live.filter(|item| item.key.starts_with(prefix)).cloned().collect();
        ready(self.check_available().map(|()| (found, self.revision.get())))
    }

    fn changes(&self, prefix: &str, after: u64) -> LocalBoxFuture<'_, Result<Changes, KvError>> {
        let prefix = prefix.to_owned();
        async move {
            loop {
                self.check_available()?;
                if self.is_silent.get() {
                    std::future::pending::<()>().await;
                }
                if self.history_gone.replace(false) {
                    return Ok(Changes::HistoryGone);
                }
                let items: Vec<Item> = self
                    .items
                    .borrow()
                    .values()
                    .filter(|item| item.revision > after && item.key.starts_with(&prefix))
                    .cloned()
                    .collect();
                if !items.is_empty() {
                    return Ok(Changes::Items { items, revision: self.revision.get() });
                }
                compio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        .boxed_local()
    }
}
