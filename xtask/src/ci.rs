//! The checks that every change has to pass.

use std::process::{Command, Stdio};

use crate::{
    build,
    cluster::workspace_root,
    known_red::{self, KnownRedTest},
    names,
};

/// One check.
struct Check {
    name: &'static str,
    /// Whether the check is a chore of this program, and otherwise a command of cargo.
    is_chore: bool,
    args: &'static [&'static str],
}

/// Arguments of cargo that run a chore of this program.
const CHORE: [&str; 5] = ["run", "--quiet", "--package", "xtask", "--"];

/// The check that passes over the tests that are known to fail.
const TESTS: &str = "tests";
/// The check that starts without the programs, as a new clone does.
const DEMO: &str = "demo";

const CHECKS: &[Check] = &[
    Check { name: "formatter", is_chore: false, args: &["fmt", "--all", "--check"] },
    Check {
        name: "linter",
        is_chore: false,
        args: &["clippy", "--workspace", "--all-targets", "--", "--deny", "warnings"],
    },
    Check {
        name: "documentation",
        is_chore: false,
        args: &["doc", "--workspace", "--no-deps", "--quiet"],
    },
    Check { name: TESTS, is_chore: false, args: &["test", "--workspace", "--quiet"] },
    Check {
        name: "limits",
        is_chore: false,
        args: &[
            "test",
            "--quiet",
            "--package",
            "edge",
            "--test",
            "limits",
            "--",
            "--ignored",
            "--test-threads",
            "1",
        ],
    },
    Check { name: "calm day", is_chore: true, args: &["soak", "--calm", "--seconds", "5"] },
    Check {
        name: "soak",
        is_chore: true,
        args: &["soak", "--seed", "1", "--count", "3", "--seconds", "8"],
    },
    Check { name: DEMO, is_chore: true, args: &["demo"] },
    Check { name: "faults", is_chore: true, args: &["faults", "--markdown", "target/faults.md"] },
];

/// Runs all checks. Returns whether they passed.
pub(crate) fn run() -> bool {
    let mut passed = 0;
    let mut failed = 0;
    let known_red = known_red::tests();
    for check in CHECKS {
        println!("== {}", check.name);
        if check.name == DEMO {
            build::remove_programs();
        }
        let status = Command::new(env!("CARGO"))
            .args(if check.is_chore { &CHORE[..] } else { &[] })
            .args(check.args)
            .args(if check.name == TESTS { skipping(&known_red) } else { Vec::new() })
            .current_dir(workspace_root())
            .stdin(Stdio::null())
            .status();
        if status.is_ok_and(|status| status.success()) {
            passed += 1;
        } else {
            println!("== {} FAILED", check.name);
            failed += 1;
        }
    }
    known_red.iter().for_each(report_known_red);
    println!("== names");
    if names::check() {
        passed += 1;
    } else {
        println!("== names FAILED");
        failed += 1;
    }
    println!("{passed} passed, {failed} failed");
    failed == 0
}

/// Arguments with which a run of all tests leaves out exactly those that are known to fail.
fn skipping(tests: &[KnownRedTest]) -> Vec<&str> {
    let skipped = tests.iter().flat_map(|test| ["--skip", &test.name]);
    ["--", "--exact"].into_iter().chain(skipped).collect()
}

/// Runs a test that is known to fail and prints the result, which does not count.
fn report_known_red(test: &KnownRedTest) {
    let output = Command::new(env!("CARGO"))
        .args(["test", "--quiet"])
        .args(&test.program)
        .args(["--", "--exact", &test.name])
        .current_dir(workspace_root())
        .stdin(Stdio::null())
        .output();
    let result = match output {
        Ok(output) if !output.status.success() => "failed",
        Ok(output) if String::from_utf8_lossy(&output.stdout).contains("1 passed") => "passed",
        Ok(_) => "does not exist",
        Err(_) => "could not be run",
    };
    println!("== known red, not counted: {} {result}", test.name);
}
