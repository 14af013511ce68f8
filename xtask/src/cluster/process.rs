use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};

/// Times that a process is started until it is ready.
const START_TRIES: u32 = 10;
/// Pause before it is started again.
const START_PAUSE: Duration = Duration::from_millis(100);

/// A process that this one has started. It is killed when it is dropped.
pub(crate) struct Process {
    pub(crate) name: String,
    launch: Launch,
    child: RefCell<Child>,
    ports: BTreeMap<String, SocketAddr>,
}

/// How a process is started.
struct Launch {
    binary: PathBuf,
    args: Vec<String>,
    log: PathBuf,
}

impl Process {
    /// Starts a process and reads the addresses that it prints.
    pub(crate) fn spawn<A: AsRef<str>>(
        binary: &Path,
        name: &str,
        args: impl IntoIterator<Item = A>,
        directory: &Path,
    ) -> Process {
        let log = directory.join(format!("{name}.log"));
        File::create(&log).expect("log can be created");
        let args = args.into_iter().map(|arg| arg.as_ref().to_owned()).collect();
        let launch = Launch { binary: binary.into(), args, log };
        let (child, ports) = launch.start(name, &[]);
        Process { name: name.into(), launch, child: RefCell::new(child), ports }
    }

    /// The address of a test double.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.port("listening")
    }

    /// One of the addresses of a node.
    pub(crate) fn port(&self, name: &str) -> SocketAddr {
        match self.find_port(name) {
            Some(addr) => addr,
            None => panic!("{} has no address {name}", self.name),
        }
    }

    /// One of the addresses of a node, if it printed it.
    pub(crate) fn find_port(&self, name: &str) -> Option<SocketAddr> {
        self.ports.get(name).copied()
    }

    /// Process id. It belongs to this process until the process has been waited for.
    pub(crate) fn id(&self) -> u32 {
        self.child.borrow().id()
    }

    /// Kills the process without warning.
    pub(crate) fn kill(&self) {
        let mut child = self.child.borrow_mut();
        // The process may have ended by itself.
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Asks the process to stop.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process from running; its connections stay open.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process run again.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Starts an ended test double again at its old address.
    pub(crate) fn restart(&self) {
        self.relaunch(&[format!("--listen={}", self.addr())]);
    }

    /// Starts an ended process again with further arguments. It has to use its old addresses.
    pub(crate) fn relaunch(&self, args: &[String]) {
        self.kill();
        let (child, ports) = self.launch.start(&self.name, args);
        assert_eq!(ports, self.ports, "{} kept its addresses", self.name);
        *self.child.borrow_mut() = child;
    }

    /// The exit code if the process has ended.
    pub(crate) fn exit_code(&self) -> Option<i32> {
        let status = self.child.borrow_mut().try_wait().ok().flatten()?;
        Some(status.code().unwrap_or(-1))
    }

    fn signal(&self, signal: Signal) {
        // The id of an ended process may belong to another one by now.
        if self.exit_code().is_some() {
            return;
        }
        let pid = Pid::from_raw(self.child.borrow().id().cast_signed());
        // The process may end in this moment.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Launch {
    /// Starts the process. The address that it had before may be in use for a moment as the source
    /// of another connection, so a process that ends before it is ready is started again.
    fn start(&self, name: &str, more: &[String]) -> (Child, BTreeMap<String, SocketAddr>) {
        for _ in 0..START_TRIES {
            let mut child = self.spawn(more);
            let stdout = child.stdout.take().expect("standard output is piped");
            if let Some(ports) = read_ports(BufReader::new(stdout), name) {
                return (child, ports);
            }
            // It has closed its output, so it has ended or is about to.
            let _ = child.wait();
            std::thread::sleep(START_PAUSE);
        }
        panic!("{name} ended before it was ready");
    }

    fn spawn(&self, more: &[String]) -> Child {
        let log = OpenOptions::new().append(true).open(&self.log).expect("log can be opened");
        Command::new(&self.binary)
            .args(&self.args)
            .args(more)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| panic!("{} cannot be started: {error}", self.binary.display()))
    }
}

/// Reads lines of a name and an address. A node prints several, a test double only one.
fn read_ports(output: impl BufRead, name: &str) -> Option<BTreeMap<String, SocketAddr>> {
    let mut ports = BTreeMap::new();
    for line in output.lines() {
        let line = line.unwrap_or_else(|error| panic!("{name} cannot be read: {error}"));
        let parsed = line.split_once(' ').and_then(|(key, addr)| Some((key, addr.parse().ok()?)));
        let Some((key, addr)) = parsed else { panic!("{name} printed {line:?}") };
        ports.insert(key.to_owned(), addr);
        if key == "listening" || key == "operators" {
            return Some(ports);
        }
    }
    None
}
