//! Peers that send bytes without end, in the head or in the body of a message. The other side gives up
//! after a bounded number of bytes and closes the connection.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::RuntimeClock;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Request, Response, StatusCode};
use transport::{Body, CallError, Handler, HttpClient, RequestBody, Server, StopSignal, Timeouts};

/// Bytes that the client and the buffers of the connection may take before it is closed.
const MAX_BYTES: usize = 16 << 20;
const TIMEOUTS: Timeouts =
    Timeouts { connect: Duration::from_secs(1), progress: Duration::from_secs(10) };

/// Sends `start` and then `unit` again and again until the other side closes the connection. Returns
/// the number of bytes.
async fn send_endlessly(mut stream: TcpStream, start: &'static str, unit: &str) -> usize {
    let BufResult(result, _) = stream.write_all(start).await;
    result.expect("the other side reads the start");
    let mut sent = 0;
    let mut chunk = unit.repeat((16 << 10) / unit.len()).into_bytes();
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
    call_peer_that_repeats(start, "x").await
}

/// Like [`call_endless_peer`], with `unit` in place of the bytes.
async fn call_peer_that_repeats(start: &'static str, unit: &'static str) -> CallError {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr: SocketAddr = listener.local_addr().expect("the socket is bound");
    let peer = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let BufResult(_, _) = stream.read(Vec::with_capacity(4096)).await;
        send_endlessly(stream, start, unit).await
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

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[compio::test]
async fn interim_responses_without_end_are_given_up() {
    let error = call_peer_that_repeats("", "HTTP/1.1 100 Continue\r\n\r\n").await;
    assert!(matches!(error, CallError::Broken(_)), "{error}");
}

#[compio::test]
async fn a_few_interim_responses_are_no_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr: SocketAddr = listener.local_addr().expect("the socket is bound");
    let peer = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(40);
        for _ in 0..3 {
            let BufResult(_, _) = stream.read(Vec::with_capacity(4096)).await;
            let response = format!("{interim}HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n7");
            let BufResult(result, _) = stream.write_all(response).await;
            result.expect("the client reads the response");
        }
    });
    let client = HttpClient::new(Rc::new(RuntimeClock::new()), addr);
    for _ in 0..3 {
        assert_eq!(client.get_json::<u32>("/report", TIMEOUTS).await.ok(), Some(7));
    }
    peer.await.expect("the peer does not panic");
}

#[compio::test]
async fn empty_lines_without_end_before_a_response_are_given_up() {
    let error = call_peer_that_repeats("", "\r\n").await;
    assert!(matches!(error, CallError::Broken(_)), "{error}");
}

#[compio::test]
async fn a_chunk_size_without_end_is_given_up() {
    let error = call_peer_that_repeats(CHUNKED_HEAD, "0").await;
    assert!(matches!(error, CallError::Broken(_)), "{error}");
}

#[compio::test]
async fn a_chunk_extension_without_end_is_given_up() {
    let error = call_peer_that_repeats(CHUNKED_HEAD, "1;x").await;
    assert!(matches!(error, CallError::Broken(_)), "{error}");
}

#[compio::test]
async fn trailers_without_end_are_given_up() {
    let error = call_peer_that_repeats(CHUNKED_HEAD, "0\r\nx: y\r\n").await;
    assert!(matches!(error, CallError::Broken(_)), "{error}");
}

/// Reads the whole body of each request.
struct ReadBody;

impl Handler for ReadBody {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            let read = request.into_body().collect_within(MAX_BYTES, TIMEOUTS.progress).await;
            let status = if read.is_ok() { StatusCode::OK } else { StatusCode::BAD_REQUEST };
            let mut response = Response::new(Body::empty());
            *response.status_mut() = status;
            response
        }
        .boxed_local()
    }
}

async fn start_server() -> SocketAddr {
    let clock = Rc::new(RuntimeClock::new());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(clock, any_port, StopSignal::new()).await.expect("a port is free");
    let addr = server.local_addr().expect("the socket is bound");
    compio::runtime::spawn(server.run(Rc::new(ReadBody))).detach();
    addr
}

/// Sends `start` and `unit` without end to a server. Checks how much the server takes before it closes
/// the connection.
async fn send_endless_request(start: &'static str, unit: &'static str) {
    let addr = start_server().await;
    let stream = TcpStream::connect(addr).await.expect("the server accepts connections");
    let sent = send_endlessly(stream, start, unit).await;
    assert!(sent <= MAX_BYTES, "the server has taken {sent} bytes");
}

#[compio::test]
async fn a_caller_that_sends_empty_lines_without_end_is_given_up() {
    send_endless_request("", "\r\n").await;
}

#[compio::test]
async fn a_caller_that_sends_a_header_without_end_is_given_up() {
    send_endless_request("GET / HTTP/1.1\r\nx-filler: ", "x").await;
}

const CHUNKED_REQUEST: &str = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";

#[compio::test]
async fn a_caller_that_sends_a_chunk_size_without_end_is_given_up() {
    send_endless_request(CHUNKED_REQUEST, "0").await;
}

#[compio::test]
async fn a_caller_that_sends_trailers_without_end_is_given_up() {
    send_endless_request(CHUNKED_REQUEST, "0\r\nx: y\r\n").await;
}

/// Guards against limits on endless bytes that sound messages meet.
#[compio::test]
async fn a_large_body_in_chunks_of_one_byte_is_read_whole() {
    const CHUNKS: usize = 400_000;
    let addr = start_server().await;
    let mut stream = TcpStream::connect(addr).await.expect("the server accepts connections");
    let request = format!("{CHUNKED_REQUEST}{}0\r\n\r\n", "1\r\nx\r\n".repeat(CHUNKS));
    let BufResult(result, _) = stream.write_all(request).await;
    result.expect("the server reads the body");
    let BufResult(result, reply) = stream.read(Vec::with_capacity(4096)).await;
    result.expect("the server answers");
    assert!(reply.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&reply));
}
