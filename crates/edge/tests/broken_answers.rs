//! Tests of broken answers that must not reach callers, with the daemon as a process before upstreams
//! whose answers are sent byte for byte.

mod loopback;
mod process;

use std::{cell::Cell, thread, time::Duration};

use process::NodeProcess;
use standins::platform::{PROOF, PlatformFault, RawAnswer, RawWorker, caller_headers};
use types::LayerRange;

/// Descriptors that the node may have.
const MAX_FDS: usize = 320;
/// Size of an upload, just within the limit of the configuration.
const UPLOAD_BYTES: usize = 1_000_000;
/// Size of any other body.
const SMALL_BYTES: usize = 100;
/// Requests with an upload on each route.
const UPLOADS: usize = 8;
/// Attempts at a request until it reaches an upstream. A node avoids one for a while after a
/// broken answer.
const ATTEMPTS: usize = 40;
/// Pause between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);

/// Path of a route whose answers are streams.
const STREAM_PATH: &str = "/drafts/x";
/// Paths of an idempotent and a non-idempotent route to the plain service, and of one to the engines.
const PATHS: [&str; 3] = ["/look/x", "/file/x", STREAM_PATH];
/// Media type of the answers, so that they are also valid as streams.
const TYPE: &str = "content-type: text/event-stream";
/// Two whole events.
const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
/// The end of a body in chunks.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

/// How a body is delimited.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

/// An answer with this status and this additional line in its head.
fn answer(status: &str, line: &str, framing: Framing) -> RawAnswer {
    let length = EVENTS.len();
    let (field, body) = match framing {
        Framing::Length => (format!("content-length: {length}\r\n"), EVENTS.to_owned()),
        Framing::Chunks => (
            "transfer-encoding: chunked\r\n".to_owned(),
            format!("{length:x}\r\n{EVENTS}{LAST_CHUNK}"),
        ),
        Framing::Connection => (String::new(), EVENTS.to_owned()),
    };
    let line = if line.is_empty() { String::new() } else { format!("{line}\r\n") };
    let text = format!("HTTP/1.1 {status} X\r\n{PROOF}\r\n{TYPE}\r\n{line}{field}\r\n{body}");
    RawAnswer { text, ignores_body: false }
}

/// A node before upstreams that all give the same answer: two replicas of the plain service, and three
/// engines that hold the model together.
struct Deployment {
    node: NodeProcess,
    upstreams: Vec<RawWorker>,
    requests: Cell<usize>,
}

impl Deployment {
    fn start(test: &str) -> Deployment {
        let node = NodeProcess::start(test, 0, MAX_FDS, "");
        let engine = |(start, end)| Some(LayerRange { start, end });
        let [first, second, third] = [(0, 4), (4, 8), (8, 12)].map(engine);
        let start = |layers| {
            let worker = RawWorker::start(layers, answer("200", "", Framing::Length)).unwrap();
            node.control(&PlatformFault::Register { addr: worker.addr, layers });
            worker
        };
        let upstreams = [None, None, first, second, third].map(start).into();
        Deployment { node, upstreams, requests: Cell::new(0) }
    }

    /// Sets the answer to all further requests.
    fn set_answer(&self, answer: &RawAnswer) {
        for upstream in &self.upstreams {
            upstream.set_answer(answer.clone());
        }
    }

    /// Sends one request. Returns the status and everything that was received.
    fn send(&self, path: &str, body_bytes: usize) -> (u16, String) {
        let number = self.requests.replace(self.requests.get() + 1);
        let body = format!("{number} {}", "x".repeat(body_bytes));
        let length = body.len();
        let headers = caller_headers(&format!("request-{number}"));
        let rest = format!("{headers}content-length: {length}\r\n\r\n{body}");
        let answer = self.node.call(self.node.callers, "POST", path, &rest);
        answer.expect("the node answers or closes the connection")
    }

    /// Sends requests until one reaches an upstream. Returns what its caller got.
    fn send_to_upstream(&self, path: &str, body_bytes: usize) -> (u16, String) {
        let reached = || self.upstreams.iter().map(RawWorker::requests).sum::<usize>();
        for _ in 0..ATTEMPTS {
            let before = reached();
            let answer = self.send(path, body_bytes);
            if reached() > before {
                return answer;
            }
            assert_ne!(answer.0, 200, "an answer without an upstream: {answer:?}");
            thread::sleep(ATTEMPT_PAUSE);
        }
        panic!("no request for {path} reaches an upstream");
    }

    /// Checks that callers get a failure in place of this answer.
    fn check_rejected(&self, path: &str, answer: &RawAnswer) {
        self.set_answer(answer);
        let (status, text) = self.send_to_upstream(path, SMALL_BYTES);
        assert_eq!(status, 502, "{path}: {answer:?} became {text:?}");
    }

    /// Checks that callers get the whole of this answer.
    fn check_passed_on(&self, path: &str, answer: &RawAnswer, body_bytes: usize) {
        self.set_answer(answer);
        let (status, text) = self.send_to_upstream(path, body_bytes);
        assert_eq!(status, 200, "{path}: {text:?}");
        assert!(is_complete(path, &text), "{path}: {text:?}");
    }
}

/// Whether a caller takes what it got for a whole answer. Streams come in chunks, other answers have a
/// length.
fn is_complete(path: &str, text: &str) -> bool {
    text.ends_with(if path == STREAM_PATH { LAST_CHUNK } else { EVENTS })
}

/// Guards against the start of an answer that reaches the caller as a whole one: an upstream answers a
/// long upload before it has read it, ends the connection, and resets it afterwards.
#[test]
fn an_answer_that_ends_during_the_upload_is_broken() {
    let deployment = Deployment::start("early-end");
    let sound = answer("200", "", Framing::Connection);
    let broken = RawAnswer { ignores_body: true, ..sound.clone() };
    let complete = PATHS.map(|path| {
        deployment.check_passed_on(path, &sound, UPLOAD_BYTES);
        deployment.set_answer(&broken);
        let answers = (0..UPLOADS).map(|_| deployment.send_to_upstream(path, UPLOAD_BYTES));
        answers.filter(|(status, text)| *status == 200 && is_complete(path, text)).count()
    });
    assert_eq!(complete, [0, 0, 0], "complete of {UPLOADS} answers each on {PATHS:?}");
}

/// Guards against an answer whose status is none that reaches the caller.
#[test]
fn an_answer_with_an_invalid_status_is_broken() {
    let deployment = Deployment::start("status");
    for path in PATHS {
        for framing in FRAMINGS {
            for status in ["000", "099", "1000", "20", "2x0", "-200"] {
                deployment.check_rejected(path, &answer(status, "", framing));
            }
            deployment.check_passed_on(path, &answer("200", "", framing), SMALL_BYTES);
        }
    }
}

/// Guards against an answer whose head has a field with an invalid name: the line might be passed on,
/// or change where the body begins or ends.
#[test]
fn an_answer_with_an_invalid_field_name_is_broken() {
    let deployment = Deployment::start("fields");
    let lines = [
        "x note: 1",
        "x\tnote: 1",
        "x\u{1}note: 1",
        "x\u{0}note: 1",
        "x\u{7f}note: 1",
        "x-note : 1",
        "content-length : 3",
        "transfer-encoding : chunked",
        "x\rnote: 1",
        "note",
        ": 1",
    ];
    for path in PATHS {
        for framing in FRAMINGS {
            for line in lines {
                deployment.check_rejected(path, &answer("200", line, framing));
            }
            deployment.check_passed_on(path, &answer("200", "x-note: 1", framing), SMALL_BYTES);
        }
    }
}
