//! A worker names the rate of requests that it takes. After a quiet time, many requests come at once.

use std::{
    collections::BTreeMap,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use lab_2::{
    CONTACT, case_folder, finish, give_up, has_trouble,
    http::{self, Head},
    limit_run,
    node::Node,
    plain,
    record::Record,
    store::Store,
    worker::Worker,
};

/// Requests a second that the worker in need takes, from `NEED_FROM_S` on, to the end of the run.
const RATE: f64 = 1.0;
const NEED_FROM_S: f64 = 5.0;
/// No caller sends in this time.
const QUIET_S: (f64, f64) = (12.0, 24.0);
/// Requests that come at once after it, at each node.
const AT_ONCE: usize = 25;
const NODES: usize = 3;
const WORKERS: usize = 3;
/// Bounds of the rule: any 4 s, one and a half times the rate and five requests more, from machines
/// that had passed on such an answer half a second before.
const WINDOW_S: f64 = 4.0;
const ALLOWED: f64 = 1.5 * RATE * WINDOW_S + 5.0;
const KNOWN_FOR_S: f64 = 0.5;

fn main() {
    limit_run(Duration::from_secs(100));
    let record = Record::create(&case_folder());
    let store = Store::start();
    let routes = [plain::route("look", "idempotent", 2500, false)];
    store.write("op/config", &plain::config(7, &routes));
    // Arrivals at the worker in need: time and number of the node, which the attempt names.
    let arrivals: Arc<Mutex<Vec<(f64, usize)>>> = Arc::default();
    let begun = Arc::new(Mutex::new(f64::INFINITY));
    let first_named = Arc::new(Mutex::new(f64::INFINITY));
    for number in 0..WORKERS {
        let (arrivals, begun, named) = (arrivals.clone(), begun.clone(), first_named.clone());
        let serve = move |worker: &Worker, head: &Head, _: &[u8], stream: &mut TcpStream| {
            let id = head.get("attempt-id").unwrap_or_default().to_owned();
            let now = worker.record.now();
            worker.record.line(&format!("worker {} runs {id}", worker.id));
            if number == 0 {
                let node = id.get(..1).and_then(|digit| digit.parse().ok()).unwrap_or(0);
                arrivals.lock().unwrap().push((now, node));
            }
            thread::sleep(Duration::from_millis(60));
            let signature = format!("{}.{id}", worker.id);
            let mut headers = vec![("Attempt-Id", id.as_str()), ("Worker-Signature", &signature)];
            let in_need = now - *begun.lock().unwrap() > NEED_FROM_S;
            let rate = format!("{RATE}");
            if number == 0 && in_need && has_trouble() {
                headers.push(("Server-Limit", &rate));
                let mut first = named.lock().unwrap();
                *first = first.min(worker.record.now());
            }
            http::answer(stream, "200 OK", &headers, b"{}").is_ok()
        };
        let zone = ["maule", "nuble", "biobio"][number % 3];
        Worker::start("registry", zone, 32, &store, &record, Arc::new(serve));
    }
    let zones = ["maule", "nuble", "biobio"];
    let nodes: Vec<Node> =
        (0..NODES).map(|number| Node::start(number, zones[number], store.addr)).collect();
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(15))) {
        give_up(&record, "the nodes did not become ready");
    }
    thread::sleep(Duration::from_secs(4));
    *begun.lock().unwrap() = record.now();
    let start = record.now();
    // When each node first passed on an answer with a limit.
    let passed: Arc<Mutex<BTreeMap<usize, f64>>> = Arc::default();
    let mut count = 0;
    let mut send = |node: usize| {
        count += 1;
        let (record, passed, addr) = (record.clone(), passed.clone(), nodes[node].callers);
        let id = format!("{node}{count:015x}");
        thread::spawn(move || {
            let request = plain::head("GET", "/look/2f", &id, 2500) + "\r\n";
            record.line(&format!("caller sends {id} to node {node}"));
            let answer = http::call(addr, request.as_bytes(), Duration::from_millis(2500));
            let limit = answer.head.get("server-limit").map(str::to_owned);
            record.line(&format!(
                "caller gets {} for {id} after {} ms, limit {limit:?}",
                answer.status,
                answer.taken.as_millis()
            ));
            if limit.is_some() {
                passed.lock().unwrap().entry(node).or_insert(record.now());
            }
        })
    };
    let mut callers = Vec::new();
    let mut sent = 0;
    let mut is_burst_sent = false;
    while record.now() - start < QUIET_S.1 + 6.0 {
        let now = record.now() - start;
        let is_quiet = now > QUIET_S.0 && now < QUIET_S.1;
        if !is_quiet && sent < (now * 12.0) as usize {
            callers.push(send(sent % NODES));
            sent += 1;
        }
        if is_quiet {
            sent = (now * 12.0) as usize;
        }
        if now > QUIET_S.1 && !is_burst_sent {
            is_burst_sent = true;
            for number in 0..NODES * AT_ONCE {
                callers.push(send(number % NODES));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let passed = passed.lock().unwrap();
    let named = *first_named.lock().unwrap();
    record.say(&format!(
        "limit of {RATE} first named at {named:.1} s, passed on by {} nodes",
        passed.len()
    ));
    if has_trouble() && passed.len() < NODES {
        give_up(&record, "not all nodes have passed on an answer with a limit");
    }
    let arrivals = arrivals.lock().unwrap();
    let counted: Vec<f64> = arrivals
        .iter()
        .filter(|(at, _)| *at > named + CONTACT.as_secs_f64())
        .filter(|(at, node)| passed.get(node).is_some_and(|known| *at > known + KNOWN_FOR_S))
        .map(|(at, _)| *at)
        .collect();
    let most = counted
        .iter()
        .map(|from| {
            (counted.iter().filter(|at| **at >= *from && **at < from + WINDOW_S).count(), from)
        })
        .max_by_key(|(most, _)| *most);
    let (most, from) = most.map_or((0, 0.0), |(most, from)| (most, *from));
    record.say(&format!(
        "most requests in {WINDOW_S} s at the worker: {most}, from {from:.1} s on; allowed {ALLOWED}"
    ));
    finish(&record, most as f64 > ALLOWED)
}
