//! An edge node as a child process.

use std::{
    cell::{Cell, RefCell},
    fs::{File, OpenOptions},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

use crate::cluster::program;

/// The setting of nodes that replace no other process.
const FIRST_START: &str = "first_start = true\n";

/// A process of `gypsumrack-edge`. It is killed when the value is dropped.
pub(super) struct EdgeNode {
    number: usize,
    pub(super) callers: SocketAddr,
    pub(super) health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Child>,
    /// Number of times that the process was restarted, frozen or continued.
    runs: Cell<u32>,
}

impl EdgeNode {
    /// Starts a node that uses the key-value service at `store`. Its settings and its log are kept
    /// in `directory`.
    pub(super) fn start(number: usize, store: SocketAddr, directory: &Path) -> EdgeNode {
        let [callers, health, peers] = free_addrs(number);
        let settings = directory.join(format!("node-{number}.toml"));
        let text = format!(
            "name = \"node-{number}\"\ndomain = \"{}\"\ncallers = \"{callers}\"\n\
             health = \"{health}\"\npeers = \"{peers}\"\nstore = \"{store}\"\ngrace_s = 4\n\
             retry_ratio = 0.2\nretry_extra = 400\nretry_window_s = 10\n\
             change_limits_ms = [2000]\n{FIRST_START}",
            if number.is_multiple_of(2) { "a" } else { "b" }
        );
        std::fs::write(&settings, text).expect("settings file can be written");
        let log = directory.join(format!("node-{number}.log"));
        File::create(&log).expect("log file can be created");
        let child = RefCell::new(spawn(&settings, &log));
        EdgeNode { number, callers, health, settings, log, child, runs: Cell::new(0) }
    }

    /// Name of the process, which is new after each restart and each freeze.
    pub(super) fn name(&self) -> String {
        format!("node-{}.{}", self.number, self.runs.get())
    }

    /// Kills the process, without a drain, and waits until it has ended.
    pub(super) fn kill(&self) {
        let mut child = self.child.borrow_mut();
        // The process may have ended by itself.
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts the process again with the same addresses. One that still runs is killed first.
    pub(super) fn restart(&self) {
        self.kill();
        self.runs.set(self.runs.get() + 1);
        let text = std::fs::read_to_string(&self.settings).expect("settings file can be read");
        std::fs::write(&self.settings, text.replace(FIRST_START, ""))
            .expect("settings file can be written");
        *self.child.borrow_mut() = spawn(&self.settings, &self.log);
    }

    /// Sends a signal to the process, unless it has ended.
    pub(super) fn signal(&self, signal: Signal) {
        if self.has_ended() {
            return;
        }
        if matches!(signal, Signal::STOP | Signal::CONT) {
            self.runs.set(self.runs.get() + 1);
        }
        let pid = Pid::from_raw(self.child.borrow().id().cast_signed());
        // The process may have ended since the check above.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Whether the process has ended.
    pub(super) fn has_ended(&self) -> bool {
        self.child.borrow_mut().try_wait().ok().flatten().is_some()
    }
}

impl Drop for EdgeNode {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = OpenOptions::new().append(true).open(log).expect("log file can be opened");
    Command::new(program("gypsumrack-edge"))
        .args(["serve", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("log file can be duplicated"))
        .stderr(log)
        .spawn()
        .expect("the node process can be started")
}

/// Second byte of the loopback address of the first node.
const FIRST_GROUP: usize = 160;

/// Addresses whose ports are free, on a loopback address of the node's own. On 127.0.0.1, an outgoing
/// connection of another process may take a port before the node binds it, or while it restarts.
fn free_addrs(number: usize) -> [SocketAddr; 3] {
    let group = (FIRST_GROUP + number % 64) as u8;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, group, high, low);
    let listeners: [TcpListener; 3] =
        std::array::from_fn(|_| TcpListener::bind((ip, 0)).expect("a port is free"));
    listeners.map(|listener| listener.local_addr().expect("address is known"))
}
