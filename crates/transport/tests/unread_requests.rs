//! Guards against a response that looks complete although its peer has failed and reset the
//! connection. A body without a length ends with its connection.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
};

use clock::RuntimeClock;
use http::Request;
use transport::{Body, HttpClient, Timeouts};

const TIMEOUTS: Timeouts = Timeouts::from_millis(1000, 5000);
const MAX_RESPONSE_BYTES: usize = 1 << 16;
/// Size of a request of which the HTTP library keeps a part.
const LARGE_BYTES: usize = 16 << 20;
/// Calls of each kind.
const CALLS: usize = 6;

/// Head of a response whose body ends with the connection.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
/// Whole events of a stream, also used as a part of any other body.
const EVENTS: &str = "data: 1\n\ndata: 2\n\n";

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.extend(byte);
    }
}

/// Sends a request of `body_bytes` to a peer that reads only its head, and resets the connection
/// before the client reads the end of the response. Returns whether the response looked complete.
async fn call_resetting_peer(body_bytes: usize, ends_first: bool) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (head_read, wait_for_head) = mpsc::channel();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream);
        write!(stream, "{UNFRAMED_HEAD}").unwrap();
        wait_for_head.recv().unwrap();
        write!(stream, "{EVENTS}").unwrap();
        if ends_first {
            stream.shutdown(Shutdown::Write).unwrap();
        }
    });
    let client = HttpClient::new(Rc::new(RuntimeClock::new()), addr);
    let body = Body::from(vec![b'x'; body_bytes]);
    let request = Request::post("/").header("host", "h").body(body).unwrap();
    let response = client.send(request, TIMEOUTS).await.unwrap();
    // The thread of the client is blocked until the connection is reset.
    head_read.send(()).unwrap();
    serving.join().unwrap();
    response.collect(MAX_RESPONSE_BYTES, TIMEOUTS.progress).await.is_ok()
}

/// Guards against a reset that a write has reported: it is reported once, and the reads after it
/// return an end. A busy client has both pending when the reset arrives.
#[compio::test]
async fn a_response_whose_connection_is_reset_during_the_request_is_broken() {
    for _ in 0..CALLS {
        assert!(!call_resetting_peer(LARGE_BYTES, false).await);
    }
}

/// Guards against a reset that no read reports, because the connection had ended before.
#[compio::test]
async fn a_response_whose_connection_is_reset_after_its_end_is_broken() {
    for body_bytes in [1, LARGE_BYTES] {
        for _ in 0..CALLS {
            assert!(!call_resetting_peer(body_bytes, true).await, "{body_bytes} bytes");
        }
    }
}
