//! Tests of callers outside the limits, with the daemon as a process. `cargo xtask ci` runs them
//! one at a time, because their crowds take descriptors and memory of the machine.

mod crowd;
#[path = "../loopback/mod.rs"]
mod loopback;
mod node;
#[path = "../process/mod.rs"]
mod process;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use crowd::{Crowd, Script};
use node::Node;
use standins::platform::caller_headers;

/// Callers of a crowd that sends more than it should. Together they send several times the memory
/// of the node, within its descriptors.
const CALLERS: usize = 200;
/// Bytes of a body just within the limit of the configuration.
const BODY_BYTES: usize = 1 << 20;
/// Bytes of a piece that a caller sends at once.
const PIECE_BYTES: usize = 64 << 10;
/// Bytes after which a caller that sends without end gives up.
const ENDLESS_BYTES: usize = 4 << 20;
/// Bytes of a head that is too long, at which its caller stops without ending it.
const LONG_HEAD_BYTES: usize = 380 << 10;
/// One caller of so many sends its request to the end.
const COMPLETE_SHARE: usize = 10;

/// Longest time for which callers keep an idle connection before they use it again: four fifths of
/// the published idle time.
const REUSE_TIME: Duration = Duration::from_secs(12);
/// Longest wait for an answer.
const ANSWER_WAIT: Duration = Duration::from_secs(5);

/// Runs a crowd, with a script for each number, and checks the node while the crowd is still there.
fn check_crowd(test: &str, count: usize, script: impl Fn(usize) -> Script) {
    let mut node = Node::start(test);
    let mut crowd = Crowd::connect(node.process.callers, (0..count).map(script));
    crowd.send(&mut node);
    node.check();
}

/// The start of a request's head.
fn head(path: &str, id: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: soak.example\r\n{}", caller_headers(id))
}

/// `bytes` in pieces of at most `piece` bytes.
fn pieces(bytes: Vec<u8>, piece: usize) -> Script {
    let mut rest = bytes;
    Box::new(std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let tail = rest.split_off(rest.len().min(piece));
        Some(std::mem::replace(&mut rest, tail))
    }))
}

/// A request with a chunked body, which most callers stop just short of its end.
fn chunked(number: usize) -> Script {
    let mut start = head("/look/x", &format!("c{number}")).into_bytes();
    start.extend(b"transfer-encoding: chunked\r\n\r\n");
    let (chunk, total) =
        if number.is_multiple_of(4) { (4, 256 << 10) } else { (PIECE_BYTES, BODY_BYTES) };
    let data = vec![b'c'; chunk];
    let mut encoded = format!("{chunk:x}\r\n").into_bytes();
    encoded.extend(data);
    encoded.extend(b"\r\n");
    // The last chunk is announced and its last byte, or the end of the body, is missing.
    let mut body = encoded.repeat(total / chunk);
    if number.is_multiple_of(COMPLETE_SHARE) {
        body.extend(b"0\r\n\r\n");
    } else {
        body.truncate(body.len() - 3);
    }
    Box::new(std::iter::once(start).chain(pieces(body, PIECE_BYTES)))
}

/// Guards against heads that fill the memory, because each connection may hold a long one.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn heads_beyond_the_limit() {
    check_crowd("heads", CALLERS, |number| {
        let start = format!("{}x-long: ", head("/look/x", &format!("h{number}"))).into_bytes();
        let length = if number.is_multiple_of(4) { ENDLESS_BYTES } else { LONG_HEAD_BYTES };
        let rest = pieces(vec![b'a'; length], PIECE_BYTES);
        Box::new(std::iter::once(start).chain(rest))
    });
}

/// Guards against empty lines before a request that fill the memory.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn empty_lines_before_a_request() {
    check_crowd("lines", CALLERS, |number| {
        let length = if number.is_multiple_of(4) { ENDLESS_BYTES } else { LONG_HEAD_BYTES };
        pieces(b"\r\n".repeat(length / 2), PIECE_BYTES)
    });
}

