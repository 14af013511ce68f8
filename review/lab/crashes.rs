//! Requests that crash the workers that run them.

use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Lab, Outcome,
    http::{Message, ask},
    world::{HOST, KEY, Node, Record, Worker, sleep, stream_head},
};

/// Time for which a machine must have run undisturbed to be in touch (`contact_ms`).
const CONTACT: Duration = Duration::from_millis(3000);
/// Time for which a crashed worker is down, in seconds.
const DOWN_S: f64 = 4.0;
/// Requests that may reach workers after the limit.
const ALLOWED: usize = 3;

/// When requests that crash workers reached one.
#[derive(Default)]
struct Arrivals(Mutex<Vec<(Duration, String)>>);

impl Arrivals {
    fn add(&self, worker: &Worker, id: &str) {
        let now = worker.record.now();
        self.0.lock().unwrap().push((now, id.to_owned()));
        worker.record.note(&format!("deadly request {id} begins to run on worker {}", worker.id()));
    }

    /// Whether at most [`ALLOWED`] requests reached workers later than [`CONTACT`] after the crash
    /// of this number. Each arrival crashes its worker.
    fn check(&self, record: &Record, limit: usize) -> bool {
        let arrivals = self.0.lock().unwrap();
        record.say(&format!("{} crashes in all", arrivals.len()));
        let Some((limit_time, _)) = arrivals.get(limit - 1) else { return true };
        let mut late: Vec<&String> = arrivals
            .iter()
            .filter(|(time, _)| *time > *limit_time + CONTACT)
            .map(|(_, id)| id)
            .collect();
        late.dedup();
        record.say(&format!(
            "crash {limit} was at {:.3} s; {} requests reached workers later than 3 s after it; {ALLOWED} are allowed",
            limit_time.as_secs_f64(),
            late.len()
        ));
        late.len() <= ALLOWED
    }
}

pub fn start_nodes(lab: &Lab, count: usize) -> Result<Vec<Arc<Node>>, String> {
    let nodes: Vec<_> = (0..count).map(|number| Arc::new(lab.node(number))).collect();
    match nodes.iter().find(|node| !node.wait_ready()) {
        Some(node) => Err(format!("node {} is not ready", node.number)),
        None => Ok(nodes),
    }
}

