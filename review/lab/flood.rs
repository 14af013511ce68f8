//! A worker sends bytes that are no answer, without end, until the caller closes.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Lab, Outcome,
    http::ask,
    world::{HOST, KEY, Worker, sleep},
};

/// The link of a node. A machine of the site has 700 Mbit/s and 0.17 of a core. A node has a whole
/// core here, so its link is wider in the same proportion.
#[derive(Default)]
struct Link {
    /// When the bytes passed so far are through.
    free_at: Mutex<Option<Instant>>,
}

impl Link {
    const BYTES_PER_S: f64 = 700e6 / 0.17 / 8.0;

    /// Waits until `bytes` have passed.
    fn pass(&self, bytes: usize) {
        let mut free_at = self.free_at.lock().unwrap();
        let start = free_at.unwrap_or_else(Instant::now).max(Instant::now());
        let end = start + Duration::from_secs_f64(bytes as f64 / Self::BYTES_PER_S);
        *free_at = Some(end);
        drop(free_at);
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
}

pub fn run(lab: &Lab) -> Outcome {
    let floods = Arc::new(AtomicBool::new(false));
    let links: Arc<[Link; 3]> = Arc::default();
    let workers: Vec<Arc<Worker>> = (0..3)
        .map(|number| {
            let (floods, links) = (floods.clone(), links.clone());
            let serve = move |worker: &Arc<Worker>,
                              request: &crate::http::Message,
                              stream: &mut std::net::TcpStream| {
                if number != 0 || !floods.load(Ordering::SeqCst) {
                    return worker.answer_plainly(request, stream);
                }
                let id = request.header("attempt-id").unwrap_or_default();
                worker.record.note(&format!("worker 0 floods the connection of {id}"));
                // FLOOD=size: in a body, where the size of a chunk is due. Otherwise: in a head, which
                // never comes to an answer.
                let is_in_body = std::env::var("FLOOD").is_ok_and(|kind| kind == "size");
                let (head, unit): (String, &[u8]) = if is_in_body {
                    (crate::world::stream_head(id), b"0")
                } else {
                    (String::new(), b"HTTP/1.1 100 Continue\r\n\r\n")
                };
                let _ = stream.write_all(head.as_bytes());
                let bytes = unit.repeat((64 << 10) / unit.len());
                // The first digit of the identifier is the number of the node.
                let link = &links[id[..1].parse::<usize>().unwrap_or_default()];
                let mut sent = 0_u64;
                while stream.write_all(&bytes).is_ok() {
                    sent += bytes.len() as u64;
                    link.pass(bytes.len());
                }
                worker
                    .record
                    .note(&format!("the caller closes the connection of {id} after {sent} bytes"));
                false
            };
            Worker::start(number, "registry", &lab.store, &lab.record, Box::new(serve))
        })
        .collect();
    let nodes: Vec<_> = (0..3).map(|number| Arc::new(lab.node(number))).collect();
    for node in &nodes {
        if !node.wait_ready() {
            return Err(format!("node {} is not ready", node.number));
        }
    }
    sleep(4.0);
    if lab.trouble {
        floods.store(true, Ordering::SeqCst);
        lab.record.say("worker 0 sends bytes without end from now on");
    }
    let late = Arc::new(Mutex::new((0, 0, 0)));
    let next = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..90)
        .map(|turn| {
            let (node, record) = (nodes[turn % 3].clone(), lab.record.clone());
            let (late, next) = (late.clone(), next.clone());
            thread::spawn(move || {
                sleep(turn as f64 * 0.1);
                let id = format!("{}{:015x}", node.number, next.fetch_add(1, Ordering::SeqCst) + 1);
                let headers = [
                    ("host", HOST),
                    ("attempt-id", &id),
                    ("deadline-ms", "2500"),
                    ("authorization", &format!("Token {KEY}")),
                ];
                let start = record.now();
                let answer = ask(
                    node.callers,
                    "GET",
                    &format!("/look/{id}"),
                    &headers,
                    b"",
                    Duration::from_millis(2500),
                );
                let took = (record.now() - start).as_millis();
                let status = answer.map_or(0, |answer| answer.status());
                record.note(&format!(
                    "request {id} to node {}: status {status} after {took} ms",
                    node.number
                ));
                let mut late = late.lock().unwrap();
                late.0 += 1;
                late.1 += u32::from(took >= 1200);
                late.2 += u32::from(took >= 1700);
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    for node in &nodes {
        lab.record.say(&format!("node {} is ready: {}", node.number, node.is_ready()));
    }
    let (all, at_timeout, later) = *late.lock().unwrap();
    lab.record.say(&format!(
        "{all} requests, {at_timeout} without an answer at the timeout, {later} half a second later"
    ));
    drop(workers);
    Ok(!(later >= 8 && later * 2 > at_timeout))
}
