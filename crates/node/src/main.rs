//! The daemon and command line of the router.

use std::{path::PathBuf, process::ExitCode, rc::Rc};

use clap::{Parser, Subcommand};
use clock::RuntimeClock;
use settings::NodeSettings;

/// A router for language-model pipelines that are split over mixed accelerators.
#[derive(Parser)]
#[command(name = "gypsumrack", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a node.
    Serve {
        /// Settings file of the node.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Works on settings files.
    Settings {
        #[command(subcommand)]
        command: SettingsCommand,
    },
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Checks a settings file and names every fault.
    Check {
        /// Settings file of a node.
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).init();
    let result = match Cli::parse().command {
        Command::Serve { settings } => serve(&settings),
        Command::Settings { command: SettingsCommand::Check { file } } => {
            load(&file).map(|_| println!("{}: no faults", file.display()))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(file: &PathBuf) -> Result<(), String> {
    let settings = load(file)?;
    let runtime = compio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let clock = Rc::new(RuntimeClock::new());
    runtime.block_on(node::run(clock, settings)).map_err(|error| error.to_string())
}

fn load(file: &PathBuf) -> Result<NodeSettings, String> {
    let text =
        std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    NodeSettings::parse(&text).map_err(|faults| format!("{}: {faults}", file.display()))
}
