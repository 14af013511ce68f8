//! The exit codes of `gypsumrack-edge explain`, with the daemon's binary as a process.

use std::{
    net::TcpListener,
    process::{Command, Output},
};

fn explain(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gypsumrack-edge"));
    command.arg("explain").args(arguments).output().expect("the binary can be started")
}

/// Guards against a command that reports success, or that says nothing, without a node.
#[test]
fn a_node_that_is_not_there_is_a_failure() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound").to_string();
    drop(listener);
    let output = explain(&["--health", &addr, "--host", "h.example", "--path", "/x"]);
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains(&addr) && message.contains("does not answer"), "{message}");
}

/// Guards against facts that are left out or no numbers and taken for others.
#[test]
fn missing_and_odd_facts_are_wrong_usage() {
    let health = ["--health", "127.0.0.1:1"];
    for facts in [
        &["--host", "h.example"][..],
        &["--path", "/x"],
        &["--host", "h.example", "--path", "/x", "--prompt", "-1"],
        &["--host", "h.example", "--path", "/x", "--output", "4294967296"],
    ] {
        assert_eq!(explain(&[&health, facts].concat()).status.code(), Some(2), "{facts:?}");
    }
}
