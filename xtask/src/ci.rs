//! The checks that every change has to pass.

use std::process::{Command, Stdio};

use crate::{build, cluster::workspace_root, names};

/// One check.
struct Check {
    name: &'static str,
    args: &'static [&'static str],
}

/// The check that starts without the programs, as a new clone does.
const DEMO: &str = "demo";

const CHECKS: &[Check] = &[
    Check { name: "formatter", args: &["fmt", "--all", "--check"] },
    Check {
        name: "linter",
        args: &["clippy", "--workspace", "--all-targets", "--", "--deny", "warnings"],
    },
    Check { name: "documentation", args: &["doc", "--workspace", "--no-deps", "--quiet"] },
    Check { name: "tests", args: &["test", "--workspace", "--quiet"] },
    Check {
        name: "calm day",
        args: &["run", "--quiet", "--package", "xtask", "--", "soak", "--calm", "--seconds", "5"],
    },
    Check {
        name: "soak",
        args: &[
            "run",
            "--quiet",
            "--package",
            "xtask",
            "--",
            "soak",
            "--seed",
            "1",
            "--count",
            "3",
            "--seconds",
            "8",
        ],
    },
    Check { name: DEMO, args: &["run", "--quiet", "--package", "xtask", "--", "demo"] },
    Check {
        name: "faults",
        args: &[
            "run",
            "--quiet",
            "--package",
            "xtask",
            "--",
            "faults",
            "--markdown",
            "target/faults.md",
        ],
    },
];

/// Runs all checks. Returns whether they passed.
pub(crate) fn run() -> bool {
    let mut passed = 0;
    let mut failed = 0;
    for check in CHECKS {
        println!("== {}", check.name);
        if check.name == DEMO {
            build::remove_programs();
        }
        let status = Command::new(env!("CARGO"))
            .args(check.args)
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
