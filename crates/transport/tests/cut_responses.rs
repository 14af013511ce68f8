//! Guards against a response that was cut off and looks complete: a peer that stopped in the middle of
//! the head was taken for one that had answered without a body.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use clock::RuntimeClock;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpListener,
    runtime::JoinHandle,
};
use http::Request;
use serde::Deserialize;
use transport::{Body, CallError, HttpClient, Timeouts};

const TIMEOUTS: Timeouts = Timeouts::from_millis(1000, 2000);
const MAX_BYTES: usize = 1 << 16;

/// Starts a peer that sends `response` and closes the connection.
async fn start_peer(response: String) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr: SocketAddr = listener.local_addr().expect("the socket is bound");
    let peer = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let BufResult(_, _) = stream.read(Vec::with_capacity(4096)).await;
        let BufResult(result, _) = stream.write_all(response).await;
        result.expect("the client reads the response");
    });
    (addr, peer)
}

/// Calls a peer that sends `response` and closes the connection. Returns the whole body.
async fn call_peer(response: String) -> Result<Bytes, CallError> {
    let (addr, peer) = start_peer(response).await;
    let client = HttpClient::new(Rc::new(RuntimeClock::new()), addr);
    let request = Request::get("/").header("host", "x").body(Body::empty());
    let request = request.expect("the request is valid");
    let result = match client.send(request, TIMEOUTS).await {
        Ok(response) => response.collect(MAX_BYTES, Duration::from_secs(2)).await,
        Err(error) => Err(error),
    };
    peer.await.expect("the peer does not panic");
    result
}

/// Checks that a response is an error wherever it is cut off, and that the whole one is none.
async fn check_cuts(response: &str) {
    let whole = call_peer(response.into()).await.expect("the whole response is read");
    assert_eq!(whole, "hello");
    for length in 0..response.len() {
        let result = call_peer(response[..length].into()).await;
        assert!(
            matches!(result, Err(CallError::Broken(_))),
            "{result:?} after {:?}",
            &response[..length]
        );
    }
}

#[compio::test]
async fn a_response_with_a_length_is_broken_wherever_it_is_cut_off() {
    check_cuts("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nContent-Length: 5\r\n\r\nhello").await;
}

#[compio::test]
async fn a_response_in_chunks_is_broken_wherever_it_is_cut_off() {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nTransfer-Encoding: chunked\r\n\r\n";
    check_cuts(&format!("{head}2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n")).await;
}

/// Without a length the body ends with the connection, but the head does not.
#[compio::test]
async fn a_response_without_a_length_is_broken_if_its_head_is_cut_off() {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nConnection: close\r\n\r\n";
    let whole = call_peer(format!("{head}hello")).await;
    assert_eq!(whole.expect("the whole response is read"), "hello");
    for length in 0..head.len() {
        let result = call_peer(head[..length].into()).await;
        assert!(matches!(result, Err(CallError::Broken(_))), "{result:?} after {length} bytes");
    }
}

#[derive(Debug, Deserialize)]
struct Message {
    at: u64,
}

/// Calls a peer like [`call_peer`], and decodes the response.
async fn call_peer_for_json(response: String) -> Result<Message, CallError> {
    let (addr, peer) = start_peer(response).await;
    let client = HttpClient::new(Rc::new(RuntimeClock::new()), addr);
    let result = client.get_json("/", TIMEOUTS).await;
    peer.await.expect("the peer does not panic");
    result
}

/// Guards against a message of the key-value service or of a node that is cut off and decoded.
#[compio::test]
async fn a_json_response_without_a_length_is_an_error_wherever_it_is_cut_off() {
    let response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"at\":12}";
    let whole = call_peer_for_json(response.into()).await.expect("the whole response is read");
    assert_eq!(whole.at, 12);
    for length in 0..response.len() {
        let result = call_peer_for_json(response[..length].into()).await;
        assert!(result.is_err(), "{result:?} after {length} bytes");
    }
}
