//! Guards against a response that looks complete although its peer has failed: the peer sends the
//! start of a response while the request is still arriving, ends its side of the connection, and
//! resets the connection only then. A body without a length ends with its connection.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration,
};

use clock::RuntimeClock;
use http::Request;
use transport::{Body, CallError, EventReader, HttpClient, Timeouts};

const TIMEOUTS: Timeouts = Timeouts::from_millis(1000, 5000);
const MAX_RESPONSE_BYTES: usize = 1 << 16;
/// Time between the end of a response and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(30);
/// Size of a request that the sending socket takes whole while the peer reads nothing.
const BUFFERED_BYTES: usize = 1 << 20;
/// Size of a request of which the HTTP library keeps a part.
const LARGE_BYTES: usize = 16 << 20;
/// Calls of each kind.
const CALLS: usize = 6;

/// Heads of responses whose body ends with the connection.
const UNFRAMED_HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
];
/// Whole events of a stream, also used as a part of any other body.
const EVENTS: &str = "data: 1\n\ndata: 2\n\n";

/// The first chunk of a request whose body is produced while it is sent.
const FIRST_CHUNK: &str = "1\r\nx\r\n";

/// What a peer does after it has read the head of a request.
#[derive(Clone, Copy, Debug)]
enum Peer {
    /// Responds, ends its side of the connection, and resets the connection after this time.
    EndsAndResets(Duration),
    /// Responds, ends its side of the connection, and resets the connection once the caller has read
    /// the response.
    EndsAndWaits,
    /// Responds and resets the connection.
    Resets,
    /// Reads the rest of the request, responds and closes the connection.
    ReadsAll,
    /// Responds, reads the rest of the request and closes the connection.
    RespondsFirst,
}

impl Peer {
    /// Serves one connection. Closing it with unread bytes resets it.
    fn serve(
        self,
        mut stream: TcpStream,
        response: &str,
        body_bytes: usize,
        is_read: &mpsc::Receiver<()>,
    ) {
        read_head(&mut stream);
        match self {
            Peer::EndsAndResets(delay) => {
                stream.write_all(response.as_bytes()).unwrap();
                stream.shutdown(Shutdown::Write).unwrap();
                thread::sleep(delay);
            }
            Peer::EndsAndWaits => {
                stream.write_all(response.as_bytes()).unwrap();
                stream.shutdown(Shutdown::Write).unwrap();
                is_read.recv().unwrap();
            }
            Peer::Resets => stream.write_all(response.as_bytes()).unwrap(),
            Peer::ReadsAll => {
                read_body(&mut stream, body_bytes);
                stream.write_all(response.as_bytes()).unwrap();
            }
            Peer::RespondsFirst => {
                stream.write_all(response.as_bytes()).unwrap();
                read_body(&mut stream, body_bytes);
            }
        }
    }
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.extend(byte);
    }
}

fn read_body(stream: &mut TcpStream, bytes: usize) {
    let read = std::io::copy(&mut stream.take(bytes as u64), &mut std::io::sink());
    assert_eq!(read.unwrap(), bytes as u64, "the whole request arrives");
}

/// Sends a request of `body_bytes` to a peer, and reads its response as a stream of events or whole.
/// Returns what was read.
async fn call(
    peer: Peer,
    response: &str,
    body_bytes: usize,
    is_stream: bool,
) -> Result<String, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let response = response.to_owned();
    let (read, is_read) = mpsc::channel();
    let serving = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        peer.serve(stream, &response, body_bytes, &is_read);
    });
    let client = HttpClient::new(Rc::new(RuntimeClock::new()), addr);
    let body = Body::from(vec![b'x'; body_bytes]);
    let request = Request::post("/").header("host", "h").body(body).unwrap();
    let result = async {
        let response = client.send(request, TIMEOUTS).await?;
        if !is_stream {
            let body = response.collect(MAX_RESPONSE_BYTES, TIMEOUTS.progress).await?;
            return Ok(String::from_utf8_lossy(&body).into_owned());
        }
        let mut events = EventReader::new(response);
        let mut read = String::new();
        while let Some(event) = events.next(TIMEOUTS.progress).await? {
            read += &format!("data: {}\n\n", String::from_utf8_lossy(&event));
        }
        Ok(read)
    }
    .await;
    // Fails if the peer has not waited.
    let _ = read.send(());
    serving.join().unwrap();
    result
}

