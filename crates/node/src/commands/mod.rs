//! The commands of `gypsumrack`, one module for each.

mod client;
mod config;
mod config_args;
mod drain;
mod explain;
mod serve;
mod settings_file;
mod status;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// A router for language-model pipelines that are split over mixed accelerators.
#[derive(Parser)]
#[command(
    name = "gypsumrack",
    version,
    after_help = "Exit codes: 0 success, 1 failure or not accepted, 2 wrong usage, 3 outcome unknown."
)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a node.
    #[command(after_help = "Example: gypsumrack serve --settings node.toml")]
    Serve(serve::ServeArgs),
    /// Checks settings files.
    #[command(subcommand)]
    Settings(settings_file::SettingsCommand),
    /// Shows and changes the fleet configuration.
    #[command(subcommand)]
    Config(config_args::ConfigCommand),
    /// Drains an upstream, or shuts a node down gracefully.
    #[command(after_help = "Examples:\n  gypsumrack drain permits-0-1 --reason 'weekly cleaning' \
        --author maria --settings node.toml\n  gypsumrack drain permits-0-1 --undo --author maria \
        --settings node.toml\n  gypsumrack drain --node 127.0.0.1:7001")]
    Drain(drain::DrainArgs),
    /// Prints the routing decisions about a request.
    #[command(after_help = "Example: gypsumrack explain draft-17 --node 127.0.0.1:7001")]
    Explain(explain::ExplainArgs),
    /// Prints the status of nodes.
    #[command(after_help = "Example: gypsumrack status --node 127.0.0.1:7001")]
    Status(status::StatusArgs),
}

/// Outcome of a command. The values are the exit codes of the process; clap also uses 2 for wrong
/// usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed, or a change was not accepted.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// It is unknown whether a change was accepted.
    Unknown = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

impl Cli {
    /// Runs the command. If it fails, its message is printed to standard error.
    pub(crate) fn run(self) -> Exit {
        let result = match self.command {
            Command::Serve(args) => serve::run(&args),
            Command::Settings(command) => settings_file::run(&command),
            Command::Config(command) => block_on(config::run(command)),
            Command::Drain(args) => block_on(drain::run(args)),
            Command::Explain(args) => block_on(explain::run(args)),
            Command::Status(args) => block_on(status::run(args.nodes, args.json)),
        };
        result.unwrap_or_else(|message| {
            eprintln!("{message}");
            Exit::Failure
        })
    }
}

fn block_on(command: impl Future<Output = Result<Exit, String>>) -> Result<Exit, String> {
    compio::runtime::Runtime::new().map_err(|error| error.to_string())?.block_on(command)
}
