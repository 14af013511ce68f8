//! The daemon of a node that routes requests by the routing table which operators publish.

mod explain;

use std::{path::PathBuf, process::ExitCode, rc::Rc, time::Duration};

use clap::{Args, Parser, Subcommand};
use clock::{Clock, RuntimeClock};
use gateway::{GatewayBuilder, Signals};
use platform::{
    HealthCheckHandler, PlatformCodec, RequestFrontEnd, StoreClient, UpstreamConnector,
};
use settings::{EdgeSettings, LimitSettings, LogFormat, LogSettings};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use transport::{StopSignal, Timeouts};

/// Timeouts of calls to the key-value service: 500 ms to connect, then 1200 ms each for the head
/// and the body of a response.
const STORE_TIMEOUTS: Timeouts = Timeouts::from_millis(500, 1200);
/// Time that the key-value service may hold a watch open. A connection that is lost meanwhile is
/// detected by TCP keep-alive probes.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Most log lines that may wait to be written.
const LOG_LINES: usize = 1024;
/// Timeouts of orders to upstreams: 250 ms to connect, then 1500 ms each for the head and the body
/// of a response. The time to connect also applies to calls.
const UPSTREAM_TIMEOUTS: Timeouts = Timeouts::from_millis(250, 1500);

/// A node that routes requests to services and to model pipelines over mixed accelerators.
#[derive(Parser)]
#[command(
    name = "gypsumrack-edge",
    version,
    after_help = "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 (explain) the request would be refused."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a node until it is told to stop.
    Serve(SettingsArgs),
    /// Checks a settings file.
    Check(SettingsArgs),
    /// Prints where a request would go now and why, without sending it.
    Explain(explain::ExplainArgs),
}

#[derive(Args)]
struct SettingsArgs {
    /// Settings file of the node.
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve(args) => serve(&args).map(|()| ExitCode::SUCCESS),
        Command::Check(args) => EdgeSettings::load(&args.settings)
            .map(|settings| {
                println!("{}: settings are valid", settings.name);
                ExitCode::SUCCESS
            })
            .map_err(|error| format!("{error:?}")),
        Command::Explain(args) => explain::explain(&args),
    };
    match result {
        Ok(code) => code,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(args: &SettingsArgs) -> Result<(), String> {
    let signals = Signals::install().map_err(|error| error.to_string())?;
    let mut settings = EdgeSettings::load(&args.settings).map_err(|error| format!("{error:?}"))?;
    let _log = start_log(&settings.log);
    check_descriptors(&mut settings.limits);
    let runtime = compio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    runtime.block_on(run(clock, settings, signals)).map_err(|error| error.to_string())
}

async fn run(
    clock: Rc<dyn Clock>,
    settings: EdgeSettings,
    signals: Signals,
) -> std::io::Result<()> {
    let store =
        Rc::new(StoreClient::new(clock.clone(), settings.store, STORE_TIMEOUTS, WATCH_WAIT));
    let connector = UpstreamConnector::new(clock.clone(), UPSTREAM_TIMEOUTS)
        .idle_limit(gateway::idle_limit(&settings.limits));
    let codec = Rc::new(PlatformCodec);
    let gateway = GatewayBuilder::new(clock, settings, store, Rc::new(connector), codec)
        .stop(StopSignal::new())
        .build();
    let front = Rc::new(RequestFrontEnd::new(gateway.clone()));
    let checks = Rc::new(HealthCheckHandler::new(gateway.clone()));
    gateway::serve(gateway, front, checks, signals).await
}

/// Lowers the number of descriptors in the settings to that which the process may open.
fn check_descriptors(limits: &mut LimitSettings) {
    let Some(allowed) = transport::descriptor_limit().map(|limit| limit as f64) else { return };
    if allowed < limits.max_fds {
        tracing::warn!(
            max_fds = limits.max_fds,
            allowed,
            "the process may open fewer descriptors than the settings say"
        );
        limits.max_fds = allowed;
    }
}

/// Starts the log on standard output. A separate thread writes the lines; lines are dropped when
/// its buffer is full, so that a blocked reader of the output never delays a request. The returned
/// guard writes the buffered lines when it is dropped. The environment variable `RUST_LOG`
/// overrides the configured level, for debugging.
fn start_log(log: &LogSettings) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LOG_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(log.level.to_string()));
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(writer);
    match log.format {
        LogFormat::Json => builder.json().flatten_event(true).init(),
        LogFormat::Text => builder.init(),
    }
    guard
}
