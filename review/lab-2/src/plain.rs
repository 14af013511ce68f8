//! A plain service, whose requests are answered whole, with routes of several kinds.

use std::{
    collections::BTreeMap,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Head},
    record::Record,
    store::Store,
    worker::Worker,
};

pub const HOST: &str = "registry.example";
pub const KEY: &str = "key0";

/// A route to the service. `kind` is the platform's. A public one needs no key.
pub fn route(name: &str, kind: &str, timeout_ms: u64, public: bool) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
         \"route_kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"goal_ms\":500,\"priority\":1,\
         \"backend\":\"registry\",\"max_attempts\":2,\"public\":{public}}}"
    )
}

/// A configuration with these routes, for one tenant.
pub fn config(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"http_routes\":[{}],\
         \"backends\":[{{\"name\":\"registry\",\"health_path\":\"/healthz\",\"max_conns\":2444,\
         \"protocol\":\"h1\",\"tls_enabled\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenant_list\":[{{\"name\":\"tenant0\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Times at which requests have begun to run, by attempt, in seconds since the start.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<f64>>>>;

/// Starts workers that answer each request after `work`.
pub fn start_workers(
    count: usize,
    capacity: u32,
    work: Duration,
    store: &Store,
    record: &Record,
) -> Runs {
    let runs = Runs::default();
    for number in 0..count {
        let zone = ["maule", "nuble", "biobio"][number % 3];
        let runs = runs.clone();
        let serve = move |worker: &Worker, head: &Head, body: &[u8], stream: &mut TcpStream| {
            let id = head.get("attempt-id").unwrap_or_default().to_owned();
            let record = &worker.record;
            record.line(&format!("worker {} runs {id}, body of {} bytes", worker.id, body.len()));
            runs.lock().unwrap().entry(id.clone()).or_default().push(record.now());
            thread::sleep(work);
            let signature = format!("{}.{id}", worker.id);
            let headers = [("Attempt-Id", id.as_str()), ("Worker-Signature", signature.as_str())];
            let written = http::answer(stream, "200 OK", &headers, b"{\"done\":true}");
            record.line(&format!("worker {} has answered {id}: {written:?}", worker.id));
            written.is_ok()
        };
        Worker::start("registry", zone, capacity, store, record, Arc::new(serve));
    }
    runs
}

/// The head of a request without the headers that say how long its body is.
pub fn head(method: &str, target: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n"
    )
}
