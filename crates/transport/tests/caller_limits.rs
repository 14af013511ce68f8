//! Tests of the limits on callers, over real connections.

mod callers;

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream},
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use callers::{connect, connect_from, post, small_limits, start};
use proptest::prelude::*;
use transport::{Refusal, ServerLimits};

/// Allowed growth of the resident memory of this process, in KB.
const GROWTH_KB: u64 = 48 << 10;

/// Reads until the server closes the connection.
fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset also ends the connection.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Whether a request inside the limits is answered.
fn answers(addr: SocketAddr) -> bool {
    let mut stream = connect(addr);
    stream.write_all(b"POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n").unwrap();
    stream.write_all(b"content-length: 5\r\n\r\nhello").unwrap();
    read_all(&mut stream).ends_with("length 5")
}

/// Guards against a head that holds its connection for as long as single bytes of it arrive.
#[test]
fn a_head_that_does_not_end_in_time_is_closed() {
    let (addr, record) = start(small_limits());
    let mut stream = connect(addr);
    stream.write_all(b"GET / HTTP/1.1\r\nx: ").unwrap();
    while stream.write_all(b"a").is_ok() {
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(*record.refusals.lock().unwrap(), [Refusal::HeadTime]);
}

/// Guards against a full account that keeps out all later bodies: the one that has stopped ends,
/// with a refusal, and its memory goes to the next.
#[test]
fn a_body_that_has_stopped_makes_room_for_another() {
    // The connections leave 256 KB for bodies, which is less than both bodies need.
    let connection_bytes = 96 << 10;
    let limits = ServerLimits {
        memory: 2 * connection_bytes + (256 << 10),
        max_connections: 2,
        ..small_limits()
    };
    let (addr, record) = start(limits);
    let length = 150 << 10;
    let mut stopped = connect(addr);
    stopped.write_all(post(length).as_bytes()).unwrap();
    stopped.write_all(&vec![b'a'; length - 1]).unwrap();
    thread::sleep(Duration::from_millis(2500));
    let mut next = connect(addr);
    next.write_all(post(length).as_bytes()).unwrap();
    next.write_all(&vec![b'b'; length]).unwrap();
    let mut answer = [0; 15];
    next.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    let refusal = read_all(&mut stopped);
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.to_ascii_lowercase().contains("connection: close"), "{refusal}");
    assert_eq!(*record.refusals.lock().unwrap(), [Refusal::Evicted]);
}

/// Guards against memory that stays reserved on some path: bodies that are abandoned, too large or
/// not valid leave room for a body that needs most of the memory.
#[test]
fn every_end_of_a_body_releases_its_memory() {
    let connection_bytes = 96 << 10;
    let limits = ServerLimits {
        memory: 4 * connection_bytes + (512 << 10),
        max_connections: 4,
        ..small_limits()
    };
    let (addr, record) = start(limits);
    let chunked = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n30000\r\n";
    let chunk = "c".repeat(0x30000);
    for _ in 0..10 {
        let mut abandoned = connect(addr);
        abandoned.write_all(post(200 << 10).as_bytes()).unwrap();
        abandoned.write_all(&vec![b'a'; (200 << 10) - 1]).unwrap();
        abandoned.shutdown(Shutdown::Write).unwrap();
        read_all(&mut abandoned);
        for end in ["\r\n30000\r\n", "no end of a chunk"] {
            let mut broken = connect(addr);
            // The server may refuse the body while it is sent.
            let _ = broken.write_all(format!("{chunked}{chunk}{end}{chunk}").as_bytes());
            let _ = broken.shutdown(Shutdown::Write);
            read_all(&mut broken);
        }
    }
    let length = 256 << 10;
    let mut stream = connect(addr);
    stream.write_all(post(length).as_bytes()).unwrap();
    stream.write_all(&vec![b'b'; length]).unwrap();
    let mut answer = [0; 15];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    assert_eq!(*record.refusals.lock().unwrap(), []);
}