/// Calls a peer that fails, and checks that no response looks complete: with all heads, whole and as a
/// stream.
async fn check_broken(peer: Peer, body_bytes: usize) {
    let mut complete = 0;
    for head in UNFRAMED_HEADS {
        for is_stream in [false, true] {
            for _ in 0..CALLS {
                let result = call(peer, &format!("{head}{EVENTS}"), body_bytes, is_stream).await;
                complete += usize::from(result.is_ok());
            }
        }
    }
    let calls = 2 * CALLS * UNFRAMED_HEADS.len();
    assert_eq!(complete, 0, "complete of {calls} responses, {peer:?}, {body_bytes} bytes");
}

#[compio::test]
async fn a_response_that_ends_while_the_request_is_written_is_broken() {
    check_broken(Peer::EndsAndResets(RESET_DELAY), LARGE_BYTES).await;
}

/// The socket has taken the whole request, and the peer has not.
#[compio::test]
async fn a_response_that_ends_before_the_request_has_arrived_is_broken() {
    check_broken(Peer::EndsAndResets(RESET_DELAY), BUFFERED_BYTES).await;
}

/// Depending on who is faster, the reset is noticed by a write, by a read, or only after the end.
#[compio::test]
async fn a_response_whose_connection_is_reset_at_its_end_is_broken() {
    for peer in [Peer::EndsAndResets(Duration::ZERO), Peer::Resets] {
        for body_bytes in [BUFFERED_BYTES, LARGE_BYTES] {
            check_broken(peer, body_bytes).await;
        }
    }
}

/// Guards against a request that is whole as far as the socket knows: its producer pauses.
#[compio::test]
async fn a_response_that_ends_before_the_request_is_produced_is_broken() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream);
        read_body(&mut stream, FIRST_CHUNK.len());
        write!(stream, "{}{EVENTS}", UNFRAMED_HEADS[0]).unwrap();
    });
    let body = Body::streamed(|mut writer| async move {
        writer.write("x").await;
        std::future::pending().await
    });
    let request = Request::post("/").header("host", "h").body(body).unwrap();
    let client = HttpClient::new(Rc::new(RuntimeClock::new()), addr);
    let response = client.send(request, TIMEOUTS).await.unwrap();
    let result = response.collect(MAX_RESPONSE_BYTES, TIMEOUTS.progress).await;
    assert!(matches!(result, Err(CallError::Broken(_))), "{result:?}");
    serving.join().unwrap();
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
        write!(stream, "{}", UNFRAMED_HEADS[0]).unwrap();
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

/// Guards against a check that rejects sound responses whose body ends with the connection.
#[compio::test]
async fn a_response_after_the_whole_request_is_complete() {
    for body_bytes in [0, 100, BUFFERED_BYTES, LARGE_BYTES] {
        for head in UNFRAMED_HEADS {
            for is_stream in [false, true] {
                let response = format!("{head}{EVENTS}");
                for peer in [Peer::ReadsAll, Peer::RespondsFirst] {
                    let result = call(peer, &response, body_bytes, is_stream).await;
                    assert_eq!(result.ok().as_deref(), Some(EVENTS), "{peer:?}, {body_bytes}");
                }
            }
        }
    }
}

/// A body with a length or in chunks says by itself where it ends, so it may come early.
#[compio::test]
async fn an_early_response_with_a_length_or_in_chunks_is_complete() {
    let sized = format!("HTTP/1.1 413 No\r\ncontent-length: {}\r\n\r\n{EVENTS}", EVENTS.len());
    let chunk = format!("{:x}\r\n{EVENTS}\r\n", EVENTS.len());
    let chunked = format!("HTTP/1.1 413 No\r\ntransfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n");
    for response in [sized, chunked] {
        for is_stream in [false, true] {
            let result = call(Peer::EndsAndWaits, &response, LARGE_BYTES, is_stream).await;
            assert_eq!(result.ok().as_deref(), Some(EVENTS), "{response:?}");
        }
    }
}

/// Guards against a framed response that is cut off and looks complete because its request was still
/// being written.
#[compio::test]
async fn an_early_response_with_a_length_or_in_chunks_is_broken_if_it_is_cut_off() {
    let sized = format!("HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n{EVENTS}");
    let chunk = format!("{:x}\r\n{EVENTS}\r\n", EVENTS.len());
    let chunked = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}");
    for response in [sized, chunked] {
        for is_stream in [false, true] {
            for peer in [Peer::EndsAndResets(RESET_DELAY), Peer::Resets] {
                let result = call(peer, &response, LARGE_BYTES, is_stream).await;
                assert!(matches!(result, Err(CallError::Broken(_))), "{result:?}, {peer:?}");
            }
        }
    }
}