/// Sends a request over a connection of its own and records the answer.
fn send(
    node: &Node,
    record: &Record,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> u16 {
    let key = format!("Token {KEY}");
    let mut all = vec![("host", HOST), ("authorization", key.as_str())];
    all.extend(headers);
    let id = headers.iter().find(|(name, _)| *name == "attempt-id").map_or("", |(_, id)| id);
    record.note(&format!("request {id} is sent to node {}: {method} {path}", node.number));
    let answer = ask(node.callers, method, path, &all, body.as_bytes(), Duration::from_secs(5));
    let text = match &answer {
        Ok(answer) if answer.is_broken => format!("status {}, broken off", answer.status()),
        Ok(answer) => format!("status {}", answer.status()),
        Err(error) => format!("no answer: {error}"),
    };
    record.note(&format!("request {id}: {text}"));
    answer.map_or(0, |answer| answer.status())
}

/// How deadly prompts look, and when an engine crashes on them.
#[derive(Clone, Copy)]
pub struct Tainted {
    /// Number of shared parts of each prompt. The deadly one is the first.
    pub parts: usize,
    /// Whether the first event is out before the crash.
    pub begins: bool,
}

/// Sound requests: when each was sent, and whether its answer began.
type Drafts = Arc<Mutex<Vec<(Duration, bool)>>>;

pub fn draft(node: &Node, record: &Record, first: &str, parts: usize, number: u64) -> bool {
    let id = format!("{number:016x}");
    let shared: String = (1..parts).map(|part| format!(",5a4ed{part:03x}:40")).collect();
    let prompt = format!("{first}:40{shared},0{number:07x}:200");
    let headers = [
        ("attempt-id", id.as_str()),
        ("deadline-ms", "20000"),
        ("model", "m"),
        ("token-count", "600,20"),
        ("prefix-hash", &prompt),
    ];
    send(node, record, "POST", "/drafts/new", &headers, &format!("prompt {number}")) == 200
}

/// A part of a prompt crashes each engine that begins to write an answer on it. Requests with it
/// come once a second, no two alike, beside ten sound ones a second of the same caller, which share
/// the other parts.
pub fn tainted(lab: &Lab, tainted: Tainted) -> Outcome {
    let arrivals = Arc::new(Arrivals::default());
    let trouble = lab.trouble;
    let _workers: Vec<Arc<Worker>> = (0..8)
        .map(|number| {
            let arrivals = arrivals.clone();
            let serve = move |worker: &Arc<Worker>, request: &Message, stream: &mut TcpStream| {
                let prompt = request.header("prefix-hash").unwrap_or_default();
                let id = request.header("attempt-id").unwrap_or_default();
                if !trouble || !prompt.starts_with("dead0001:") {
                    return worker.answer_stream(request, stream);
                }
                arrivals.add(worker, id);
                thread::sleep(Duration::from_millis(20));
                if tainted.begins {
                    let data = "id: 0\ndata: token 0\n\n";
                    let text = format!("{}{:x}\r\n{data}\r\n", stream_head(id), data.len());
                    let _ = stream.write_all(text.as_bytes());
                    thread::sleep(Duration::from_millis(5));
                }
                worker.crash(DOWN_S);
                false
            };
            Worker::start(number, "drafts", &lab.store, &lab.record, Box::new(serve))
        })
        .collect();
    let nodes = start_nodes(lab, 3)?;
    sleep(5.0);
    // The engines have loaded the model once requests are answered one after the other.
    let mut answered = 0;
    for number in 0..100 {
        let node = &nodes[number as usize % 3];
        let begun = draft(node, &lab.record, "600d0001", tainted.parts, 1 + number);
        answered = if begun { answered + 1 } else { 0 };
        if answered == 12 {
            break;
        }
        sleep(0.1);
    }
    if answered < 12 {
        return Err("sound requests are not answered".into());
    }
    let ready = lab.record.now();
    let drafts = Drafts::default();
    let mut threads = Vec::new();
    for step in 0..340_u64 {
        let (node, record, drafts) =
            (nodes[(step % 3) as usize].clone(), lab.record.clone(), drafts.clone());
        threads.push(thread::spawn(move || {
            let sent = record.now();
            let begun = draft(&node, &record, "600d0001", tainted.parts, 1000 + step);
            drafts.lock().unwrap().push((sent, begun));
        }));
        if step >= 100 && step % 10 == 0 {
            let (node, record) = (nodes[(step / 10 % 3) as usize].clone(), lab.record.clone());
            threads.push(thread::spawn(move || {
                draft(&node, &record, "dead0001", tainted.parts, 10_000 + step);
            }));
        }
        sleep(0.1);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let is_budget_kept = arrivals.check(&lab.record, 5);
    let fifth = arrivals.0.lock().unwrap().get(4).map(|(time, _)| *time);
    let first = arrivals.0.lock().unwrap().first().map(|(time, _)| *time);
    let drafts = drafts.lock().unwrap();
    let share = |from: Duration, to: Duration| {
        let sent: Vec<bool> = drafts
            .iter()
            .filter(|(time, _)| (from..to).contains(time))
            .map(|(_, begun)| *begun)
            .collect();
        let begun = sent.iter().filter(|begun| **begun).count();
        lab.record.say(&format!(
            "{begun} of {} sound requests sent from {:.1} s to {:.1} s began",
            sent.len(),
            from.as_secs_f64(),
            to.as_secs_f64()
        ));
        (sent.len() >= 20).then(|| begun as f64 / sent.len() as f64)
    };
    let start = first.unwrap_or_else(|| lab.record.now());
    let before = share(ready, start);
    let end = lab.record.now();
    let during = fifth.and_then(|fifth| share(fifth + 2 * CONTACT, end));
    let are_served = match (before, during) {
        (Some(before), Some(during)) => during >= before / 2.0,
        _ => true,
    };
    lab.record.say(&format!("BUDGET held: {is_budget_kept}; beside it, LOST held: {are_served}"));
    Ok(is_budget_kept)
}

/// A request that crashes the workers that run it comes again while the nodes are restarted one
/// after the other.
pub fn roll(lab: &Lab) -> Outcome {
    let arrivals = Arc::new(Arrivals::default());
    let _workers: Vec<Arc<Worker>> = (0..4)
        .map(|number| {
            let arrivals = arrivals.clone();
            let serve = move |worker: &Arc<Worker>, request: &Message, stream: &mut TcpStream| {
                if request.word(1) != "/look/deadly" {
                    return worker.answer_plainly(request, stream);
                }
                arrivals.add(worker, request.header("attempt-id").unwrap_or_default());
                thread::sleep(Duration::from_millis(20));
                worker.crash(DOWN_S);
                false
            };
            Worker::start(number, "registry", &lab.store, &lab.record, Box::new(serve))
        })
        .collect();
    let nodes = start_nodes(lab, 6)?;
    sleep(5.0);
    let look = |node: &Node, path: &str, number: u64| {
        let id = format!("{number:016x}");
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "2500")];
        send(node, &lab.record, "GET", path, &headers, "")
    };
    if look(&nodes[0], "/look/sound-1", 1) != 200 {
        return Err("a sound request is not answered".into());
    }
    // Before the restarts, the request comes once at each node.
    for number in 0..6_u64 {
        look(&nodes[number as usize], "/look/deadly", 100 + number);
        look(&nodes[number as usize], &format!("/look/sound-{number}"), 200 + number);
        sleep(1.0);
    }
    for (number, node) in nodes.iter().enumerate() {
        if lab.trouble {
            node.restart();
            if !node.wait_ready() {
                return Err(format!("node {} is not ready again", node.number));
            }
        } else {
            sleep(4.0);
        }
        // The node is in touch 3 s after its start.
        sleep(5.0);
        for step in 0..2_u64 {
            look(node, "/look/deadly", 300 + 10 * number as u64 + step);
            look(node, &format!("/look/sound-{number}-{step}"), 400 + 10 * number as u64 + step);
            sleep(3.0);
        }
    }
    Ok(arrivals.check(&lab.record, 3))
}
