//! The tests and cases that `KNOWN-RED.txt` lists, over which the checks pass.

use crate::cluster::workspace_root;

/// Prefix of the entries that name a case of the fault matrix.
const FAULTS_PREFIX: &str = "faults ";
/// Prefix of the entries that name a test by the command that runs it.
const TEST_PREFIX: &str = "cargo test ";

/// A listed test.
pub(crate) struct KnownRedTest {
    /// Arguments of cargo that select the test's program.
    pub(crate) program: Vec<String>,
    /// Full name of the test.
    pub(crate) name: String,
}

/// The listed tests, each on a line such as `cargo test -p PACKAGE --test PROGRAM NAME: ...`.
pub(crate) fn tests() -> Vec<KnownRedTest> {
    let parse = |command: String| {
        let mut program: Vec<String> = command.split(' ').map(String::from).collect();
        let name = program.pop()?;
        Some(KnownRedTest { program, name })
    };
    entries(TEST_PREFIX).into_iter().filter_map(parse).collect()
}

/// Names of the listed cases of the fault matrix, each on a line such as `faults NAME: ...`.
pub(crate) fn fault_cases() -> Vec<String> {
    entries(FAULTS_PREFIX)
}

/// What stands between `prefix` and the colon in each line that begins with it.
fn entries(prefix: &str) -> Vec<String> {
    let file = workspace_root().join("KNOWN-RED.txt");
    // Without the file nothing is known to fail.
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let entries = text.lines().filter_map(|line| line.strip_prefix(prefix));
    entries.filter_map(|entry| entry.split(": ").next()).map(|name| name.trim().into()).collect()
}