/// Guards against one address that takes all of the memory: another one still gets its share while
/// none of the bodies has stopped for long.
#[test]
fn one_address_leaves_memory_for_another() {
    let connection_bytes = 96 << 10;
    let limits = ServerLimits {
        memory: 8 * connection_bytes + (512 << 10),
        max_connections: 8,
        ..small_limits()
    };
    let (addr, _) = start(limits);
    let length = 150 << 10;
    let greedy: Vec<TcpStream> = (0..6)
        .map(|_| {
            let mut stream = connect_from(Ipv4Addr::new(127, 0, 0, 2), addr);
            // The server may refuse the body while it is sent.
            let _ = stream.write_all(post(length).as_bytes());
            let _ = stream.write_all(&vec![b'a'; length - 1]);
            stream
        })
        .collect();
    let length = 120 << 10;
    let mut other = connect_from(Ipv4Addr::new(127, 0, 0, 3), addr);
    other.write_all(post(length).as_bytes()).unwrap();
    other.write_all(&vec![b'b'; length]).unwrap();
    let mut answer = [0; 15];
    other.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    drop(greedy);
}

/// Guards against idle connections that keep new callers out.
#[test]
fn an_idle_connection_makes_room_for_a_new_one() {
    let (addr, record) = start(small_limits());
    let _idle: Vec<TcpStream> = (0..16).map(|_| connect(addr)).collect();
    assert!(answers(addr));
    assert_eq!(*record.refusals.lock().unwrap(), [Refusal::Displaced]);
}

/// Fragments of requests, valid and not.
fn fragment() -> impl Strategy<Value = Vec<u8>> {
    let texts: &[&str] = &[
        "POST / HTTP/1.1\r\nhost: h\r\n",
        "GET / HTTP/1.1\r\n",
        "GET / HTTP/1.0\r\n\r\n",
        "transfer-encoding: chunked\r\n",
        "content-length: 5\r\n",
        "content-length: 18446744073709551615\r\n",
        "content-length: 18446744073709551616\r\n",
        "content-length: -1\r\n",
        "expect: 100-continue\r\n",
        "connection: keep-alive\r\n",
        "\r\n",
        "\n",
        "\r\n\r\n",
        "5\r\nhello\r\n",
        "0\r\n\r\n",
        "0\r\nx: y\r\n\r\n",
        "1;extension=long\r\na\r\n",
        "ffffffffffffffff\r\n",
        "10000000000000000\r\n",
        "hello",
        "\0",
        ":",
    ];
    let text = proptest::sample::select(texts).prop_map(|text| text.as_bytes().to_vec());
    prop_oneof![
        8 => text.clone(),
        2 => (text, 1..400_usize).prop_map(|(text, count)| text.repeat(count)),
        1 => proptest::collection::vec(any::<u8>(), 0..200),
        1 => (1..60_000_usize).prop_map(|length| vec![b'a'; length]),
    ]
}

/// Resident memory of this process in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Guards against input that makes the server panic, stop serving or grow.
#[test]
fn no_input_ends_the_server_or_makes_it_grow() {
    static PANICS: AtomicUsize = AtomicUsize::new(0);
    let (addr, _) = start(small_limits());
    assert!(answers(addr));
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        previous(panic);
    }));
    let before = resident_kb();
    let fragments = proptest::collection::vec(fragment(), 1..12);
    let config = ProptestConfig { cases: 300, ..ProptestConfig::default() };
    proptest!(config, |(fragments in fragments, ends in any::<bool>())| {
        let mut stream = connect(addr);
        for fragment in &fragments {
            // The server may close the connection at any time.
            let _ = stream.write_all(fragment);
        }
        if ends {
            let _ = stream.shutdown(Shutdown::Write);
        }
        prop_assert_eq!(PANICS.load(Ordering::Relaxed), 0);
    });
    assert!(answers(addr));
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
    let growth = resident_kb().saturating_sub(before);
    assert!(growth < GROWTH_KB, "the process has grown by {growth} KB");
}
