//! Guards against connections that a stopping node closes without an answer to a request that it has
//! read: one that waits for the end of a pause, or whose body arrives after the signal. With the daemon
//! as a process, signals in series, and callers that use their connections until it is gone.

mod loopback;
mod process;

use std::{
    io::{Read, Write},
    net::TcpStream,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use process::NodeProcess;
use standins::platform::{PlatformFault, caller_headers};

/// Descriptors that the node may have.
const MAX_FDS: usize = 320;
/// Requests of each kind.
const REQUESTS: usize = 4;
/// Pause that the only replica asks for. It ends after the grace period of the node, 2 s, less the time
/// for its exit, and before the requests' deadline.
const PAUSE_MILLIS: u64 = 1500;
/// Time after the signal at which slow bodies end.
const BODY_DELAY: Duration = Duration::from_millis(500);
/// Time for requests to arrive.
const SEND_TIME: Duration = Duration::from_millis(100);
/// Longest wait for an answer, or for the end of the process.
const LIMIT: Duration = Duration::from_secs(10);
/// Body of the requests.
const BODY: &str = "filing";

/// A connection to the node with one request.
struct Connection {
    stream: TcpStream,
    kind: &'static str,
}

impl Connection {
    /// Opens a connection and sends the first `sent` bytes of the body.
    fn open(node: &NodeProcess, kind: &'static str, number: usize, sent: usize) -> Connection {
        let stream = TcpStream::connect(node.callers).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        let mut connection = Connection { stream, kind };
        connection.send(&format!("{kind}-{number}"), sent);
        connection
    }

    fn send(&mut self, id: &str, sent: usize) {
        let (headers, length) = (caller_headers(id), BODY.len());
        let head = format!(
            "POST /file/x HTTP/1.1\r\nhost: soak.example\r\n{headers}content-length: {length}\r\n\r\n"
        );
        self.stream.write_all(format!("{head}{}", &BODY[..sent]).as_bytes()).unwrap();
    }

    /// The status of the next answer; `None` if the connection ends without one.
    fn status(&mut self) -> Option<u16> {
        let mut answer = Vec::new();
        let mut byte = [0];
        while !answer.ends_with(b"\r\n\r\n") {
            if self.stream.read(&mut byte).ok()? == 0 {
                return None;
            }
            answer.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&answer).into_owned();
        let length = head.to_ascii_lowercase().lines().find_map(|line| {
            line.strip_prefix("content-length: ").and_then(|length| length.parse::<usize>().ok())
        });
        let mut body = vec![0; length.unwrap_or_default()];
        self.stream.read_exact(&mut body).ok()?;
        head.split(' ').nth(1)?.parse().ok()
    }
}

fn signal(node: &NodeProcess, name: &str) {
    let sent = Command::new("kill").args(["-s", name, &node.child.id().to_string()]).status();
    assert!(sent.unwrap().success(), "the process runs");
}

#[test]
fn a_stopping_node_answers_each_request_that_it_has_read() {
    let mut node = NodeProcess::start("stopping", 1, MAX_FDS, "[overload]\n");
    let mut kept = Connection::open(&node, "kept", 0, BODY.len());
    assert_eq!(kept.status(), Some(200), "the node serves");
    let pause = PlatformFault::Pause { worker: 0, millis: 5000, pause_millis: PAUSE_MILLIS };
    node.control(&pause);
    let open = |kind: &'static str, sent: usize| {
        (0..REQUESTS).map(|number| Connection::open(&node, kind, number, sent)).collect::<Vec<_>>()
    };
    let mut waiting = open("waiting", BODY.len());
    let mut slow = open("slow", BODY.len() - 1);
    let mut endless = open("endless", 1);
    thread::sleep(SEND_TIME);
    let stopped = Instant::now();
    for name in ["TERM", "HUP", "TERM"] {
        signal(&node, name);
    }
    thread::sleep(SEND_TIME);
    kept.send("kept-1", BODY.len());
    assert!(kept.status().is_some(), "a request on a kept connection is answered");
    thread::sleep(BODY_DELAY.saturating_sub(stopped.elapsed()));
    for connection in &mut slow {
        connection.stream.write_all(&BODY.as_bytes()[BODY.len() - 1..]).unwrap();
    }
    for connection in waiting.iter_mut().chain(&mut slow).chain(&mut endless) {
        assert_eq!(connection.status(), Some(503), "{}", connection.kind);
    }
    while node.child.try_wait().unwrap().is_none() {
        assert!(stopped.elapsed() < LIMIT, "the process ends");
        thread::sleep(Duration::from_millis(20));
    }
}
