//! The daemon and command line of the router.

mod commands;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    commands::Cli::parse().run().into()
}
