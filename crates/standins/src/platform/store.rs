use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use clock::Timestamp;
use http::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use transport::{Body, RequestBody, json_response};

use super::Platform;

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(5);
/// Time for which a fault holds back the answer to a call.
const NO_ANSWER_DELAY: Duration = Duration::from_secs(30);

/// Items with their revisions, leases, and the history of changes for watches.
#[derive(Default)]
pub(crate) struct Store {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    history: Vec<Change>,
    revision: u64,
    /// Revision up to which the history has been discarded.
    discarded_revision: u64,
    last_lease: u64,
}

#[derive(Clone)]
struct Item {
    data: Vec<u8>,
    revision: u64,
    created: u64,
    /// Lease whose end removes the item; zero for none.
    lease: u64,
}

struct Lease {
    ttl: Duration,
    expires: Timestamp,
}

struct Change {
    key: String,
    revision: u64,
    /// The item as written; `None` if it was removed.
    item: Option<Item>,
}

impl Store {
    /// Writes an item and returns its revision.
    pub(crate) fn write(&mut self, key: &str, data: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { data, revision, created, lease };
        self.items.insert(key.into(), item.clone());
        self.history.push(Change { key: key.into(), revision, item: Some(item) });
        revision
    }

    /// Removes an item.
    pub(crate) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change { key: key.into(), revision, item: None });
        }
    }

    /// Ends expired leases and removes their items.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Discards the history of changes.
    pub(crate) fn discard_history(&mut self) {
        self.history.clear();
        self.discarded_revision = self.revision;
    }

    /// Ends a lease and removes its items. Returns whether the lease existed.
    fn end_lease(&mut self, id: u64) -> bool {
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&id).is_some()
    }

    /// Encodes the changes of keys with the prefix after a revision.
    fn changes(&self, prefix: &str, after: u64) -> Vec<Value> {
        let new = self.history.iter().filter(|change| change.revision > after);
        new.filter(|change| change.key.starts_with(prefix))
            .map(|change| match &change.item {
                Some(item) => encode(&change.key, item),
                None => json!({"key": change.key, "revision": change.revision, "deleted": true}),
            })
            .collect()
    }

    /// Carries out all writes and removals of a transaction if all of its conditions hold.
    fn transact(&mut self, transaction: &Transaction) -> (StatusCode, Value) {
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |condition: &Condition| revision_of(&condition.key) == condition.revision;
        if !transaction.expected.iter().all(holds) {
            let conditions = transaction.expected.iter();
            let entries: Vec<Value> = conditions
                .filter_map(|condition| {
                    Some(encode(&condition.key, self.items.get(&condition.key)?))
                })
                .collect();
            return (StatusCode::PRECONDITION_FAILED, json!({"entries": entries}));
        }
        for write in &transaction.write {
            if write.lease_id != 0 && !self.leases.contains_key(&write.lease_id) {
                return (StatusCode::NOT_FOUND, json!({}));
            }
        }
        for write in &transaction.write {
            let data = BASE64_STANDARD.decode(&write.data).unwrap_or_default();
            self.write(&write.key, data, write.lease_id);
        }
        for key in &transaction.remove {
            self.remove(key);
        }
        (StatusCode::OK, json!({"revision": self.revision}))
    }
}

