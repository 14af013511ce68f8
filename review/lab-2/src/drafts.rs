//! A service that writes drafts as streams, some of whose prompts crash its workers, and its callers.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Answer, Head},
    record::Record,
    store::Store,
    worker::Worker,
};

pub const HOST: &str = "drafts.example";

/// Part of the prompts that crashes the workers.
pub const DEADLY: &str = "dead0000dead0000";

/// Time to the first event of a stream, and from each event to the next one.
const FIRST_EVENT: Duration = Duration::from_millis(60);
const GAP: Duration = Duration::from_millis(40);
const EVENTS: u32 = 5;

/// Name and key of a tenant.
pub fn tenant(number: usize) -> (String, String) {
    (format!("tenant{number}"), format!("key{number}"))
}

/// The configuration: one route to the service for all tenants.
pub fn config(tenants: usize) -> String {
    let tenants: Vec<String> = (0..tenants)
        .map(|number| {
            let (name, key) = tenant(number);
            format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1}}")
        })
        .collect();
    format!(
        "{{\"version\":7,\"http_routes\":[{{\"name\":\"r-drafts\",\"hostname\":\"{HOST}\",\
         \"path_prefix\":\"/drafts/\",\"route_kind\":\"sse\",\"timeout_ms\":20000,\"goal_ms\":500,\
         \"priority\":1,\"backend\":\"drafts\",\"max_attempts\":2,\"public\":false,\
         \"session_affinity\":true,\"stream_resume\":true,\"itl_target_ms\":200}}],\
         \"backends\":[{{\"name\":\"drafts\",\"health_path\":\"/healthz\",\"max_conns\":2444,\
         \"protocol\":\"h1\",\"tls_enabled\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenant_list\":[{}]}}",
        tenants.join(",")
    )
}

/// What the workers have seen.
#[derive(Default)]
pub struct Seen {
    /// Times at which workers have crashed, in seconds since the start.
    pub crashes: Mutex<Vec<f64>>,
    /// Requests with the deadly part that have reached a worker, by attempt, with the times.
    pub deadly: Mutex<BTreeMap<String, Vec<f64>>>,
}

/// Starts the workers of the service, in turn in three zones.
pub fn start_workers(count: usize, store: &Store, record: &Record) -> Arc<Seen> {
    let seen = Arc::new(Seen::default());
    for number in 0..count {
        let zone = ["maule", "nuble", "biobio"][number % 3];
        let seen = seen.clone();
        let serve = move |worker: &Worker, head: &Head, _: &[u8], stream: &mut TcpStream| {
            serve(&seen, worker, head, stream)
        };
        Worker::start("drafts", zone, 32, store, record, Arc::new(serve));
    }
    seen
}

/// Writes a stream, or crashes with the first event of one whose prompt has the deadly part.
fn serve(seen: &Seen, worker: &Worker, head: &Head, stream: &mut TcpStream) -> bool {
    let id = head.get("attempt-id").unwrap_or_default().to_owned();
    let record = &worker.record;
    let parts = head.get("prefix-hash").unwrap_or_default();
    let is_deadly = parts.contains(DEADLY);
    record.line(&format!("worker {} gets {id} with parts {parts}", worker.id));
    if is_deadly {
        seen.deadly.lock().unwrap().entry(id.clone()).or_default().push(record.now());
    }
    thread::sleep(FIRST_EVENT);
    if is_deadly {
        seen.crashes.lock().unwrap().push(record.now());
        worker.crash();
        return false;
    }
    let first: u32 = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Attempt-Id: {id}\r\nWorker-Signature: {}.{id}\r\nWeight-Versions: 1\r\n\r\n",
        worker.id
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return false;
    }
    for number in first + 1..=EVENTS {
        let event = format!("id: {number}\ndata: word\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(GAP);
    }
    record.line(&format!("worker {} has answered {id}", worker.id));
    stream.write_all(b"0\r\n\r\n").is_ok()
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// One attempt of a caller: its prompt's parts, and how it ended.
pub struct Attempt {
    pub id: String,
    pub sent: f64,
    pub answer: Answer,
}

impl Attempt {
    /// Whether the answer has begun.
    pub fn has_begun(&self) -> bool {
        self.answer.status == 200 && !self.answer.body.is_empty()
    }
}

/// Sends one request of a tenant. `shared` are the parts of the prompt but the last one, which is the
/// request's own.
pub fn send(record: &Record, node: SocketAddr, number: usize, shared: &[&str]) -> Attempt {
    let count = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let id = format!("{count:016x}");
    let mut parts: Vec<String> = shared.iter().map(|part| format!("{part}:200")).collect();
    parts.push(format!("{:016x}:400", 0xffff_0000 + count));
    let (_, key) = tenant(number);
    let authorization = format!("Token {key}");
    let counts = format!("{},80", 200 * shared.len() + 400);
    let prefix = parts.join(",");
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Count", counts.as_str()),
        ("Prefix-Hash", prefix.as_str()),
        ("Deadline-Ms", "20000"),
        ("Authorization", authorization.as_str()),
    ];
    let body = format!("prompt {count}");
    let sent = record.now();
    record.line(&format!("tenant {number} sends {id} with parts {prefix} to {node}"));
    let request = http::request("POST", "/drafts/2f", &headers, body.as_bytes());
    let answer = http::call(node, &request, Duration::from_secs(20));
    record.line(&format!(
        "tenant {number} gets {} for {id} after {} ms, {} bytes, complete {}, {:?}",
        answer.status,
        answer.taken.as_millis(),
        answer.body.len(),
        answer.complete,
        if answer.status == 200 {
            answer.error.clone()
        } else {
            String::from_utf8_lossy(&answer.body).trim().to_owned() + &answer.error
        }
    ));
    Attempt { id, sent, answer }
}
