use std::fs;

/// Clock ticks per second in `/proc/PID/stat`, fixed by the kernel's interface on Linux.
const TICKS: f64 = 100.0;
/// Fields of `/proc/PID/stat` between the command's closing bracket and utime.
const FIELDS_BEFORE_UTIME: usize = 11;
/// Bytes in the unit of `/proc/PID/status`.
const KIB: f64 = 1024.0;

/// CPU time of a process, user and system, in seconds.
pub(crate) fn cpu_seconds(pid: u32) -> f64 {
    let stat = read(&format!("/proc/{pid}/stat"));
    // The command may contain spaces, so fields are counted from its end.
    let (_, fields) = stat.rsplit_once(')').expect("stat has a command");
    let ticks = fields.split_whitespace().skip(FIELDS_BEFORE_UTIME).take(2);
    ticks.map(|ticks| ticks.parse::<f64>().expect("CPU time is a number")).sum::<f64>() / TICKS
}

/// Resident memory of a process, in MB.
pub(crate) fn resident_megabytes(pid: u32) -> f64 {
    let status = read(&format!("/proc/{pid}/status"));
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    size.expect("status has a VmRSS") * KIB / 1e6
}

/// Load averages over 1, 5 and 15 minutes.
pub(crate) fn load_average() -> String {
    let text = read("/proc/loadavg");
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}

/// Cargo profile of this process and of those that it starts, which are built beside it.
pub(crate) fn build() -> &'static str {
    if cfg!(debug_assertions) { "development" } else { "release" }
}

fn read(path: &str) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{path} cannot be read: {error}"))
}