/// Guards against bodies of legal size that fill the memory together.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn large_bodies_short_of_their_end() {
    check_crowd("bodies", CALLERS, |number| {
        let mut request = head("/look/x", &format!("b{number}")).into_bytes();
        request.extend(format!("content-length: {BODY_BYTES}\r\n\r\n").into_bytes());
        let missing = usize::from(!number.is_multiple_of(COMPLETE_SHARE));
        request.extend(vec![b'b'; BODY_BYTES - missing]);
        let piece = if number.is_multiple_of(2) { request.len() } else { PIECE_BYTES };
        pieces(request, piece)
    });
}

/// Guards against chunked bodies that fill the memory together, in large and in very small chunks.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn chunked_bodies_short_of_their_end() {
    check_crowd("chunks", CALLERS, chunked);
}

/// Guards against answers that fill the memory because their callers do not read them.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn answers_that_are_not_read() {
    check_crowd("answers", CALLERS, |number| {
        let request = move |turn: usize| {
            let id = format!("a{number}-{turn}");
            format!("{}content-length: 5\r\n\r\nhello", head("/look/large", &id)).into_bytes()
        };
        // Further requests on the same connection must not add answers to those that wait.
        Box::new((0..20).map(request))
    });
}

/// Guards against connections that take all descriptors, so that no other caller and no upstream
/// can be reached.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn more_connections_than_descriptors() {
    check_crowd("connections", 3 * CALLERS, |number| {
        let start = head("/look/x", &format!("d{number}")).into_bytes();
        if number.is_multiple_of(2) {
            Box::new(std::iter::empty())
        } else {
            pieces(start, PIECE_BYTES)
        }
    });
}

/// Guards against a crowd that keeps changes of the configuration from being read.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn a_changed_configuration_takes_effect_beside_a_crowd() {
    let mut node = Node::start("change");
    let mut crowd = Crowd::connect(node.process.callers, (0..CALLERS).map(chunked));
    crowd.send(&mut node);
    node.configure();
    assert!(node.answers("/extra3/x"), "the new route is not served");
    node.check();
}

/// Guards against callers of the health port that take the descriptors or the memory.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn a_crowd_at_the_health_port() {
    let mut node = Node::start("health");
    let script = |number: usize| {
        let start = b"GET /metrics HTTP/1.1\r\nx-long: ".to_vec();
        let length = if number.is_multiple_of(2) { LONG_HEAD_BYTES } else { 1 };
        Box::new(std::iter::once(start).chain(pieces(vec![b'a'; length], PIECE_BYTES))) as Script
    };
    let mut crowd = Crowd::connect(node.process.health, (0..3 * CALLERS).map(script));
    crowd.send(&mut node);
    node.check();
    assert!(node.process.is_ready(), "the health check is not answered");
}

/// Guards against limits that refuse a single body of the largest size.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn a_single_body_of_the_largest_size() {
    let mut node = Node::start("single");
    let body = "b".repeat(BODY_BYTES);
    assert_eq!(node.post("/look/x", "single", &body), Some(200));
    node.check();
}

/// Sends a small request on `stream`, and reads the head of its answer with what has arrived of the
/// rest.
fn exchange(stream: &mut TcpStream, id: &str) -> String {
    let request = format!("{}content-length: 5\r\n\r\nhello", head("/look/x", id));
    // A connection that was closed shows by the missing answer.
    let _ = stream.write_all(request.as_bytes());
    let mut answer = vec![0; PIECE_BYTES];
    let length = stream.read(&mut answer).unwrap_or_default();
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// Guards against limits that close an idle connection which its caller may use again.
#[test]
#[ignore = "one at a time: the check `limits` of cargo xtask ci"]
fn a_connection_is_used_again_after_it_was_idle() {
    let mut node = Node::start("reuse");
    let mut stream = TcpStream::connect(node.process.callers).unwrap();
    stream.set_read_timeout(Some(ANSWER_WAIT)).unwrap();
    let first = exchange(&mut stream, "reuse-1");
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    thread::sleep(REUSE_TIME);
    // What had not arrived of the first answer is read before the second request is sent.
    stream.set_nonblocking(true).unwrap();
    let _ = stream.read(&mut vec![0; PIECE_BYTES]);
    stream.set_nonblocking(false).unwrap();
    let second = exchange(&mut stream, "reuse-2");
    assert!(second.starts_with("HTTP/1.1 200"), "{second}");
    node.check();
}
