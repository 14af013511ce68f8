//! A node whose resources are limited, and checks that it stays within them.

use std::{thread, time::Duration};

use standins::platform::{PlatformFault, caller_headers};

use crate::process::NodeProcess;

/// Memory of the machine in the settings of the node, in megabytes. It bounds the resident memory
/// of the process.
const RAM_MB: u64 = 64;
/// Descriptors of the process, in its settings and as its resource limit.
const MAX_FDS: usize = 320;
/// Largest number of descriptors that may be open. The rest is kept for files.
const FDS_BOUND: usize = MAX_FDS * 7 / 8;
/// Replicas of the plain service.
const REPLICAS: usize = 2;
/// Attempts of the ordinary caller, which may be refused while the crowd is there.
const ATTEMPTS: u32 = 60;
/// Pause of the ordinary caller between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A node whose resources are limited.
pub(crate) struct Node {
    pub(crate) process: NodeProcess,
    max_fds: usize,
}

impl Node {
    /// Starts a platform and a node, and waits until the node serves.
    pub(crate) fn start(test: &str) -> Node {
        let tables = format!("[limits]\nram_mb = {RAM_MB}\nmax_fds = {MAX_FDS}\n");
        let process = NodeProcess::start(test, REPLICAS, MAX_FDS, &tables);
        Node { process, max_fds: 0 }
    }

    /// The status of the answer to one request.
    pub(crate) fn post(&self, path: &str, id: &str, body: &str) -> Option<u16> {
        let length = body.len();
        let rest = format!("{}content-length: {length}\r\n\r\n{body}", caller_headers(id));
        let answer = self.process.call(self.process.callers, "POST", path, &rest);
        answer.map(|(status, _)| status)
    }

    /// Records the number of open descriptors.
    pub(crate) fn sample(&mut self) {
        let fds = std::fs::read_dir(format!("/proc/{}/fd", self.process.child.id()));
        self.max_fds = self.max_fds.max(fds.map_or(0, Iterator::count));
    }

    /// Checks that the process lives, stayed within its resources, and answers a request.
    pub(crate) fn check(&mut self) {
        self.sample();
        let peak = self.peak_memory_kb();
        println!("peak memory {peak} KB, descriptors {}", self.max_fds);
        assert_eq!(self.process.child.try_wait().unwrap(), None, "the process has ended");
        assert!(peak <= RAM_MB << 10, "peak memory is {peak} KB of {RAM_MB} MB");
        assert!(self.max_fds <= FDS_BOUND, "{} of {FDS_BOUND} descriptors", self.max_fds);
        assert!(self.answers("/look/x"), "no ordinary request is answered");
        let peak = self.peak_memory_kb();
        assert!(peak <= RAM_MB << 10, "peak memory is {peak} KB of {RAM_MB} MB");
    }

    /// Whether an ordinary request is answered, if need be after refusals.
    pub(crate) fn answers(&self, path: &str) -> bool {
        (0..ATTEMPTS).any(|attempt| {
            if self.post(path, &format!("ordinary-{attempt}"), "hello") == Some(200) {
                return true;
            }
            thread::sleep(RETRY_PAUSE);
            false
        })
    }

    /// Lets the operator write a new version of the configuration, with one more route.
    pub(crate) fn configure(&self) {
        self.process.control(&PlatformFault::Configure);
    }

    /// Largest resident memory of the process since its start.
    fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok())
            .expect("the process lives")
    }
}
