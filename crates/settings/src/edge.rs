use std::{net::SocketAddr, path::Path};

use error_stack::{Report, ResultExt};
use serde::Deserialize;
use types::{Domain, NodeName};

use crate::LogSettings;

/// Settings of a node that routes by the operators' published table.
#[derive(Clone, Debug, Deserialize)]
pub struct EdgeSettings {
    /// Name of the node.
    pub name: NodeName,
    /// Failure domain of the node.
    pub domain: Domain,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's checks and for metrics.
    pub health: SocketAddr,
    /// Address for datagrams of other nodes.
    pub peers: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Time between a signal to stop and the kill, in seconds.
    pub grace_s: f64,
    /// Share of the requests to a service that may be sent once more.
    pub retry_ratio: f64,
    /// Sends beyond that share that all nodes together may make in `retry_window_s`.
    pub retry_extra: f64,
    /// Time over which sends are counted, in seconds.
    pub retry_window_s: f64,
    /// Times within which changes of different kinds in the key-value service must be in force, in
    /// milliseconds.
    pub change_limits_ms: Vec<u64>,
    /// How the log is written.
    #[serde(default)]
    pub log: LogSettings,
}

/// Largest time that a setting may name, in seconds.
const MAX_SECONDS: f64 = 600.0;
/// Range of the times within which changes must be in force, in milliseconds.
const CHANGE_LIMITS_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

impl EdgeSettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<EdgeSettings, Report<SettingsError>> {
        let text = std::fs::read_to_string(path)
            .change_context(SettingsError)
            .attach_with(|| format!("{} cannot be read", path.display()))?;
        EdgeSettings::parse(&text)
    }

    /// Reads and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<EdgeSettings, Report<SettingsError>> {
        let settings: EdgeSettings = toml::from_str(text).change_context(SettingsError)?;
        settings.check().map_err(|message| Report::new(SettingsError).attach(message))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        for (key, seconds) in [("grace_s", self.grace_s), ("retry_window_s", self.retry_window_s)] {
            if !(0.1..=MAX_SECONDS).contains(&seconds) {
                return Err(format!(
                    "{key} is {seconds}, but must be from 0.1 to {MAX_SECONDS} seconds"
                ));
            }
        }
        if !(0.0..=1.0).contains(&self.retry_ratio) {
            return Err(format!("retry_ratio is {}, but must be from 0 to 1", self.retry_ratio));
        }
        let limits = &self.change_limits_ms;
        if limits.is_empty() || limits.iter().any(|limit| !CHANGE_LIMITS_MS.contains(limit)) {
            return Err(format!(
                "change_limits_ms is {limits:?}, but must hold times from {} to {} ms",
                CHANGE_LIMITS_MS.start(),
                CHANGE_LIMITS_MS.end()
            ));
        }
        if self.name.is_empty() || self.domain.is_empty() {
            return Err("name and domain must not be empty".into());
        }
        Ok(())
    }
}

/// A settings file is not usable.
#[derive(Debug)]
pub struct SettingsError;

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the settings file is not usable")
    }
}

impl std::error::Error for SettingsError {}
