//! A worker whose answers are written byte for byte, for answers that no HTTP library writes.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;
use types::LayerRange;

/// Time between the end of an answer and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(30);
/// Stands in the text of an answer for the headers that prove that the worker sent it.
pub const PROOF: &str = "{proof}";

/// An answer to a request.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// Everything that is sent. [`PROOF`] is replaced.
    pub text: String,
    /// Whether the body of the request is left unread. Its connection is then reset after the end
    /// of the answer.
    pub ignores_body: bool,
}

/// A worker that gives all requests the same answer. It serves until the process ends.
pub struct RawWorker {
    /// Its address.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    layers: Option<LayerRange>,
    answer: Mutex<RawAnswer>,
    requests: AtomicUsize,
}

impl RawWorker {
    /// Starts a worker, which holds these layers if it is an engine.
    pub fn start(layers: Option<LayerRange>, answer: RawAnswer) -> io::Result<RawWorker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let answer = Mutex::new(answer);
        let shared = Arc::new(Shared { layers, answer, requests: AtomicUsize::new(0) });
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(RawWorker { addr, shared })
    }

    /// Sets the answer to all further requests.
    pub fn set_answer(&self, answer: RawAnswer) {
        *self.shared.answer.lock().expect("no thread panics with the lock") = answer;
    }

    /// Number of requests so far, without those for its state.
    pub fn requests(&self) -> usize {
        self.shared.requests.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Serves a connection. Errors end it, as the end of the other side does.
    fn serve(&self, mut stream: TcpStream) {
        while let Ok(head) = read_head(&mut stream) {
            let target = head.split(' ').nth(1).unwrap_or_default();
            let answered = match target {
                "/v1/report" => read_body(&mut stream, &head)
                    .and_then(|()| stream.write_all(self.report().as_bytes())),
                "/v1/order" => read_body(&mut stream, &head).and_then(|()| {
                    stream.write_all(b"HTTP/1.1 409 No\r\ncontent-length: 0\r\n\r\n")
                }),
                _ => {
                    // The connection ends with the answer.
                    let _ = self.answer(&mut stream, &head);
                    return;
                }
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &str) -> io::Result<()> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let answer = self.answer.lock().expect("no thread panics with the lock").clone();
        if !answer.ignores_body {
            read_body(stream, head)?;
        }
        let id = field(head, "attempt-id").unwrap_or_default();
        let proof = format!("attempt-id: {id}\r\nworker-signature: signed");
        stream.write_all(answer.text.replace(PROOF, &proof).as_bytes())?;
        stream.shutdown(Shutdown::Write)?;
        // Closing a connection with unread bytes resets it.
        if answer.ignores_body {
            thread::sleep(RESET_DELAY);
        }
        Ok(())
    }

    fn report(&self) -> String {
        let layers = self
            .layers
            .map(|LayerRange { start, end }| json!({"source": start, "to": end, "version": 1}));
        let report = json!({"sequence": 1, "layer_count": layers}).to_string();
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{report}", report.len())
    }
}

/// Reads the head of a request byte by byte, so that nothing of the body is read.
fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

fn read_body(stream: &mut TcpStream, head: &str) -> io::Result<()> {
    let length = field(head, "content-length").and_then(|length| length.parse().ok());
    let bytes = length.unwrap_or(0);
    let read = io::copy(&mut stream.take(bytes), &mut io::sink())?;
    if read < bytes { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}
