//! `gypsumrack serve`: runs a node.

use std::{path::PathBuf, rc::Rc};

use clap::Args;
use clock::RuntimeClock;
use settings::{LogFormat, LogSettings};
use tracing_subscriber::EnvFilter;
use transport::SignalListener;

use super::{Exit, settings_file};

#[derive(Args)]
pub(crate) struct ServeArgs {
    /// Settings file of the node.
    #[arg(long)]
    settings: PathBuf,
}

pub(crate) fn run(args: &ServeArgs) -> Result<Exit, String> {
    // A signal that arrives before this ends the process.
    let terminate =
        SignalListener::install(SignalListener::TERMINATE).map_err(|error| error.to_string())?;
    let settings = settings_file::load_node(&args.settings)?;
    init_log(&settings.log);
    let runtime = compio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let clock = Rc::new(RuntimeClock::new());
    runtime.block_on(node::run(clock, settings, terminate)).map_err(|error| error.to_string())?;
    Ok(Exit::Success)
}

/// Initialises the log. The environment variable `RUST_LOG` overrides the configured level, for the
/// analysis of a fault.
fn init_log(log: &LogSettings) {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(log.level.to_string()));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_writer(std::io::stderr);
    match log.format {
        LogFormat::Json => builder.json().flatten_event(true).init(),
        LogFormat::Text => builder.init(),
    }
}
