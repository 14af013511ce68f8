use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, VariantNames};
use types::{Domain, NodeName};

use crate::{SettingFaults, schema, validate};

/// Settings of a node, from its TOML file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node, unique in the fleet.
    pub name: NodeName,
    /// Failure domain of the node's VM.
    pub domain: Domain,
    /// Region of the node's VM.
    pub region: String,
    /// Maximum time that a graceful shutdown waits for running requests, in milliseconds.
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
    /// Lines of this level and of the more important ones are written.
    pub level: LogLevel,
    /// Format of the lines.
    pub format: LogFormat,
}

/// Level of a log line.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// An operator must act.
    Error,
    /// An operator may have to act if the condition persists.
    Warn,
    /// An event of normal operation.
    #[default]
    Info,
    /// Details for the analysis of a problem.
    Debug,
    /// Every step of the processing.
    Trace,
}

/// Format of log lines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object per line.
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
    /// Service that lists the platform's VMs.
    pub vms: SocketAddr,
    /// Store of the model weights.
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
