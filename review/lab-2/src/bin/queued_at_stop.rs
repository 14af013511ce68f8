//! Filings wait in a node for a place at their worker when the node gets SIGTERM. Each must be
//! answered, or run to its end.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use lab_2::{
    case_folder, finish, give_up, has_trouble,
    http::{self, Answer},
    limit_run,
    node::Node,
    plain,
    record::Record,
    store::Store,
};

/// Time that a filing takes at its worker, which runs six at once.
const WORK: Duration = Duration::from_millis(1100);
/// Filings that come within a second.
const FILINGS: usize = 64;
/// Time budget of a filing, which is also the time-out of its route.
const BUDGET_MS: u64 = 15_000;
/// Bounds of the pages.
const GRACE_S: f64 = 8.0;
const LOSS_SLACK_S: f64 = 0.2;

fn main() {
    limit_run(Duration::from_secs(60));
    let record = Record::create(&case_folder());
    let store = Store::start();
    let routes = [plain::route("file", "mutating", BUDGET_MS, false)];
    store.write("op/config", &plain::config(7, &routes));
    let runs = plain::start_workers(1, 6, WORK, &store, &record);
    let node = Node::start(0, "maule", store.addr);
    if !node.wait_ready(Duration::from_secs(15)) {
        give_up(&record, "the node did not become ready");
    }
    thread::sleep(Duration::from_secs(3));
    let addr = node.callers;
    let answers: Arc<Mutex<BTreeMap<String, (f64, f64, Answer)>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..FILINGS {
        let (record, answers) = (record.clone(), answers.clone());
        callers.push(thread::spawn(move || {
            let id = format!("f111{number:012x}");
            let body = format!("filing {number}");
            let request = plain::head("POST", "/file/2f", &id, BUDGET_MS)
                + &format!("Content-Length: {}\r\n\r\n{body}", body.len());
            let sent = record.now();
            record.line(&format!("caller sends filing {id}"));
            let limit = Duration::from_millis(BUDGET_MS);
            let answer = http::call(addr, request.as_bytes(), limit);
            record.line(&format!(
                "caller gets {} for {id} after {} ms, complete {}, {}",
                answer.status,
                answer.taken.as_millis(),
                answer.complete,
                answer.error
            ));
            let ended = record.now();
            answers.lock().unwrap().insert(id, (sent, ended, answer));
        }));
        thread::sleep(Duration::from_millis(15));
    }
    // What the node itself says about them.
    let request = http::request("GET", "/metrics", &[("Host", "node")], b"");
    let metrics = http::call(node.health, &request, Duration::from_secs(1)).body;
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    let waiting = metrics.lines().find(|line| line.starts_with("gypsumrack_waiting "));
    record.say(&format!("the node has read them: {}", waiting.unwrap_or("no metric")));
    let stopped = record.now();
    if has_trouble() {
        record.say("the node gets SIGTERM");
        node.signal("TERM");
    }
    for caller in callers {
        let _ = caller.join();
    }
    let runs = runs.lock().unwrap();
    let answers = answers.lock().unwrap();
    let (mut served, mut refused, mut excused) = (0, 0, 0);
    let mut lost = Vec::new();
    for (id, (sent, ended, answer)) in answers.iter() {
        let run = runs.get(id).and_then(|times| times.first()).copied();
        match (answer.status, answer.complete) {
            (200, true) => served += 1,
            (status, true) if status > 0 => refused += 1,
            _ => {
                // Still at work in the last sixth of the grace period, on a request that was sent
                // in time: not counted.
                let last_sixth = stopped + GRACE_S * 5.0 / 6.0;
                let at_work = run.is_some_and(|run| run + WORK.as_secs_f64() > last_sixth);
                let over = *ended - *sent >= BUDGET_MS as f64 / 1000.0 - 0.05;
                if at_work || over || *ended - *sent < LOSS_SLACK_S {
                    excused += 1;
                } else {
                    lost.push((id.clone(), *ended - *sent, run.is_some()));
                }
            }
        }
    }
    record.say(&format!(
        "{FILINGS} filings: {served} served, {refused} answered otherwise, {excused} cut and not \
         counted, {} cut without an answer",
        lost.len()
    ));
    for (id, after, has_run) in &lost {
        record.line(&format!("lost: {id}, cut {after:.3} s after it was sent, has run: {has_run}"));
    }
    if served == 0 {
        give_up(&record, "no filing was served");
    }
    finish(&record, !lost.is_empty())
}
