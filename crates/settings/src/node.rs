use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::{Domain, MAX_NAME_BYTES, NodeName};

use crate::Faults;

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
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
}

/// Addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
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
pub struct Platform {
    /// Key-value service.
    pub keyvalue: SocketAddr,
    /// List of VMs.
    pub vms: SocketAddr,
    /// Weight store.
    pub weights: SocketAddr,
}

impl NodeSettings {
    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<NodeSettings, Faults> {
        let settings: NodeSettings = toml::from_str(text).map_err(|error| {
            let mut faults = Faults::default();
            faults.add("(file)", "", error.to_string().trim().to_owned());
            faults
        })?;
        let mut faults = Faults::default();
        for (key, value) in [
            ("name", settings.name.as_str()),
            ("domain", settings.domain.as_str()),
            ("region", settings.region.as_str()),
        ] {
            if value.is_empty() || value.len() > MAX_NAME_BYTES {
                faults.add(key, value, format!("must have 1 to {MAX_NAME_BYTES} bytes"));
            }
        }
        faults.check_range("drain_ms", settings.drain_ms, "milliseconds", (0, 600_000));
        faults.into_result(settings)
    }
}

fn default_drain_ms() -> u64 {
    20_000
}
