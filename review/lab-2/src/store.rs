//! The platform's key-value service, and the operator who writes the configuration to it.

use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Head},
    json::{Json, base64, from_base64},
};

#[derive(Clone)]
struct Item {
    data: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<(String, u64, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    revision: u64,
    last_lease: u64,
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
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&id).is_some()
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        let before = self.revision;
        for id in ended {
            self.end_lease(id);
        }
        self.revision != before
    }
}

/// The service. All machines reach it at one address.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().unwrap();
        let store = Store { state: Arc::default(), addr };
        store.state.0.lock().unwrap().revision = 100;
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
                if expiring.state.0.lock().unwrap().expire() {
                    expiring.state.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes as the operator or a worker does.
    pub fn write(&self, key: &str, value: &str) {
        self.state.0.lock().unwrap().write(key, value.as_bytes().to_vec(), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.0.lock().unwrap().remove(key);
        self.state.1.notify_all();
    }

    /// The keys with a prefix, for the record.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head, false) else { return };
            let (status, text) = self.reply(&head, &String::from_utf8_lossy(&body));
            let json = [("Content-Type", "application/json")];
            if http::answer(&mut writer, status, &json, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn reply(&self, head: &Head, body: &str) -> (&'static str, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let parameter = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('='));
            pair.clone()
                .find(|(other, _)| *other == name)
                .map_or(String::new(), |(_, v)| unescape(v))
        };
        let last: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let body = Json::parse(body).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        match (head.word(0), path) {
            ("GET", "/v1/kv-key") => match state.items.get(&parameter("key")) {
                Some(item) => ("200 OK", encode(&parameter("key"), Some(item), item.revision)),
                None => ("404 Not Found", "{}".into()),
            },
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (parameter("path_prefix"), parameter("after"));
                let found = state.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<String> =
                    found.map(|(key, item)| encode(key, Some(item), item.revision)).collect();
                let (entries, at) = (found.join(","), state.revision);
                ("200 OK", format!("{{\"entries\":[{entries}],\"has_more\":false,\"at\":{at}}}"))
            }
            ("GET", "/v1/kv-watch") => {
                let prefix = parameter("path_prefix");
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let new = state.history.iter();
                    let new = new.filter(|(key, at, _)| *at > after && key.starts_with(&prefix));
                    let new: Vec<String> =
                        new.map(|(key, at, item)| encode(key, item.as_ref(), *at)).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !new.is_empty() || left.is_zero() {
                        let (events, at) = (new.join(","), state.revision);
                        return ("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/v1/kv-txn") => {
                let list = |name: &str| body.get(name).map_or(&[][..], Json::list).to_vec();
                let field = |row: &Json, name: &str| row.get(name).cloned().unwrap_or(Json::Null);
                let holds = list("expected").iter().all(|row| {
                    let item = state.items.get(field(row, "key").text());
                    item.map_or(0, |item| item.revision) == field(row, "revision").number()
                });
                if !holds {
                    let rows = list("expected");
                    let known = rows.iter().filter_map(|row| {
                        let key = field(row, "key").text().to_owned();
                        let item = state.items.get(&key)?;
                        Some(encode(&key, Some(item), item.revision))
                    });
                    let known: Vec<String> = known.collect();
                    let text = format!("{{\"entries\":[{}]}}", known.join(","));
                    return ("412 Precondition Failed", text);
                }
                for row in list("write") {
                    let lease = field(&row, "lease_id").number();
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return ("404 Not Found", "{}".into());
                    }
                }
                for row in list("write") {
                    let lease = field(&row, "lease_id").number();
                    let data = from_base64(field(&row, "data").text());
                    state.write(field(&row, "key").text(), data, lease);
                }
                for key in list("remove") {
                    state.remove(key.text());
                }
                self.state.1.notify_all();
                ("200 OK", format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/v1/kv-lease") => {
                let ttl = body.get("ttl_ms").map_or(1000, Json::number);
                state.last_lease += 1;
                let (id, ttl_time) = (state.last_lease, Duration::from_millis(ttl));
                state.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                ("200 OK", format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                match state.leases.get_mut(&last) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let ended = state.end_lease(last);
                self.state.1.notify_all();
                (if ended { "200 OK" } else { "404 Not Found" }, "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }
}

fn encode(key: &str, item: Option<&Item>, revision: u64) -> String {
    match item {
        Some(Item { data, revision, created, lease }) => format!(
            "{{\"key\":\"{key}\",\"data\":\"{}\",\"revision\":{revision},\"created\":{created},\
             \"lease_id\":{lease}}}",
            base64(data)
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        match (first, tail) {
            (b'%', [high, low, tail @ ..]) => {
                let digits = [*high, *low];
                let digits = std::str::from_utf8(&digits).unwrap_or("3f");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                rest = tail;
            }
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
