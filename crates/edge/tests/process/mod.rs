//! A node as a process, with a stand-in of the platform in this process.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use clock::RuntimeClock;
use standins::platform::{self, PlatformArgs, PlatformFault, READY_PATH};

use crate::loopback::free_addrs;

/// Longest wait for the start of the node.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait for one answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// A node and its platform. The node is killed when the value is dropped.
pub(crate) struct NodeProcess {
    pub(crate) child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) health: SocketAddr,
    pub(crate) store: SocketAddr,
    directory: PathBuf,
}

impl NodeProcess {
    /// Starts a platform with `replicas` of the plain service and a node that may have `max_fds`
    /// descriptors, and waits until the node serves. `tables` are further settings of the node.
    pub(crate) fn start(test: &str, replicas: usize, max_fds: usize, tables: &str) -> NodeProcess {
        let [callers, health, peers, store] = free_addrs();
        thread::spawn(move || {
            let args = PlatformArgs { listen: store, engines: 0, replicas };
            let runtime = compio::runtime::Runtime::new().unwrap();
            runtime.block_on(platform::run(Rc::new(RuntimeClock::new()), args)).unwrap();
        });
        let directory = std::env::temp_dir().join(format!("node-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let settings = directory.join("node.toml");
        let text = format!(
            "name = \"n\"\ndomain = \"a\"\ncallers = \"{callers}\"\nhealth = \"{health}\"\n\
             peers = \"{peers}\"\nstore = \"{store}\"\ngrace_s = 2\nretry_ratio = 0.2\n\
             retry_extra = 400\nretry_window_s = 10\nchange_limits_ms = [2000]\n\
             [log]\nlevel = \"warn\"\n{tables}"
        );
        std::fs::write(&settings, text).unwrap();
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {max_fds} && exec \"$0\" serve --settings \"$1\""))
            .arg(env!("CARGO_BIN_EXE_gypsumrack-edge"))
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let node = NodeProcess { child, callers, health, store, directory };
        let started = Instant::now();
        while !node.is_ready() {
            assert!(started.elapsed() < START_LIMIT, "the node does not start");
            thread::sleep(Duration::from_millis(20));
        }
        node
    }

    /// Whether the node answers the balancer's check.
    pub(crate) fn is_ready(&self) -> bool {
        let answer = self.call(self.health, "GET", READY_PATH, "");
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Sends one request on a connection of its own. `rest` is what follows the host header.
    /// Returns the status and everything that was received.
    pub(crate) fn call(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        rest: &str,
    ) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect_timeout(&addr, ANSWER_LIMIT).ok()?;
        stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
        let rest = if rest.is_empty() { "\r\n" } else { rest };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: soak.example\r\nconnection: close\r\n{rest}"
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).ok()?;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer))
    }

    /// Tells the platform to do something.
    pub(crate) fn control(&self, fault: &PlatformFault) {
        let body = serde_json::to_string(fault).unwrap();
        let head = format!("content-length: {}\r\n\r\n{body}", body.len());
        let answer = self.call(self.store, "POST", "/control", &head);
        assert_eq!(answer.map(|(status, _)| status), Some(200), "the platform does {fault:?}");
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
