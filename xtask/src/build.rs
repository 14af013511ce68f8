//! Builds the programs that chores start.

use std::process::{Command, Stdio};

use crate::cluster::{program, workspace_root};

/// Programs of the workspace that chores start.
pub(crate) const PROGRAMS: [&str; 3] = ["gypsumrack", "gypsumrack-edge", "standins"];

/// Builds the programs of the workspace. Returns whether that worked.
pub(crate) fn programs() -> bool {
    let status = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--workspace", "--bins"])
        .current_dir(workspace_root())
        .stdin(Stdio::null())
        .status();
    let is_built = status.is_ok_and(|status| status.success());
    if !is_built {
        eprintln!("the programs cannot be built");
    }
    is_built
}

/// Removes the built programs, so that a chore that does not build them fails as it would in a new
/// clone.
pub(crate) fn remove_programs() {
    for name in PROGRAMS {
        // A program that was never built is as good as one that was removed.
        let _ = std::fs::remove_file(program(name));
    }
}
