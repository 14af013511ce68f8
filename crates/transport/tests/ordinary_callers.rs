//! Tests of callers inside the limits, beside others and in calm, over real connections.

mod callers;

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, TcpStream},
    thread,
    time::Duration,
};

use callers::{HANDLER_TIME, connect, connect_from, post, small_limits, start};
use transport::{CutCause, Refusal, ServerLimits};

/// Memory that is counted for a connection.
const CONNECTION_BYTES: usize = 96 << 10;

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

/// Reads an answer that ends with `end`.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut answer = Vec::new();
    while !answer.ends_with(end.as_bytes()) {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => answer.extend(byte),
            _ => break,
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against the rest of a discarded body that counts as the begin of a head: the idle
/// connection would be closed before its caller uses it again.
#[test]
fn a_connection_is_idle_after_a_body_was_discarded() {
    let (addr, record) = start(small_limits());
    let mut stream = connect(addr);
    let head = post(1000).replace("POST /", "POST /gone");
    stream.write_all(head.as_bytes()).unwrap();
    assert!(read_until(&mut stream, "gone").starts_with("HTTP/1.1 404"));
    stream.write_all(&[b'a'; 1000]).unwrap();
    thread::sleep(3 * small_limits().head_time);
    let _ = stream.write_all(get("/").as_bytes());
    let answer = read_until(&mut stream, "length 0");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(*record.refusals.lock().unwrap(), []);
}

/// Guards against a request that is read on a connection which was already told to close: its
/// handler would start, and its caller would get no answer. The handler's thread is kept until the
/// new connection and the request have both arrived.
#[test]
fn a_displaced_connection_reads_no_request() {
    let (addr, record) = start(ServerLimits { max_connections: 2, ..small_limits() });
    let mut idle = connect(addr);
    idle.write_all(get("/").as_bytes()).unwrap();
    read_until(&mut idle, "length 0");
    let mut busy = connect(addr);
    busy.write_all(get("/block").as_bytes()).unwrap();
    thread::sleep(HANDLER_TIME / 3);
    let _new = connect(addr);
    idle.write_all(get("/wait").as_bytes()).unwrap();
    read_until(&mut busy, "length 0");
    read_until(&mut idle, "length 0");
    assert_eq!(*record.cuts.lock().unwrap(), Vec::<CutCause>::new());
}

/// Guards against the least rate of a body that refuses a short one: no rate is published, and a
/// short body needs no memory beyond that of its connection.
#[test]
fn a_short_body_may_pause() {
    let (addr, record) = start(ServerLimits { body_rate: 128, ..small_limits() });
    let mut stream = connect(addr);
    stream.write_all(post(300).as_bytes()).unwrap();
    stream.write_all(&[b'a'; 150]).unwrap();
    thread::sleep(Duration::from_secs(6));
    let _ = stream.write_all(&[b'a'; 150]);
    let answer = read_until(&mut stream, "length 300");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(*record.refusals.lock().unwrap(), []);
}

/// Guards against an address at its share that ends the bodies of others, which gives it nothing.
#[test]
fn an_address_at_its_share_ends_its_own_bodies() {
    let limits = ServerLimits {
        memory: 8 * CONNECTION_BYTES + (512 << 10),
        max_connections: 8,
        ..small_limits()
    };
    let (addr, _) = start(limits);
    let length = 60 << 10;
    let mut paused = connect_from(Ipv4Addr::new(127, 0, 0, 2), addr);
    paused.write_all(post(length).as_bytes()).unwrap();
    paused.write_all(&vec![b'a'; length - 1]).unwrap();
    thread::sleep(Duration::from_millis(2500));
    let length = 150 << 10;
    let greedy: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut stream = connect_from(Ipv4Addr::new(127, 0, 0, 3), addr);
            // The server may refuse the body while it is sent.
            let _ = stream.write_all(post(length).as_bytes());
            let _ = stream.write_all(&vec![b'b'; length - 1]);
            stream
        })
        .collect();
    thread::sleep(HANDLER_TIME);
    let _ = paused.write_all(b"a");
    let answer = read_until(&mut paused, "length 61440");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    drop(greedy);
}

/// Guards against a part of the memory that nobody can use where all callers share the address of a
/// balancer.
#[test]
fn a_single_address_may_use_the_whole_account() {
    let limits =
        ServerLimits { memory: 2 * CONNECTION_BYTES, max_connections: 1, ..small_limits() };
    let (addr, record) = start(limits);
    let length = 100 << 10;
    let mut stream = connect(addr);
    stream.write_all(post(length).as_bytes()).unwrap();
    let _ = stream.write_all(&vec![b'a'; length]);
    let answer = read_until(&mut stream, "length 102400");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(*record.refusals.lock().unwrap(), Vec::<Refusal>::new());
}

/// Guards against a connection that its caller uses again and that is displaced before newer ones
/// that never sent anything.
#[test]
fn a_silent_connection_is_displaced_before_one_that_has_carried_a_request() {
    let (addr, record) = start(ServerLimits { max_connections: 2, ..small_limits() });
    let mut used = connect(addr);
    used.write_all(get("/").as_bytes()).unwrap();
    read_until(&mut used, "length 0");
    thread::sleep(Duration::from_millis(500));
    let _silent = connect(addr);
    thread::sleep(Duration::from_millis(2500));
    let mut new = connect(addr);
    new.write_all(get("/").as_bytes()).unwrap();
    assert!(read_until(&mut new, "length 0").starts_with("HTTP/1.1 200"));
    let _ = used.write_all(get("/").as_bytes());
    let answer = read_until(&mut used, "length 0");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(*record.refusals.lock().unwrap(), [Refusal::Displaced]);
}
