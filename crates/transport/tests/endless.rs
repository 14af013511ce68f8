//! Peers that send bytes without end, in the head or in the body of a response. The client gives up
//! after a bounded number of bytes and closes the connection.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::RuntimeClock;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use transport::{CallError, HttpClient, Timeouts};

/// Bytes that the client and the buffers of the connection may take before it is closed.
const MAX_BYTES: usize = 16 << 20;
const TIMEOUTS: Timeouts =
    Timeouts { connect: Duration::from_secs(1), progress: Duration::from_secs(10) };

/// Sends `start` and then bytes until the peer closes the connection. Returns the number of bytes.
async fn send_endlessly(mut stream: TcpStream, start: &'static str) -> usize {
    let BufResult(_, _) = stream.read(Vec::with_capacity(4096)).await;
    let BufResult(result, _) = stream.write_all(start).await;
    result.expect("the client reads the start");
    let mut sent = 0;
    let mut chunk = vec![b'x'; 16 << 10];
    loop {
        let BufResult(result, buffer) = stream.write_all(chunk).await;
        chunk = buffer;
        if result.is_err() || sent > 4 * MAX_BYTES {
            return sent;
        }
        sent += chunk.len();
    }
}

/// Calls a peer that answers with `start` and bytes without end. Returns the error of the call, and
/// checks how much the peer could send.
async fn call_endless_peer(start: &'static str) -> CallError {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr: SocketAddr = listener.local_addr().expect("the socket is bound");
    let peer = compio::runtime::spawn(async move {
        let (stream, _) = listener.accept().await.expect("the client connects");
        send_endlessly(stream, start).await
    });
    let client = HttpClient::new(Rc::new(RuntimeClock::new()), addr);
    let result = client.get_json::<u32>("/report", TIMEOUTS).await;
    let sent = peer.await.expect("the peer does not panic");
    assert!(sent <= MAX_BYTES, "the peer could send {sent} bytes");
    result.expect_err("the bytes are no answer")
}

#[compio::test]
async fn a_header_without_end_is_given_up() {
    let error = call_endless_peer("HTTP/1.1 200 OK\r\nx-filler: ").await;
    assert!(matches!(error, CallError::Broken(_)), "{error}");
}

#[compio::test]
async fn a_status_line_without_end_is_given_up() {
    let error = call_endless_peer("xx").await;
    assert!(matches!(error, CallError::Broken(_)), "{error}");
}

#[compio::test]
async fn a_body_without_length_and_end_is_given_up() {
    let error = call_endless_peer("HTTP/1.1 200 OK\r\n\r\n").await;
    assert!(matches!(error, CallError::Malformed(_)), "{error}");
}

#[compio::test]
async fn a_chunk_without_end_is_given_up() {
    let error =
        call_endless_peer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n");
    let error = error.await;
    assert!(matches!(error, CallError::Malformed(_)), "{error}");
}
