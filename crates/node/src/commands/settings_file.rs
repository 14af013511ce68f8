//! `gypsumrack settings`, and the loading of settings files for the other commands.

use std::path::{Path, PathBuf};

use clap::Subcommand;
use settings::{FleetConfig, NodeSettings, SettingFaults};

use super::Exit;

#[derive(Subcommand)]
pub(crate) enum SettingsCommand {
    /// Checks a settings file and prints every fault.
    #[command(after_help = "Examples:\n  gypsumrack settings check node.toml\n  \
        gypsumrack settings check --fleet fleet.toml\n\
        Exit codes: 0 no faults, 1 faults, 2 wrong usage.")]
    Check {
        /// The file is a fleet configuration, not the settings of a node.
        #[arg(long)]
        fleet: bool,
        /// File to check.
        file: PathBuf,
    },
}

pub(crate) fn run(command: &SettingsCommand) -> Result<Exit, String> {
    let SettingsCommand::Check { fleet, file } = command;
    let text = match read_file(file) {
        Ok(text) => text,
        Err(message) => {
            eprintln!("{message}");
            return Ok(Exit::Usage);
        }
    };
    let checked = if *fleet {
        FleetConfig::parse(&text).map(drop)
    } else {
        NodeSettings::parse(&text).map(drop)
    };
    checked.map_err(|faults| describe_faults(file, &faults))?;
    println!("{}: no faults", file.display());
    Ok(Exit::Success)
}

/// Reads and checks the settings of a node.
pub(crate) fn load_node(file: &Path) -> Result<NodeSettings, String> {
    NodeSettings::parse(&read_file(file)?).map_err(|faults| describe_faults(file, &faults))
}

/// Reads and checks a fleet configuration.
pub(crate) fn load_fleet(file: &Path) -> Result<FleetConfig, String> {
    FleetConfig::parse(&read_file(file)?).map_err(|faults| describe_faults(file, &faults))
}

fn read_file(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))
}

/// One line for each fault, with the path of the file before it.
fn describe_faults(file: &Path, faults: &SettingFaults) -> String {
    let lines: Vec<String> =
        faults.to_string().lines().map(|line| format!("{}: {line}", file.display())).collect();
    lines.join("\n")
}
