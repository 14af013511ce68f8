//! Arguments of `gypsumrack config`.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use clap::{Args, Subcommand};
use settings::Scope;

use super::settings_file;

/// The key-value service that stores the configuration.
#[derive(Args)]
#[group(id = "store", required = true, multiple = false)]
pub(crate) struct StoreArgs {
    /// Settings file of a node, which gives the address of the key-value service.
    #[arg(long)]
    pub(crate) settings: Option<PathBuf>,
    /// Address of the key-value service.
    #[arg(long, value_name = "ADDR")]
    pub(crate) keyvalue: Option<SocketAddr>,
}

/// Arguments of every command that changes the configuration.
#[derive(Args)]
pub(crate) struct ChangeArgs {
    #[command(flatten)]
    pub(crate) store: StoreArgs,
    /// Name of the operator who makes the change.
    #[arg(long)]
    pub(crate) author: String,
}

impl StoreArgs {
    /// Address of the key-value service.
    pub(crate) fn addr(&self) -> Result<SocketAddr, String> {
        let load = |file: &Path| settings_file::load_node(file).map(|s| s.platform.keyvalue);
        match (&self.keyvalue, &self.settings) {
            (Some(addr), _) => Ok(*addr),
            (None, Some(file)) => load(file),
            (None, None) => Err("one of --settings and --keyvalue is needed".into()),
        }
    }
}

#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Prints the configuration as TOML.
    #[command(after_help = "Example: gypsumrack config show --settings node.toml > fleet.toml")]
    Show {
        #[command(flatten)]
        store: StoreArgs,
    },
    /// Replaces the configuration by an edited file. The file must come from `config show`; its
    /// revision tells which configuration was edited.
    #[command(after_help = "Example: gypsumrack config edit fleet.toml --settings node.toml \
        --author maria")]
    Edit {
        /// The edited file.
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Changes a default value.
    #[command(after_help = "Example: gypsumrack config set crash_limit 3 --settings node.toml \
        --author maria")]
    Set {
        /// Key of the default value.
        key: String,
        /// New value.
        value: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Adds and removes exceptions from the defaults.
    #[command(subcommand)]
    Except(ExceptCommand),
    /// Adds and changes models.
    #[command(subcommand)]
    Model(ModelCommand),
    /// Adds and changes plain services.
    #[command(subcommand)]
    Service(ServiceCommand),
    /// Prints the most recent changes.
    #[command(after_help = "Example: gypsumrack config history --settings node.toml")]
    History {
        #[command(flatten)]
        store: StoreArgs,
    },
    /// Prints which revision is in force on which nodes.
    #[command(after_help = "Example: gypsumrack config status --node 127.0.0.1:7001 \
        --node 127.0.0.1:7004\nExit codes: 0 one revision is in force on all nodes, 1 otherwise.")]
    Status {
        /// Operators address of a node. May be given more than once.
        #[arg(long = "node", value_name = "ADDR", required = true)]
        nodes: Vec<SocketAddr>,
    },
}

#[derive(Subcommand)]
pub(crate) enum ExceptCommand {
    /// Adds an exception, or replaces the one with the same scope and name.
    #[command(after_help = "Example: gypsumrack config except add organisation cauce \
        --set weight=4 --reason 'dredging season' --settings node.toml --author maria")]
    Add {
        /// What the exception applies to: organisation, model, service or upstream.
        scope: Scope,
        /// Name of the organisation, model, service or upstream.
        name: String,
        /// Why the exception exists.
        #[arg(long)]
        reason: String,
        /// Value that differs from the default. May be given more than once.
        #[arg(long = "set", value_name = "KEY=VALUE")]
        values: Vec<String>,
        /// Drains the upstream: it gets no new work. Only for upstreams.
        #[arg(long)]
        leaving: bool,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Removes an exception.
    #[command(after_help = "Example: gypsumrack config except remove organisation cauce \
        --settings node.toml --author maria")]
    Remove {
        /// What the exception applies to: organisation, model, service or upstream.
        scope: Scope,
        /// Name of the organisation, model, service or upstream.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Subcommand)]
pub(crate) enum ModelCommand {
    /// Adds a model, or changes the given values of an existing one.
    #[command(after_help = "Example: gypsumrack config model set permits --model-version 2 \
        --layers 24 --settings node.toml --author maria")]
    Set {
        /// Name of the model.
        name: String,
        /// Version of the model that requests use.
        #[arg(long)]
        model_version: Option<String>,
        /// Number of layers of the model.
        #[arg(long)]
        layers: Option<u32>,
        /// Number of engines that load each layer range.
        #[arg(long)]
        replicas: Option<u32>,
        /// Number of layer ranges of equal size into which the model is split.
        #[arg(long)]
        stages: Option<u32>,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Subcommand)]
pub(crate) enum ServiceCommand {
    /// Adds a plain service, or changes the given values of an existing one.
    #[command(after_help = "Example: gypsumrack config service set registry \
        --lookup '/filings/by-key/{key}' --settings node.toml --author maria")]
    Set {
        /// Name of the service.
        name: String,
        /// HTTP method whose calls may be repeated. May be given more than once.
        #[arg(long)]
        idempotent: Vec<String>,
        /// HTTP status with which the service guarantees that a call did not run. May be given more
        /// than once.
        #[arg(long)]
        refusal: Vec<u16>,
        /// Path that looks up the outcome of a call by its idempotency key.
        #[arg(long)]
        lookup: Option<String>,
        #[command(flatten)]
        change: ChangeArgs,
    },
}
