use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

/// A process that this one has started. It is killed when it is dropped.
pub(crate) struct Process {
    pub(crate) name: String,
    child: Child,
    ports: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts a process and reads the addresses that it prints.
    pub(crate) fn spawn<A: AsRef<str>>(
        binary: &Path,
        name: &str,
        args: impl IntoIterator<Item = A>,
        directory: &Path,
    ) -> Process {
        let log = File::create(directory.join(format!("{name}.log"))).expect("log can be created");
        let mut command = Command::new(binary);
        for arg in args {
            command.arg(arg.as_ref());
        }
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| panic!("{} cannot be started: {error}", binary.display()));
        let stdout = child.stdout.take().expect("standard output is piped");
        let ports = read_ports(BufReader::new(stdout), name);
        Process { name: name.into(), child, ports }
    }

    /// The address of a test double.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.port("listening")
    }

    /// One of the addresses of a node.
    pub(crate) fn port(&self, name: &str) -> SocketAddr {
        match self.ports.get(name) {
            Some(addr) => *addr,
            None => panic!("{} has no address {name}", self.name),
        }
    }

    /// Kills the process without warning.
    pub(crate) fn kill(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// The exit code if the process has ended.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.code().unwrap_or(-1))
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        // The process may have ended by itself.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads lines of a name and an address. A node prints several, a test double only one.
fn read_ports(output: impl BufRead, name: &str) -> BTreeMap<String, SocketAddr> {
    let mut ports = BTreeMap::new();
    for line in output.lines() {
        let line = line.unwrap_or_else(|error| panic!("{name} cannot be read: {error}"));
        let parsed = line.split_once(' ').and_then(|(key, addr)| Some((key, addr.parse().ok()?)));
        let Some((key, addr)) = parsed else { panic!("{name} printed {line:?}") };
        ports.insert(key.to_owned(), addr);
        if key == "listening" || key == "operators" {
            return ports;
        }
    }
    panic!("{name} ended before it was ready");
}
