//! Nodes: processes of `gypsumrack-edge` with the command of the deploy file.

use std::{
    env, fs,
    fs::File,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// All nodes that were started, so that each way out of the case ends them.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all nodes.
pub fn kill_all() {
    for mut child in STARTED.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(folder());
}

/// The temporary folder of this process, for settings and logs.
fn folder() -> PathBuf {
    env::temp_dir().join(format!("lab-2-{}", std::process::id()))
}

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub health: SocketAddr,
    pub pid: u32,
}

impl Node {
    /// Starts a node. Its settings are those that the deploy file's template gives on a small
    /// deployment.
    pub fn start(number: usize, domain: &str, store: SocketAddr) -> Node {
        fs::create_dir_all(folder()).expect("temporary folder can be created");
        let ip = format!("127.77.{}.{}", std::process::id() % 250 + 1, number + 1);
        let listeners: [TcpListener; 3] =
            std::array::from_fn(|_| TcpListener::bind(format!("{ip}:0")).expect("a port is free"));
        let [callers, health, peers] = listeners.map(|one| one.local_addr().unwrap());
        let name = format!("edge-{domain}-{number}");
        let settings = folder().join(format!("{name}.toml"));
        let text = format!(
            "name = \"{name}\"\ndomain = \"{domain}\"\ncallers = \"{callers}\"\n\
             health = \"{health}\"\npeers = \"{peers}\"\nstore = \"{store}\"\ngrace_s = 8\n\
             retry_ratio = 0.2\nretry_extra = 425\nretry_window_s = 10\nfirst_start = true\n\
             change_limits_ms = [2000, 2000]\n\n[overload]\n\n[limits]\nram_mb = 182\n\
             max_fds = 2940\n"
        );
        fs::write(&settings, text).expect("settings can be written");
        let log = match env::var("LAB_LOGS") {
            Ok(folder) => File::create(PathBuf::from(folder).join(format!("{name}.log"))),
            Err(_) => File::create(folder().join(format!("{name}.log"))),
        };
        let log = log.expect("log can be created");
        let program = env::var("EDGE").unwrap_or("target/release/gypsumrack-edge".into());
        let child = Command::new(program)
            .args(["serve", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the node can be started");
        let pid = child.id();
        STARTED.lock().unwrap().push(child);
        Node { name, callers, health, pid }
    }

    /// Whether the node's health check says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = http::request("GET", "/v1/readyz", &[("Host", "node")], b"");
        http::call(self.health, &request, Duration::from_secs(1)).status == 200
    }

    /// Waits until the node is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a signal to the node, by its number.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.pid);
        let _ = Command::new("sh").args(["-c", &kill]).status();
    }
}

/// Whether a node's process has ended by itself.
pub fn has_ended(pid: u32) -> bool {
    let mut started = STARTED.lock().unwrap();
    let child = started.iter_mut().find(|child| child.id() == pid);
    child.is_some_and(|child| child.try_wait().ok().flatten().is_some())
}
