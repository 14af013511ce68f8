//! The commands that ask a node's operators address, against a node with canned answers.

use std::{net::SocketAddr, process::Command, rc::Rc, sync::mpsc};

use clock::RuntimeClock;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, ready},
};
use http::{Request, Response, StatusCode};
use serde_json::{Value, json};
use transport::{Body, Handler, RequestBody, Server, StopSignal, json_response};

/// Answers each path with a JSON value, and others with 404.
struct Canned(Vec<(&'static str, Value)>);

impl Handler for Canned {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let path = request.uri().path();
        let answer = self.0.iter().find(|(known, _)| *known == path);
        let response = match answer {
            Some((_, value)) => json_response(StatusCode::OK, value),
            None => json_response(StatusCode::NOT_FOUND, &"no such path"),
        };
        ready(response).boxed_local()
    }
}

/// Starts a node in a thread of its own, which ends with the test.
fn start(answers: Vec<(&'static str, Value)>) -> String {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(Rc::new(RuntimeClock::new()), any, StopSignal::new()).await;
            let server = server.unwrap();
            sender.send(server.local_addr().unwrap()).unwrap();
            server.run(Rc::new(Canned(answers))).await;
        });
    });
    receiver.recv().unwrap().to_string()
}

fn run(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_gypsumrack")).args(args).output().unwrap();
    (output.status.code().unwrap(), String::from_utf8(output.stdout).unwrap())
}

fn status(node: &str, revision: u64) -> Value {
    json!({ "node": node, "incarnation": 5, "readiness": "ready", "revision": revision,
        "running": 0, "engines": [] })
}

/// Guards against a revision that is called in force everywhere although a node is behind or does
/// not answer.
#[test]
fn config_status_counts_the_nodes_of_a_revision() {
    let fleet = |revision| json!([status("a", 7), status("b", revision)]);
    let mixed = start(vec![("/fleet", fleet(6))]);
    let (code, text) = run(&["config", "status", "--node", &mixed]);
    assert_eq!(code, 1);
    assert!(text.contains("revision 7 is in force on 1 of 2 nodes"), "{text}");
    let equal = start(vec![("/fleet", fleet(7))]);
    assert_eq!(run(&["config", "status", "--node", &equal]).0, 0);
    let (first, second) = (start(vec![("/status", status("a", 7))]), "127.0.0.1:1");
    assert_eq!(run(&["config", "status", "--node", &first]).0, 0);
    let (code, text) = run(&["config", "status", "--node", &first, "--node", second]);
    assert_eq!(code, 1);
    assert!(text.contains("in force on 1 of 2 nodes"), "{text}");
}

/// Guards against decisions that are printed in a form that nobody can read, and against success
/// for an unknown request.
#[test]
fn explain_prints_the_decisions() {
    let steps = json!([
        { "after_millis": 1, "decision": { "routed": {
            "attempt": 1, "stages": ["e0", "e1"], "given": 0 } } },
        { "after_millis": 9, "decision": { "attempt_failed": {
            "attempt": 1, "cause": "stream broke", "suspects": ["e1"] } } },
        { "after_millis": 20, "decision": { "answered": { "verdict": "ran" } } },
    ]);
    let trace = json!([{ "request": "r1", "node": "a", "organisation": "o", "class": "interactive",
        "target": "permits", "arrived_millis": 1000, "steps": steps }]);
    let node = start(vec![("/explain/r1", trace.clone()), ("/explain/r2", json!([]))]);
    let (code, text) = run(&["explain", "r1", "--node", &node]);
    assert_eq!(code, 0);
    assert!(text.contains("attempt 1 on e0 > e1, 0 tokens given before"), "{text}");
    assert!(text.contains("attempt 1 failed: stream broke; suspects e1"), "{text}");
    let (_, text) = run(&["explain", "r1", "--json", "--node", &node]);
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap(), trace);
    assert_eq!(run(&["explain", "r2", "--node", &node]).0, 1);
}
