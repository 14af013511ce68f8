//! Tests of connections that are kept for the next request.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration,
};

use clock::{Clock, RuntimeClock};
use http::Request;
use transport::{Body, HttpClient, Timeouts};

const TIMEOUTS: Timeouts = Timeouts::from_millis(1000, 5000);
const MAX_RESPONSE_BYTES: usize = 1 << 16;
/// Pause of the client.
const PAUSE: Duration = Duration::from_millis(5);
/// Calls of each kind.
const CALLS: usize = 6;

/// Reads a request whose body, if any, is `end`, and responds.
fn respond(stream: &mut TcpStream, end: &str) {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(format!("\r\n\r\n{end}").as_bytes()) {
        stream.read_exact(&mut byte).unwrap();
        request.extend(byte);
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
}

/// Sends two requests with this body to a peer that closes the connection after its first response.
/// The runtime learns of the end while the second request is handed to the connection.
async fn call_closing_peer(body: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (answered, wait_for_answer) = mpsc::channel();
    let (closed, wait_for_close) = mpsc::channel();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        respond(&mut stream, body);
        wait_for_answer.recv().unwrap();
        drop(stream);
        closed.send(()).unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        respond(&mut stream, body);
    });
    let clock = Rc::new(RuntimeClock::new());
    let client = HttpClient::new(clock.clone(), addr);
    let call = async || {
        let request = Request::post("/").header("host", "h").body(Body::from(body)).unwrap();
        let response = client.send(request, TIMEOUTS).await?;
        response.collect(MAX_RESPONSE_BYTES, TIMEOUTS.progress).await
    };
    assert_eq!(call().await.unwrap(), "ok");
    // The end of the connection and that of the sleep become known at the same time.
    let mut sleep = clock.sleep(PAUSE);
    assert!(futures_util::poll!(&mut sleep).is_pending());
    answered.send(()).unwrap();
    wait_for_close.recv().unwrap();
    thread::sleep(2 * PAUSE);
    sleep.await;
    assert_eq!(call().await.expect("the request is sent over another connection"), "ok");
    serving.join().unwrap();
}

/// Guards against a request that is written to a connection which has ended, and then counts as one that
/// may have run.
#[compio::test]
async fn a_request_is_not_written_to_a_connection_that_has_ended() {
    for body in ["", "body"] {
        for _ in 0..CALLS {
            call_closing_peer(body).await;
        }
    }
}
