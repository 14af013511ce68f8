//! Command-line program that runs one test double.

use std::rc::Rc;

use clap::{Parser, Subcommand};
use clock::RuntimeClock;
use standins::{engine, keyvalue, platform, relay, service, vms, weights};

/// Test doubles of the systems around the router.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a model engine.
    Engine(engine::EngineArgs),
    /// Runs a plain HTTP service.
    Service(service::ServiceArgs),
    /// Runs the key-value service.
    Keyvalue(keyvalue::KeyValueArgs),
    /// Runs the list of VMs.
    Vms(vms::VmsArgs),
    /// Runs the weight store.
    Weights(weights::WeightsArgs),
    /// Runs the users' platform: key-value service, workers and operator.
    Platform(platform::PlatformArgs),
    /// Runs a TCP relay that injects link faults in front of another process.
    Relay(relay::RelayArgs),
}

fn main() -> std::io::Result<()> {
    let filter = tracing_subscriber::EnvFilter::from_default_env();
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    let command = Cli::parse().command;
    let clock = Rc::new(RuntimeClock::new());
    compio::runtime::Runtime::new()?.block_on(async move {
        match command {
            Command::Engine(args) => engine::run(clock, args).await,
            Command::Service(args) => service::run(clock, args).await,
            Command::Keyvalue(args) => keyvalue::run(clock, args).await,
            Command::Vms(args) => vms::run(clock, args).await,
            Command::Weights(args) => weights::run(clock, args).await,
            Command::Platform(args) => platform::run(clock, args).await,
            Command::Relay(args) => relay::run(clock, args).await,
        }
    })
}
