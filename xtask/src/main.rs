//! Chores of the workspace. Unlike the product, these start processes.

mod ci;
mod cluster;
mod demo;
mod faults;
mod workload;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "xtask")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the formatter, the linter and all tests.
    Ci,
    /// Starts the test doubles and three nodes and sends real requests through them.
    Demo,
    /// Injects faults into real processes and checks what callers and upstreams see.
    Faults(faults::FaultsArgs),
}

fn main() -> ExitCode {
    let passed = match Cli::parse().command {
        Command::Ci => ci::run(),
        Command::Demo => demo::run(),
        Command::Faults(args) => faults::run(&args),
    };
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
