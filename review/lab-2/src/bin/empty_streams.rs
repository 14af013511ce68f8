//! Workers are killed while they write streams that end with their connection. A caller must not get
//! a stream that looks complete and has no event.

use std::{
    env,
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use lab_2::{
    case_folder, drafts, finish, give_up, has_trouble, limit_run, node, node::Node, record::Record,
    store::Store,
};

const WORKERS: usize = 6;
const CALLERS: usize = 66;
/// One worker of six is killed at these times, in seconds of the traffic, and is back after `DOWN`.
const KILLS_S: [f64; 3] = [5.0, 11.0, 17.0];
const DOWN: Duration = Duration::from_millis(3400);
const LENGTH_S: f64 = 22.0;
/// Number of the last event of each stream.
const LAST: &str = "id: 8\n";

static BOOTS: AtomicU64 = AtomicU64::new(1);

struct Process {
    id: String,
    child: Child,
}

/// Starts a worker process and registers it.
fn start_worker(number: usize, store: &Store, record: &Record) -> Process {
    let id = format!("i-{:08x}", 0x5a00_0000 + BOOTS.fetch_add(1, Ordering::Relaxed));
    let program = env::current_exe().unwrap().with_file_name("stream_worker");
    let mut child = Command::new(program)
        .arg(&id)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the worker can be started");
    let mut address = String::new();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    output.read_line(&mut address).expect("the worker prints its address");
    let zone = ["maule", "nuble", "biobio"][number % 3];
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let value = format!(
        "{{\"backend\":\"drafts\",\"address\":\"{}\",\"az\":\"{zone}\",\"version\":\"v1\",\
         \"capacity\":32,\"phase\":\"up\",\"cold_left_ms\":0,\"born\":{born},\"sequence\":1}}",
        address.trim()
    );
    store.write(&format!("servers/{id}"), &value);
    record.line(&format!("worker {id} runs as process {} at {}", child.id(), address.trim()));
    Process { id, child }
}

fn main() {
    limit_run(Duration::from_secs(90));
    let record = Record::create(&case_folder());
    let store = Store::start();
    store.write("op/config", &drafts::config(1));
    let mut workers: Vec<Process> =
        (0..WORKERS).map(|number| start_worker(number, &store, &record)).collect();
    let zones = ["maule", "nuble", "biobio"];
    let nodes: Vec<Node> =
        (0..3).map(|number| Node::start(number, zones[number], store.addr)).collect();
    let is_ready = nodes.iter().all(|node| node.wait_ready(Duration::from_secs(15)));
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let begun = Instant::now();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (record, stop, attempts) = (record.clone(), stop.clone(), attempts.clone());
        let addr = nodes[caller % nodes.len()].callers;
        callers.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(caller as u64 * 29));
            // Pauses of different lengths, so that the callers do not begin their streams together.
            for count in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let attempt = drafts::send(&record, addr, 0, &["c0c0c0c0c0c0c0c0"]);
                attempts.lock().unwrap().push(attempt);
                thread::sleep(Duration::from_millis((caller as u64 * 7919 + count * 4801) % 397));
            }
        }));
    }
    let mut back: Vec<(Instant, usize)> = Vec::new();
    let mut kills = 0;
    while begun.elapsed().as_secs_f64() < LENGTH_S {
        let now = begun.elapsed().as_secs_f64();
        if has_trouble() && KILLS_S.get(kills).is_some_and(|at| now >= *at) {
            let number = kills % WORKERS;
            let worker = &mut workers[number];
            record.say(&format!("worker {} is killed", worker.id));
            let _ = worker.child.kill();
            let _ = worker.child.wait();
            back.push((Instant::now() + DOWN, number));
            kills += 1;
        }
        if let Some(place) = back.iter().position(|(at, _)| Instant::now() >= *at) {
            let (_, number) = back.remove(place);
            store.remove(&format!("servers/{}", workers[number].id));
            workers[number] = start_worker(number, &store, &record);
        }
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for worker in &mut workers {
        let _ = worker.child.kill();
        let _ = worker.child.wait();
    }
    if !is_ready {
        give_up(&record, "the nodes did not become ready");
    }
    if nodes.iter().any(|one| node::has_ended(one.pid)) {
        record.say("a node has ended");
        finish(&record, true);
    }
    let attempts = attempts.lock().unwrap();
    let complete = attempts.iter().filter(|one| one.answer.status == 200 && one.answer.complete);
    let text = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
    let whole = complete.clone().filter(|one| text(&one.answer.body).contains(LAST)).count();
    let cut = complete
        .clone()
        .filter(|one| !one.answer.body.is_empty() && !text(&one.answer.body).contains(LAST));
    let empty: Vec<_> = complete.clone().filter(|one| one.answer.body.is_empty()).collect();
    for one in &empty {
        record.line(&format!("{} got status 200 and a complete stream without an event", one.id));
    }
    record.say(&format!(
        "{} streams, {whole} whole, {} complete without an event, {} complete without the last event",
        attempts.len(),
        empty.len(),
        cut.count()
    ));
    if whole == 0 {
        give_up(&record, "no stream was served");
    }
    finish(&record, !empty.is_empty())
}
