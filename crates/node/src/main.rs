//! The `gypsumrack` binary: runs a node of the router and provides the operators' commands.

mod commands;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    commands::Cli::parse().run().into()
}
