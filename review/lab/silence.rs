//! Open connections to the store go silent for good, without a reset, while new ones work.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Lab, Outcome,
    http::ask,
    world::{HOST, KEY, Worker, configure_keys, free_addr, sleep},
};

/// Time within which a version must be in force (`config_apply_ms`).
const CONFIG_APPLY: Duration = Duration::from_millis(2000);

/// A proxy before the store. Connections of an earlier generation pass no more bytes.
struct Proxy {
    addr: SocketAddr,
    generation: AtomicU64,
}

impl Proxy {
    fn start(target: SocketAddr) -> Arc<Proxy> {
        let proxy = Arc::new(Proxy { addr: free_addr(), generation: AtomicU64::new(0) });
        let listener = TcpListener::bind(proxy.addr).expect("proxy can listen");
        let accepting = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(callee) = TcpStream::connect(target) else { continue };
                let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
                let generation = accepting.generation.load(Ordering::SeqCst);
                for (from, to) in [(&caller, &callee), (&callee, &caller)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let proxy = accepting.clone();
                    thread::spawn(move || proxy.pass(from, to, generation));
                }
            }
        });
        proxy
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, generation: u64) {
        let mut buffer = [0; 16 << 10];
        while let Ok(length) = from.read(&mut buffer) {
            if generation != self.generation.load(Ordering::SeqCst) {
                // The connection is neither closed nor reset.
                if length == 0 {
                    return;
                }
                continue;
            }
            if length == 0 || to.write_all(&buffer[..length]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

pub fn run(lab: &Lab) -> Outcome {
    let serve = |worker: &Arc<Worker>, request: &crate::http::Message, stream: &mut TcpStream| {
        let id = request.header("attempt-id").unwrap_or_default();
        worker.record.note(&format!("request {id} runs on worker {}", worker.id()));
        worker.answer_plainly(request, stream)
    };
    let _workers: Vec<Arc<Worker>> = (0..3)
        .map(|number| Worker::start(number, "registry", &lab.store, &lab.record, Box::new(serve)))
        .collect();
    let proxy = Proxy::start(lab.store_addr);
    let nodes: Vec<_> = (0..4).map(|number| lab.node_at(number, proxy.addr)).collect();
    for node in &nodes {
        if !node.wait_ready() {
            return Err(format!("node {} is not ready", node.number));
        }
    }
    sleep(4.0);
    if lab.trouble {
        proxy.generation.fetch_add(1, Ordering::SeqCst);
        lab.record.say("open connections to the store are silent from now on; new ones work");
    }
    // The machines are in touch again 3 s after it.
    sleep(3.2);
    configure_keys(&lab.store, 8, &["another-key"]);
    let confirmed = lab.record.now();
    lab.record.say("the operator takes a key away; the store has confirmed it");
    let (mut late, mut runs) = (0, 0);
    for number in 0..80_u64 {
        let node = &nodes[(number % 4) as usize];
        let id = format!("{number:016x}");
        let key = format!("Token {KEY}");
        let headers = [
            ("host", HOST),
            ("attempt-id", id.as_str()),
            ("deadline-ms", "2500"),
            ("authorization", key.as_str()),
        ];
        let after = lab.record.now() - confirmed;
        let answer =
            ask(node.callers, "GET", &format!("/look/{id}"), &headers, b"", Duration::from_secs(3));
        let status = answer.map_or(0, |answer| answer.status());
        lab.record.note(&format!(
            "request {id} to node {}, {} ms after the confirmation: status {status}",
            node.number,
            after.as_millis()
        ));
        if after > CONFIG_APPLY {
            late += 1;
            runs += u32::from(status == 200);
        }
        sleep(0.1);
    }
    lab.record.say(&format!("{runs} of {late} requests sent later than 2 s after the confirmation ran with the dropped key"));
    Ok(runs == 0)
}
