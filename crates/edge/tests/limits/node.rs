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
use standins::platform::{self, PlatformArgs, READY_PATH, caller_headers};

use crate::loopback::free_addrs;

/// Memory of the machine in the settings of the node, in megabytes. It bounds the resident memory
/// of the process.
const RAM_MB: u64 = 64;
/// Descriptors of the process, in its settings and as its resource limit.
const MAX_FDS: usize = 320;
/// Largest number of descriptors that may be open. The rest is kept for files.
const FDS_BOUND: usize = MAX_FDS * 7 / 8;
/// Longest wait for the start of the node.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait for one answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Attempts of the ordinary caller, which may be refused while the crowd is there.
const ATTEMPTS: u32 = 60;
/// Pause of the ordinary caller between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A node whose resources are limited. It is killed when the value is dropped.
pub(crate) struct Node {
    child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) health: SocketAddr,
    store: SocketAddr,
    directory: PathBuf,
    max_fds: usize,
}

impl Node {
    /// Starts a platform and a node, and waits until the node serves.
    pub(crate) fn start(test: &str) -> Node {
        let [callers, health, peers, store] = free_addrs();
        thread::spawn(move || {
            let args = PlatformArgs { listen: store, engines: 0, replicas: 2 };
            let runtime = compio::runtime::Runtime::new().unwrap();
            runtime.block_on(platform::run(Rc::new(RuntimeClock::new()), args)).unwrap();
        });
        let directory = std::env::temp_dir().join(format!("limits-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let settings = directory.join("node.toml");
        let text = format!(
            "name = \"n\"\ndomain = \"a\"\ncallers = \"{callers}\"\nhealth = \"{health}\"\n\
             peers = \"{peers}\"\nstore = \"{store}\"\ngrace_s = 2\nretry_ratio = 0.2\n\
             retry_extra = 400\nretry_window_s = 10\nchange_limits_ms = [2000]\n\
             [log]\nlevel = \"warn\"\n[limits]\nram_mb = {RAM_MB}\nmax_fds = {MAX_FDS}\n"
        );
        std::fs::write(&settings, text).unwrap();
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {MAX_FDS} && exec \"$0\" serve --settings \"$1\""))
            .arg(env!("CARGO_BIN_EXE_gypsumrack-edge"))
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let node = Node { child, callers, health, store, directory, max_fds: 0 };
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

    /// The status of the answer to one request.
    pub(crate) fn post(&self, path: &str, id: &str, body: &str) -> Option<u16> {
        let length = body.len();
        let rest = format!("{}content-length: {length}\r\n\r\n{body}", caller_headers(id));
        self.call(self.callers, "POST", path, &rest).map(|(status, _)| status)
    }

    /// Records the number of open descriptors.
    pub(crate) fn sample(&mut self) {
        let fds = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        self.max_fds = self.max_fds.max(fds.map_or(0, Iterator::count));
    }

    /// Checks that the process lives, stayed within its resources, and answers a request.
    pub(crate) fn check(&mut self) {
        self.sample();
        let peak = self.peak_memory_kb();
        println!("peak memory {peak} KB, descriptors {}", self.max_fds);
        assert_eq!(self.child.try_wait().unwrap(), None, "the process has ended");
        assert!(peak <= RAM_MB << 10, "peak memory is {peak} KB of {RAM_MB} MB");
        assert!(self.max_fds <= FDS_BOUND, "{} of {FDS_BOUND} descriptors", self.max_fds);
        assert!(self.answers("/look/x"), "no ordinary request is answered");
        let peak = self.peak_memory_kb();
        assert!(peak <= RAM_MB << 10, "peak memory is {peak} KB of {RAM_MB} MB");
    }

    /// Whether an ordinary request is answered, if need be after refusals.
    pub(crate) fn answers(&self, path: &str) -> bool {
        (0..ATTEMPTS).any(|attempt| {
            let head = ordinary_headers(&format!("ordinary-{attempt}"));
            let answer = self.call(self.callers, "POST", path, &head);
            if answer.as_ref().is_some_and(|(status, _)| *status == 200) {
                return true;
            }
            thread::sleep(RETRY_PAUSE);
            false
        })
    }

    /// Lets the operator write a new version of the configuration, with one more route.
    pub(crate) fn configure(&self) {
        let body = r#"{"fault":"configure"}"#;
        let head = format!("content-length: {}\r\n\r\n{body}", body.len());
        let answer = self.call(self.store, "POST", "/control", &head);
        assert_eq!(answer.map(|(status, _)| status), Some(200), "the configuration is written");
    }

    /// Sends one request on a connection of its own. `rest` is what follows the host header.
    /// Returns the status and everything that was received.
    fn call(
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

    /// Largest resident memory of the process since its start.
    fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok())
            .expect("the process lives")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The headers of a request inside the limits, and its body.
fn ordinary_headers(id: &str) -> String {
    format!("{}content-length: 5\r\n\r\nhello", caller_headers(id))
}
