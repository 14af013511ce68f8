use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, VariantNames};
use types::{Domain, NodeName};

use crate::{SettingFaults, schema, validate};

/// Settings of one node, from its TOML file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node, unique over the fleet.
    pub name: NodeName,
    /// Failure domain of the node's VM.
    pub domain: Domain,
    /// Region of the node's VM.
    pub region: String,
    /// Longest time that a graceful shutdown waits for running requests, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Addresses that the node listens on.
    pub listen: ListenAddrs,
    /// Addresses of the platform's services.
    pub platform: PlatformAddrs,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// How a node writes its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least important level that is written.
    pub level: LogLevel,
    /// Form of the lines.
    pub format: LogFormat,
}

/// Importance of a log line.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// Needs an operator.
    Error,
    /// May need an operator if it goes on.
    Warn,
    /// Part of normal operation.
    #[default]
    Info,
    /// For the analysis of a fault.
    Debug,
    /// Every step.
    Trace,
}

/// Form of log lines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Plain text.
    Text,
}

/// Addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddrs {
    /// Key-value service.
    pub keyvalue: SocketAddr,
    /// List of VMs.
    pub vms: SocketAddr,
    /// Weight store.
    pub weights: SocketAddr,
}

impl NodeSettings {
    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<NodeSettings, SettingFaults> {
        validate::parse(text, schema::NODE)
    }
}

fn default_drain_ms() -> u64 {
    20_000
}
