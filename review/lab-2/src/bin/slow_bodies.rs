//! Many callers send chunked bodies in very small chunks and do not end them. Ordinary callers must
//! still get answers.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use lab_2::{
    CONTACT, case_folder, finish, give_up, has_trouble, http, limit_run,
    node::{self, Node},
    plain,
    record::Record,
    store::Store,
};

/// Callers that send the endless bodies.
const SLOW: usize = 420;
/// Time between two of their chunks.
const PAUSE: Duration = Duration::from_millis(500);
/// Ordinary callers.
const CALLERS: usize = 8;

fn main() {
    limit_run(Duration::from_secs(110));
    let record = Record::create(&case_folder());
    let store = Store::start();
    let routes = [
        plain::route("look", "idempotent", 2500, false),
        plain::route("draft", "sse", 20000, true),
    ];
    store.write("op/config", &plain::config(7, &routes));
    let _runs = plain::start_workers(3, 6, Duration::from_millis(30), &store, &record);
    let node = Node::start(0, "maule", store.addr);
    if !node.wait_ready(Duration::from_secs(15)) {
        give_up(&record, "the node did not become ready");
    }
    thread::sleep(Duration::from_secs(4));
    let addr = node.callers;
    let stop = Arc::new(AtomicBool::new(false));
    let ready = Arc::new(Mutex::new(Vec::new()));
    // The balancer's check, once a second.
    {
        let (stop, ready, record) = (stop.clone(), ready.clone(), record.clone());
        let (health, name) = (node.health, node.name.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let request = http::request("GET", "/v1/readyz", &[("Host", "node")], b"");
                let status = http::call(health, &request, Duration::from_secs(1)).status;
                record.line(&format!("{name} answers the check with {status}"));
                ready.lock().unwrap().push((record.now(), status == 200));
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
    // Ordinary callers, each request on a new connection: when it was sent, and whether a byte of
    // an answer came.
    let tries = Arc::new(Mutex::new(Vec::new()));
    for caller in 0..CALLERS {
        let (stop, tries, record) = (stop.clone(), tries.clone(), record.clone());
        thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{caller:04x}{count:012x}");
                let request = plain::head("GET", "/look/2f", &id, 2500) + "\r\n";
                let sent = record.now();
                let answer = http::call(addr, request.as_bytes(), Duration::from_millis(2500));
                record.line(&format!(
                    "caller {caller} gets {} for {id} after {} ms {}",
                    answer.status,
                    answer.taken.as_millis(),
                    answer.error
                ));
                tries.lock().unwrap().push((sent, caller, answer.status));
                thread::sleep(Duration::from_millis(300));
            }
        });
    }
    thread::sleep(Duration::from_secs(8));
    if has_trouble() {
        record.say(&format!("{SLOW} callers begin bodies without end"));
        for number in 0..SLOW {
            let (stop, record) = (stop.clone(), record.clone());
            let started = Instant::now();
            thread::Builder::new()
                .stack_size(64 << 10)
                .spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        let outcome = slow_body(addr, number, &stop);
                        record.line(&format!(
                            "slow caller {number} ends after {} ms: {outcome:?}",
                            started.elapsed().as_millis()
                        ));
                        thread::sleep(PAUSE);
                    }
                })
                .expect("thread can be started");
            thread::sleep(Duration::from_millis(4));
        }
    }
    thread::sleep(Duration::from_secs(40));
    stop.store(true, Ordering::Relaxed);
    if node::has_ended(node.pid) {
        record.say("the node has ended");
        finish(&record, true);
    }
    let tries = tries.lock().unwrap();
    let ready = ready.lock().unwrap();
    // The longest span without a connection that was taken while seven callers or more tried and
    // all checks said ready.
    let mut taken: Vec<f64> = tries.iter().filter(|one| one.2 != 0).map(|one| one.0).collect();
    taken.push(record.now());
    taken.sort_by(f64::total_cmp);
    let served = tries.iter().filter(|one| one.2 == 200).count();
    record.say(&format!("{served} of {} ordinary requests are answered with 200", tries.len()));
    let mut broken = false;
    for pair in taken.windows(2) {
        let (from, to) = (pair[0], pair[1]);
        let mut callers: Vec<usize> =
            tries.iter().filter(|one| one.0 > from && one.0 < to).map(|one| one.1).collect();
        callers.sort_unstable();
        callers.dedup();
        let inside = ready.iter().filter(|one| one.0 > from && one.0 < to);
        let is_ready = inside.clone().count() > 0 && inside.clone().all(|one| one.1);
        if to - from > CONTACT.as_secs_f64() && callers.len() >= 7 && is_ready {
            record.say(&format!(
                "from {from:.1} s to {to:.1} s no new connection is taken, {} callers try, and the \
                 node says it is ready",
                callers.len()
            ));
            broken = true;
        }
    }
    finish(&record, broken)
}

/// Sends a body in chunks of one byte. Returns how that ended.
fn slow_body(
    addr: std::net::SocketAddr,
    number: usize,
    stop: &AtomicBool,
) -> std::io::Result<&'static str> {
    let mut stream = http::connect(addr, Duration::from_secs(1))?;
    let id = format!("aaaa{number:012x}");
    let head = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 20000\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        plain::HOST
    );
    stream.write_all(head.as_bytes())?;
    stream.set_read_timeout(Some(PAUSE))?;
    while !stop.load(Ordering::Relaxed) {
        stream.write_all(b"1\r\nx\r\n")?;
        let mut buffer = [0; 512];
        match std::io::Read::read(&mut stream, &mut buffer) {
            Ok(0) => return Ok("closed"),
            Ok(_) => return Ok("answered"),
            Err(_) => {}
        }
    }
    Ok("stopped")
}
