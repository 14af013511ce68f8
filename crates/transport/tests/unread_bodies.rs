//! Tests of responses that are sent while the request is still arriving, over real connections: closing a connection with unread bytes resets it, and the reset may overtake the
//! response.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::{Duration, Instant},
};

use clock::{Clock, RuntimeClock, Timestamp};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Request, Response, StatusCode};
use transport::{Body, Handler, RequestBody, Server, StopSignal};

/// Factor by which time passes faster for the server, so that its time limits pass within a test.
const SPEED: u32 = 20;

/// A clock whose timers are shortened by [`SPEED`].
struct FastClock(RuntimeClock);

impl Clock for FastClock {
    fn now(&self) -> Timestamp {
        self.0.now()
    }

    fn unix_millis(&self) -> u64 {
        self.0.unix_millis()
    }

    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        self.0.sleep(duration / SPEED)
    }
}

/// Refuses each request by its head.
struct RefusingHandler;

impl Handler for RefusingHandler {
    fn handle(self: Rc<Self>, _: Request<RequestBody>) -> LocalBoxFuture<'static, Response<Body>> {
        let mut response = Response::new(Body::from("no such route"));
        *response.status_mut() = StatusCode::NOT_FOUND;
        std::future::ready(response).boxed_local()
    }
}

/// Runs `call` against a server that refuses each request by its head.
async fn call_server<T: Send + 'static>(call: impl FnOnce(TcpStream) -> T + Send + 'static) -> T {
    let clock: Rc<dyn Clock> = Rc::new(FastClock(RuntimeClock::new()));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(clock, any_port, StopSignal::new()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let serving = compio::runtime::spawn(server.run(Rc::new(RefusingHandler)));
    let result = compio::runtime::spawn_blocking(move || {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        call(stream)
    })
    .await
    .unwrap();
    drop(serving);
    result
}

/// Reads one response, whose body must be `no such route`.
fn read_refusal(stream: &mut TcpStream) -> io::Result<()> {
    const END: &str = "no such route";
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    while !response.ends_with(END.as_bytes()) {
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        response.extend_from_slice(&buffer[..length]);
    }
    assert!(response.starts_with(b"HTTP/1.1 404 "), "{}", String::from_utf8_lossy(&response));
    Ok(())
}

const PIECE_BYTES: usize = 20_000;
const PIECES: usize = 10;

/// Sends a request whose body arrives in pieces, and reads the response after the last piece.
fn send_in_pieces(stream: &mut TcpStream, is_chunked: bool) -> io::Result<()> {
    let piece = "x".repeat(PIECE_BYTES);
    let (framing, piece, end) = if is_chunked {
        let chunk = format!("{PIECE_BYTES:x}\r\n{piece}\r\n");
        ("transfer-encoding: chunked".to_owned(), chunk, "0\r\n\r\n")
    } else {
        (format!("content-length: {}", PIECE_BYTES * PIECES), piece, "")
    };
    write!(stream, "POST /gone HTTP/1.1\r\nhost: h\r\n{framing}\r\n\r\n")?;
    for _ in 0..PIECES {
        stream.write_all(piece.as_bytes())?;
        std::thread::sleep(Duration::from_millis(10));
    }
    stream.write_all(end.as_bytes())?;
    read_refusal(stream)
}

/// Guards against a refusal that is lost with its connection: the caller sends the rest of its body
/// after the refusal, and reads only then. The connection can be used again afterwards.
#[compio::test]
async fn a_refusal_reaches_a_caller_that_is_still_sending_its_body() {
    for is_chunked in [false, true] {
        call_server(move |mut stream| {
            for _ in 0..2 {
                send_in_pieces(&mut stream, is_chunked).expect("the refusal arrives");
            }
        })
        .await;
    }
}

/// Guards against a refused body that has no end and keeps the connection open.
#[compio::test]
async fn an_endless_body_does_not_hold_the_connection() {
    let sent = call_server(|mut stream| {
        let chunk = format!("{PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(PIECE_BYTES));
        let head = "POST /gone HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        read_refusal(&mut stream).expect("the refusal arrives at once");
        let mut sent = 0;
        while sent < 64 << 20 && stream.write_all(chunk.as_bytes()).is_ok() {
            sent += chunk.len();
        }
        sent
    })
    .await;
    assert!(sent < 32 << 20, "the caller could send {sent} bytes");
}

/// Guards against a refused body that arrives slowly and keeps the connection open.
#[compio::test]
async fn a_slow_body_does_not_hold_the_connection() {
    let held = call_server(|mut stream| {
        let head = "POST /gone HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        read_refusal(&mut stream).expect("the refusal arrives at once");
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(3) && stream.write_all(b"x").is_ok() {
            std::thread::sleep(Duration::from_millis(10));
        }
        started.elapsed()
    })
    .await;
    assert!(held < Duration::from_secs(3), "the connection was open for {held:?}");
}

/// Guards against a caller that waits for permission to send its body and keeps the connection open
/// after the refusal.
#[compio::test]
async fn a_refused_body_that_waits_for_permission_is_not_waited_for() {
    let held = call_server(|mut stream| {
        let head = "POST /gone HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n\
            content-length: 1000000\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        read_refusal(&mut stream).expect("the refusal arrives at once");
        let started = Instant::now();
        let _ = stream.read(&mut [0; 16]);
        started.elapsed()
    })
    .await;
    assert!(held < Duration::from_millis(100), "the connection was open for {held:?}");
}

/// Guards against a rejection of an invalid request that is lost with its connection, because the
/// caller is still sending.
#[compio::test]
async fn the_rejection_of_an_invalid_head_reaches_a_caller_that_is_still_sending() {
    call_server(|mut stream| {
        stream.write_all(b"POST /gone HTTP/9.9\r\nhost: h\r\n\r\n").unwrap();
        for _ in 0..PIECES {
            std::thread::sleep(Duration::from_millis(5));
            stream.write_all(&[b'x'; PIECE_BYTES]).expect("the connection is open");
        }
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("the rejection arrives");
        assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    })
    .await;
}
