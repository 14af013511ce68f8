//! Tests of the commands that call a node's operators address, against a server with canned
//! answers.

use std::{net::SocketAddr, process::Command, rc::Rc, sync::mpsc};

use clock::RuntimeClock;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, ready},
};
use http::{Request, Response, StatusCode};
use serde_json::{Value, json};
use transport::{Body, Handler, RequestBody, Server, StopSignal, json_response};

/// Answers each listed path with its JSON value, and others with status 404.
struct CannedAnswers(Vec<(&'static str, Value)>);

impl Handler for CannedAnswers {
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

/// Starts a server in a thread of its own, which ends with the test process, and returns its
/// address.
fn start_node(answers: Vec<(&'static str, Value)>) -> String {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(Rc::new(RuntimeClock::new()), any, StopSignal::new()).await;
            let server = server.unwrap();
            sender.send(server.local_addr().unwrap()).unwrap();
            server.run(Rc::new(CannedAnswers(answers))).await;
        });
    });
    receiver.recv().unwrap().to_string()
}

fn run(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_gypsumrack")).args(args).output().unwrap();
    (output.status.code().unwrap(), String::from_utf8(output.stdout).unwrap())
}

fn node_status(node: &str, revision: u64) -> Value {
    json!({ "node": node, "incarnation": 5, "readiness": "ready", "revision": revision,
        "running": 0, "engines": [] })
}

/// Guards against a revision that is reported as in force on all nodes although one has an older
/// revision or does not answer.
#[test]
fn config_status_fails_unless_all_nodes_answer_with_the_newest_revision() {
    let fleet = |revision| json!([node_status("a", 7), node_status("b", revision)]);
    let mixed = start_node(vec![("/fleet", fleet(6))]);
    let (code, text) = run(&["config", "status", "--node", &mixed]);
    assert_eq!(code, 1);
    assert!(text.contains("revision 7 is in force on 1 of 2 nodes"), "{text}");
    let equal = start_node(vec![("/fleet", fleet(7))]);
    assert_eq!(run(&["config", "status", "--node", &equal]).0, 0);
    let (first, second) = (start_node(vec![("/status", node_status("a", 7))]), "127.0.0.1:1");
    assert_eq!(run(&["config", "status", "--node", &first]).0, 0);
    let (code, text) = run(&["config", "status", "--node", &first, "--node", second]);
    assert_eq!(code, 1);
    assert!(text.contains("in force on 1 of 2 nodes"), "{text}");
}

/// Guards against a changed output of `explain`, and against success for an unknown request.
#[test]
fn explain_prints_decisions_and_fails_for_an_unknown_request() {
    let steps = json!([
        { "after_millis": 1, "decision": { "routed": {
            "attempt": 1, "stages": ["e0", "e1"], "given": 0 } } },
        { "after_millis": 9, "decision": { "attempt_failed": {
            "attempt": 1, "cause": "stream broke", "suspects": ["e1"] } } },
        { "after_millis": 20, "decision": { "answered": { "verdict": "ran" } } },
    ]);
    let trace = json!([{ "request": "r1", "node": "a", "organisation": "o", "class": "interactive",
        "target": "permits", "arrived_millis": 1000, "steps": steps }]);
    let node = start_node(vec![("/explain/r1", trace.clone()), ("/explain/r2", json!([]))]);
    let (code, text) = run(&["explain", "r1", "--node", &node]);
    assert_eq!(code, 0);
    assert!(text.contains("attempt 1 on e0 > e1, 0 tokens given before"), "{text}");
    assert!(text.contains("attempt 1 failed: stream broke; suspects e1"), "{text}");
    let (_, text) = run(&["explain", "r1", "--json", "--node", &node]);
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap(), trace);
    assert_eq!(run(&["explain", "r2", "--node", &node]).0, 1);
}