fn encode(key: &str, item: &Item) -> Value {
    json!({"key": key, "data": BASE64_STANDARD.encode(&item.data), "revision": item.revision,
        "created": item.created, "lease_id": item.lease})
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expected: Vec<Condition>,
    #[serde(default)]
    write: Vec<Write>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct Condition {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    data: String,
    #[serde(default)]
    lease_id: u64,
}

#[derive(Deserialize)]
struct Grant {
    ttl_ms: u64,
}

/// Answers a call to the key-value service.
pub(crate) async fn answer(
    platform: &Rc<Platform>,
    request: Request<RequestBody>,
) -> Response<Body> {
    if platform.clock.now() < platform.store_down_until.get() {
        platform.clock.sleep(NO_ANSWER_DELAY).await;
    }
    let (head, body) = request.into_parts();
    let query: HashMap<String, String> = head
        .uri
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
    let path = head.uri.path().to_owned();
    let (status, value) = match (&head.method, path.as_str()) {
        (&Method::GET, "/v1/kv-key") => {
            let store = platform.store.borrow();
            match store.items.get(&parameter("key")) {
                Some(item) => {
                    let mut value = encode(&parameter("key"), item);
                    value["at"] = json!(store.revision);
                    (StatusCode::OK, value)
                }
                None => (StatusCode::NOT_FOUND, json!({"at": store.revision})),
            }
        }
        (&Method::GET, "/v1/kv-range") => {
            let store = platform.store.borrow();
            let items = store.items.iter().filter(|(key, _)| {
                key.starts_with(&parameter("path_prefix"))
                    && key.as_str() > parameter("after").as_str()
            });
            let entries: Vec<Value> = items.map(|(key, item)| encode(key, item)).collect();
            (StatusCode::OK, json!({"entries": entries, "has_more": false, "at": store.revision}))
        }
        (&Method::GET, "/v1/kv-watch") => {
            let after = parameter("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
            watch(platform, &parameter("path_prefix"), after, wait).await
        }
        (&Method::POST, "/v1/kv-txn") => match body.json::<Transaction>().await {
            Ok(transaction) => platform.store.borrow_mut().transact(&transaction),
            Err(message) => (StatusCode::BAD_REQUEST, json!({"err": message})),
        },
        (&Method::POST, "/v1/kv-lease") => match body.json::<Grant>().await {
            Ok(grant) => {
                let mut store = platform.store.borrow_mut();
                store.last_lease += 1;
                let ttl = Duration::from_millis(grant.ttl_ms);
                let (id, expires) = (store.last_lease, platform.clock.now() + ttl);
                store.leases.insert(id, Lease { ttl, expires });
                (StatusCode::OK, json!({"lease_id": id, "ttl_ms": grant.ttl_ms}))
            }
            Err(message) => (StatusCode::BAD_REQUEST, json!({"err": message})),
        },
        (&Method::POST, path) if path.starts_with("/v1/kv-keep/") => {
            let now = platform.clock.now();
            let mut store = platform.store.borrow_mut();
            match store.leases.get_mut(&last_number(path)) {
                Some(lease) => {
                    lease.expires = now + lease.ttl;
                    (StatusCode::OK, json!({"ttl_ms": lease.ttl.as_millis() as u64}))
                }
                None => (StatusCode::NOT_FOUND, json!({})),
            }
        }
        (&Method::DELETE, path) if path.starts_with("/v1/kv-lease-end/") => {
            let ended = platform.store.borrow_mut().end_lease(last_number(path));
            (if ended { StatusCode::OK } else { StatusCode::NOT_FOUND }, json!({}))
        }
        _ => (StatusCode::NOT_FOUND, json!({})),
    };
    let is_write = head.method != Method::GET;
    if is_write && platform.clock.now() < platform.answers_lost_until.get() {
        platform.clock.sleep(NO_ANSWER_DELAY).await;
    }
    json_response(status, &value)
}

/// Waits until a key with the prefix changes after the given revision, or until the time is up.
async fn watch(
    platform: &Rc<Platform>,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> (StatusCode, Value) {
    let end = platform.clock.now() + wait;
    loop {
        {
            let store = platform.store.borrow();
            if after < store.discarded_revision {
                return (StatusCode::GONE, json!({}));
            }
            let events = store.changes(prefix, after);
            if !events.is_empty() || platform.clock.now() >= end {
                return (StatusCode::OK, json!({"events": events, "at": store.revision}));
            }
        }
        platform.clock.sleep(WATCH_POLL).await;
        if platform.clock.now() < platform.store_down_until.get() {
            platform.clock.sleep(NO_ANSWER_DELAY).await;
        }
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}
