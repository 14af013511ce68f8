//! Tests of the daemon as a process: its log and its graceful shutdown.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Command, Stdio},
};

use serde_json::Value;

const SETTINGS: &str = r#"
name = "node-0"
domain = "north"
region = "home"
listen = { callers = "127.0.0.1:0", operators = "127.0.0.1:0", peers = "127.0.0.1:0" }
platform = { keyvalue = "127.0.0.1:1", vms = "127.0.0.1:1", weights = "127.0.0.1:1" }
"#;

/// Guards against log lines that a log store cannot index: a log field with the name `message`
/// appeared a second time beside the event's own text. Also guards against a node that does not
/// stop when an operator drains it.
#[test]
fn a_failed_request_is_logged_with_its_fields_and_the_node_stops_when_asked() {
    let file = std::env::temp_dir().join(format!("gypsumrack-node-{}.toml", std::process::id()));
    std::fs::write(&file, SETTINGS).unwrap();
    let binary = env!("CARGO_BIN_EXE_gypsumrack");
    let mut node = Command::new(binary)
        .args(["serve", "--settings", file.to_str().unwrap()])
        .env_remove("RUST_LOG")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(node.stdout.take().unwrap()).lines();
    let mut addrs = std::collections::BTreeMap::new();
    for line in lines {
        let line = line.unwrap();
        let (name, addr) = line.split_once(' ').unwrap();
        addrs.insert(name.to_owned(), addr.to_owned());
        if name == "operators" {
            break;
        }
    }
    let (callers, operators) = (&addrs["callers"], &addrs["operators"]);
    let mut caller = TcpStream::connect(callers).unwrap();
    let request = "GET /services/registry/x HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
                   x-organisation: cauce\r\nx-request-id: r-1\r\n\r\n";
    caller.write_all(request.as_bytes()).unwrap();
    caller.read_to_string(&mut String::new()).unwrap();
    let drain = Command::new(binary).args(["drain", "--node", operators]).status().unwrap();
    if !drain.success() {
        // Without the drain the node would run on, and the test would wait for it for ever.
        node.kill().unwrap();
    }
    let output = node.wait_with_output().unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(drain.success() && output.status.success());
    let log = String::from_utf8(output.stderr).unwrap();
    let line = log.lines().find(|line| line.contains("request failed")).unwrap();
    let event: Value = serde_json::from_str(line).unwrap();
    assert_eq!(event["message"], "request failed");
    assert_eq!((&event["request"], &event["organisation"]), (&"r-1".into(), &"cauce".into()));
}

/// Guards against a repeated request to stop that ends the process at once, with all requests that
/// still run.
#[test]
fn a_second_request_to_stop_does_not_cut_the_shutdown_short() {
    let file = std::env::temp_dir().join(format!("gypsumrack-stop-{}.toml", std::process::id()));
    std::fs::write(&file, SETTINGS).unwrap();
    let mut node = Command::new(env!("CARGO_BIN_EXE_gypsumrack"))
        .args(["serve", "--settings", file.to_str().unwrap()])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let lines = BufReader::new(node.stdout.take().unwrap()).lines();
    let is_serving = lines.map_while(Result::ok).any(|line| line.starts_with("operators "));
    for _ in 0..2 {
        let pid = node.id().to_string();
        let sent = Command::new("kill").args(["-s", "TERM", &pid]).status().unwrap();
        assert!(is_serving && sent.success());
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    let status = node.wait().unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(status.success(), "{status}");
}
