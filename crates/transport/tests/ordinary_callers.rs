//! Tests of callers inside the limits, beside others and in calm, over real connections.

mod callers;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
};

use callers::{connect, post, small_limits, start};

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
