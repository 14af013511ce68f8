//! Tests of signals, with the daemon as a process.

mod loopback;

use std::{
    fs::{File, OpenOptions},
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use loopback::free_addrs;

/// Longest wait for something that the process does.
const LIMIT: Duration = Duration::from_secs(10);

/// A node as a process, without a key-value service. It is killed when the value is dropped.
struct EdgeProcess {
    child: Child,
    callers: SocketAddr,
    health: SocketAddr,
    settings: PathBuf,
}

impl EdgeProcess {
    /// Starts a node. It waits for its settings until [`EdgeProcess::write_settings`] is called.
    /// Returns the settings file, opened for writing.
    fn start(test: &str) -> (EdgeProcess, File) {
        let directory = std::env::temp_dir().join(format!("edge-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let settings = directory.join("node.toml");
        let made = Command::new("mkfifo").arg(&settings).status().unwrap();
        assert!(made.success(), "the settings file can be created as a pipe");
        let child = Command::new(env!("CARGO_BIN_EXE_gypsumrack-edge"))
            .args(["serve", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let [callers, health] = free_addrs();
        let process = EdgeProcess { child, callers, health, settings };
        // Opening a pipe for writing waits until the process has opened it for reading.
        let pipe = OpenOptions::new().write(true).open(&process.settings).unwrap();
        (process, pipe)
    }

    fn write_settings(&self, mut pipe: File) {
        let EdgeProcess { callers, health, .. } = self;
        write!(
            pipe,
            "name = \"n\"\ndomain = \"a\"\ncallers = \"{callers}\"\nhealth = \"{health}\"\n\
             peers = \"127.0.0.1:0\"\nstore = \"127.0.0.1:1\"\ngrace_s = 2\nretry_ratio = 0.2\n\
             retry_extra = 400\nretry_window_s = 10\nchange_limits_ms = [2000]\n"
        )
        .unwrap();
    }

    /// Starts a node and waits until it accepts connections.
    fn start_serving(test: &str) -> EdgeProcess {
        let (process, pipe) = EdgeProcess::start(test);
        process.write_settings(pipe);
        let started = Instant::now();
        while TcpStream::connect(process.health).is_err() {
            assert!(started.elapsed() < LIMIT, "the node does not start");
            std::thread::sleep(Duration::from_millis(10));
        }
        process
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success(), "the process runs");
    }

    /// Whether the node answers a request for its metrics.
    fn answers(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.health) else { return false };
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        let mut status = [0; 8];
        stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").is_ok()
            && stream.read_exact(&mut status).is_ok()
    }

    fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(started.elapsed() < LIMIT, "the process does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = self.settings.parent().map(std::fs::remove_dir_all);
    }
}

/// Guards against a notice of changed settings that ends a process which has just started.
#[test]
fn a_reload_during_the_start_does_not_end_the_process() {
    let (mut process, pipe) = EdgeProcess::start("early");
    process.signal("HUP");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(process.child.try_wait().unwrap(), None, "the process has ended");
    process.write_settings(pipe);
    let started = Instant::now();
    while !process.answers() {
        assert!(started.elapsed() < LIMIT, "the node does not start");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a notice of changed settings that ends the process because it arrives while an
/// earlier one is handled.
#[test]
fn reloads_in_quick_succession_do_not_end_the_process() {
    let mut process = EdgeProcess::start_serving("reloads");
    for _ in 0..200 {
        process.signal("HUP");
    }
    assert_eq!(process.child.try_wait().unwrap(), None, "the process has ended");
    assert!(process.answers());
}

/// Guards against a repeated request to stop that ends the process at once, with all requests that
/// still run.
#[test]
fn a_second_request_to_stop_does_not_cut_the_shutdown_short() {
    let mut process = EdgeProcess::start_serving("stops");
    process.signal("TERM");
    std::thread::sleep(Duration::from_millis(100));
    process.signal("TERM");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(process.child.try_wait().unwrap(), None, "the process has ended");
    assert!(TcpStream::connect(process.callers).is_ok(), "callers can still connect");
    assert!(process.wait().success());
}
