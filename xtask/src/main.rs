//! Chores of the workspace. Unlike the product, these start processes.

mod bench;
mod build;
mod ci;
mod cluster;
mod demo;
mod faults;
mod known_red;
mod names;
mod soak;
mod workload;

use std::{path::PathBuf, process::ExitCode};

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
    /// Injects random faults into nodes before the stand-in of the users' platform.
    Soak(soak::SoakArgs),
    /// Measures decisions under load against their baselines.
    Bench {
        /// Writes all figures to this file.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Runs only the row with this name.
        #[arg(long)]
        only: Option<String>,
    },
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    // All other chores start the programs of the workspace as processes.
    let is_built = matches!(command, Command::Ci) || build::programs();
    let passed = is_built
        && match command {
            Command::Ci => ci::run(),
            Command::Demo => demo::run(),
            Command::Faults(args) => faults::run(&args),
            Command::Soak(args) => soak::run(&args),
            Command::Bench { json, only } => bench::run(json.as_deref(), only.as_deref()),
        };
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
