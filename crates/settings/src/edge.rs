use std::{net::SocketAddr, path::Path};

use error_stack::{Report, ResultExt};
use serde::Deserialize;
use types::{Domain, NodeName};

use crate::{LimitSettings, LogSettings};

/// Settings of an edge node: the kind of router node that routes by the routing table that the
/// operators publish. [`NodeSettings`](crate::NodeSettings) are those of the other kind.
#[derive(Clone, Debug, Deserialize)]
pub struct EdgeSettings {
    /// Name of the node.
    pub name: NodeName,
    /// Failure domain of the node.
    pub domain: Domain,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for the load balancer's readiness checks and for metrics.
    pub health: SocketAddr,
    /// Address to listen on for other nodes: for datagrams, and for requests that they pass on.
    pub peers: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Time from the signal to stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// Retries that are allowed, as a fraction of the requests to a service.
    pub retry_ratio: f64,
    /// Retries beyond that fraction that all nodes together may make in `retry_window_s`.
    pub retry_extra: f64,
    /// Length of the time window in which requests and retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Whether the whole system starts for the first time. Otherwise the node may replace a process
    /// that has used its part of the retry budget a moment ago, so it uses nothing of `retry_extra`
    /// for one window.
    #[serde(default)]
    pub first_start: bool,
    /// Times within which the different kinds of changes in the key-value service must take effect,
    /// in milliseconds.
    pub change_limits_ms: Vec<u64>,
    /// Decisions under overload. Without this table, a node admits each request by itself and knows
    /// nothing of the demand of the other nodes.
    pub overload: Option<OverloadSettings>,
    /// Limits on what callers may take up.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Settings of the decisions under overload: admission by urgency and organisation, reports of
/// demand between nodes, and paths that meet the latency targets.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadSettings {
    /// Highest share of an engine's KV cache capacity up to which a request that is not resumed is
    /// admitted.
    pub max_fill: f64,
    /// Width of the range below `max_fill` in which the admission of the most urgent requests tapers
    /// off.
    pub fill_taper: f64,
    /// Additional width of that range for the least urgent requests that are late or whose
    /// organisation uses more than its fair share. More urgent requests have a part of it.
    pub fill_spread: f64,
    /// Most requests of a service that wait for capacity at the node.
    pub queue_length: usize,
    /// Longest wait of a request for engines, as a share of its route's latency target.
    pub wait_share: f64,
}

impl Default for OverloadSettings {
    fn default() -> OverloadSettings {
        OverloadSettings {
            max_fill: 0.98,
            fill_taper: 0.08,
            fill_spread: 0.3,
            queue_length: 64,
            wait_share: 0.5,
        }
    }
}

/// Allowed range of `max_fill`. With a lower value, requests are refused while less than half of the
/// memory is in use.
const MAX_FILL_RANGE: std::ops::RangeInclusive<f64> = 0.6..=1.0;
/// Allowed range of `fill_taper` and `fill_spread`.
const FILL_WIDTH: std::ops::RangeInclusive<f64> = 0.0..=0.4;
/// Allowed range of `queue_length`. The order of the queue is computed anew for each check.
const QUEUE_LENGTH: std::ops::RangeInclusive<usize> = 1..=1024;
/// Allowed range of `wait_share`. Above 1, requests are admitted that can only be late.
const WAIT_SHARE: std::ops::RangeInclusive<f64> = 0.05..=4.0;

impl OverloadSettings {
    fn check(&self) -> Result<(), String> {
        let shares = [
            ("max_fill", self.max_fill, MAX_FILL_RANGE),
            ("fill_taper", self.fill_taper, FILL_WIDTH),
            ("fill_spread", self.fill_spread, FILL_WIDTH),
            ("wait_share", self.wait_share, WAIT_SHARE),
        ];
        for (key, share, allowed) in shares {
            if !allowed.contains(&share) {
                let (least, most) = (allowed.start(), allowed.end());
                return Err(format!(
                    "overload.{key} is {share}, but must be from {least} to {most}"
                ));
            }
        }
        if !QUEUE_LENGTH.contains(&self.queue_length) {
            let (least, most) = (QUEUE_LENGTH.start(), QUEUE_LENGTH.end());
            let length = self.queue_length;
            return Err(format!(
                "overload.queue_length is {length}, but must be from {least} to {most}"
            ));
        }
        Ok(())
    }
}

/// Maximum value of the settings that are given in seconds.
const MAX_SECONDS: f64 = 600.0;
/// Allowed range of each value in `change_limits_ms`, in milliseconds.
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
        self.limits.check()?;
        self.overload.as_ref().map_or(Ok(()), OverloadSettings::check)
    }
}

/// A settings file cannot be read or is not valid. The report's attachments say why.
#[derive(Debug)]
pub struct SettingsError;

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the settings file is not usable")
    }
}

impl std::error::Error for SettingsError {}
