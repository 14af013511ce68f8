//! Stand-in of the platform's store: items, leases, transactions and watches over HTTP.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_request, response},
    json::{Json, decode_base64, encode_base64},
};

#[derive(Clone)]
struct Item {
    data: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    /// Changes: key, revision, and the item unless it was removed.
    history: Vec<(String, u64, Option<Item>)>,
    revision: u64,
    last_lease: u64,
}

/// The store. It answers until the process ends.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn write(&mut self, key: &str, data: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { data, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((key.to_owned(), revision, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&id).is_some()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"data\":\"{}\",\"revision\":{},\"created\":{},\"lease_id\":{}}}",
        encode_base64(&item.data),
        item.revision,
        item.created,
        item.lease
    )
}

fn query(path: &str) -> HashMap<String, String> {
    let pairs = path.split_once('?').map_or("", |(_, query)| query).split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store::default());
        let listener = TcpListener::bind(addr).expect("store can listen");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.state.lock().unwrap().expire();
                expiring.changed.notify_all();
            }
        });
        store
    }

    pub fn write(&self, key: &str, data: String) {
        self.state.lock().unwrap().write(key, data.into_bytes(), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("content-type", "application/json")];
            if stream.write_all(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (method, target) = (request.word(0), request.word(1));
        let path = target.split('?').next().unwrap_or_default();
        let query = query(target);
        let parameter = |name: &str| query.get(name).map_or("", |value| value.as_str());
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let last = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0_u64);
        if path == "/v1/kv-watch" {
            return self.watch(&query);
        }
        let mut state = self.state.lock().unwrap();
        state.expire();
        let answer = match (method, path) {
            ("GET", "/v1/kv-key") => match state.items.get(parameter("key")) {
                Some(item) => (200, encode(parameter("key"), item)),
                None => (404, format!("{{\"at\":{}}}", state.revision)),
            },
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (parameter("path_prefix"), parameter("after"));
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let entries: Vec<String> = items.map(|(key, item)| encode(key, item)).collect();
                let entries = entries.join(",");
                (
                    200,
                    format!(
                        "{{\"entries\":[{entries}],\"has_more\":false,\"at\":{}}}",
                        state.revision
                    ),
                )
            }
            ("POST", "/v1/kv-txn") => transact(&mut state, &body),
            ("POST", "/v1/kv-lease") => {
                state.last_lease += 1;
                let (id, ttl_ms) = (state.last_lease, body.get("ttl_ms").number());
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(id, Lease { ttl, expires: Instant::now() + ttl });
                (200, format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", _) if path.starts_with("/v1/kv-keep/") => match state.leases.get_mut(&last) {
                Some(lease) => {
                    lease.expires = Instant::now() + lease.ttl;
                    (200, "{}".into())
                }
                None => (404, "{}".into()),
            },
            ("DELETE", _) if path.starts_with("/v1/kv-lease-end/") => {
                (if state.end_lease(last) { 200 } else { 404 }, "{}".into())
            }
            _ => (404, "{}".into()),
        };
        drop(state);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, query: &HashMap<String, String>) -> (u16, String) {
        let number =
            |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
        let prefix = query.get("path_prefix").map_or("", |value| value.as_str());
        let end = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state.history.iter().filter(|(key, revision, _)| {
                *revision > number("after") && key.starts_with(prefix)
            });
            let events: Vec<String> = new
                .map(|(key, revision, item)| match item {
                    Some(item) => encode(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn transact(state: &mut State, body: &Json) -> (u16, String) {
    let conditions = body.get("expected").list();
    let holds = |condition: &Json| {
        let known = state.items.get(condition.get("key").text()).map_or(0, |item| item.revision);
        known == condition.get("revision").number()
    };
    if !conditions.iter().all(holds) {
        let entries: Vec<String> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition.get("key").text();
                Some(encode(key, state.items.get(key)?))
            })
            .collect();
        return (412, format!("{{\"entries\":[{}]}}", entries.join(",")));
    }
    let writes = body.get("write").list();
    let lacks_lease = |write: &Json| {
        let lease = write.get("lease_id").number();
        lease != 0 && !state.leases.contains_key(&lease)
    };
    if writes.iter().any(lacks_lease) {
        return (404, "{}".into());
    }
    for write in writes {
        let data = decode_base64(write.get("data").text());
        state.write(write.get("key").text(), data, write.get("lease_id").number());
    }
    for key in body.get("remove").list() {
        state.remove(key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}
