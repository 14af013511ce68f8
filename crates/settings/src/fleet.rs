use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use strum::Display;
use types::{MAX_NAME_BYTES, ModelName, Organisation, ServiceName};

use crate::{Faults, Policy, PolicyChange};

/// Exceptions that a configuration may hold. The list is meant to stay short.
const MAX_EXCEPTIONS: usize = 200;
/// Longest reason of an exception, in bytes.
const MAX_REASON_BYTES: usize = 500;

/// What operators configure for the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// Who made the last change.
    pub author: String,
    /// Defaults for the fleet.
    pub defaults: Policy,
    /// Models that are served.
    pub models: BTreeMap<ModelName, ModelConfig>,
    /// Plain services that are routed to.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Exceptions from the defaults.
    pub exceptions: Vec<Exception>,
}

/// A model that is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// Version that requests run on.
    pub version: Arc<str>,
    /// Number of layers.
    pub layers: u32,
    /// Replicas of each layer range that the router keeps loaded.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
    /// Number of equal layer ranges; without it, the ranges that engines hold are kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stages: Option<u32>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Methods whose calls may be repeated.
    #[serde(default = "default_idempotent")]
    pub idempotent: Vec<String>,
    /// Statuses with which the service promises that a call did not run.
    #[serde(default)]
    pub refusals: Vec<u16>,
    /// Path that looks up a call by its idempotency key, which replaces `{key}`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lookup: Option<String>,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig { idempotent: default_idempotent(), refusals: Vec::new(), lookup: None }
    }
}

/// An exception from the defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// What the exception applies to.
    pub scope: Scope,
    /// Name of the organisation, model, service or upstream.
    pub name: String,
    /// Why the exception exists.
    #[serde(default)]
    pub reason: String,
    /// For upstreams: whether it is to get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Changed values.
    #[serde(default)]
    pub set: PolicyChange,
}

/// What an exception applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Scope {
    /// An organisation.
    Organisation,
    /// A model.
    Model,
    /// A plain service.
    Service,
    /// An upstream.
    Upstream,
}

impl FleetConfig {
    /// Parses and checks a configuration in TOML.
    pub fn parse(text: &str) -> Result<FleetConfig, Faults> {
        let config: FleetConfig = toml::from_str(text).map_err(|error| {
            let mut faults = Faults::default();
            faults.add("(file)", "", error.to_string().trim().to_owned());
            faults
        })?;
        config.check()
    }

    /// Writes the configuration as TOML.
    pub fn to_toml(&self) -> String {
        // Serialization fails only for values that TOML has no form for; there are none here.
        toml::to_string_pretty(self).expect("configuration is serializable")
    }

    /// Checks every value.
    pub fn check(self) -> Result<FleetConfig, Faults> {
        let mut faults = Faults::default();
        self.defaults.check("defaults", &mut faults);
        for (name, model) in &self.models {
            let layers = u64::from(model.layers);
            faults.check_range(format!("models.{name}.layers"), layers, "layers", (1, 10_000));
            let replicas = u64::from(model.replicas);
            faults.check_range(format!("models.{name}.replicas"), replicas, "engines", (1, 1000));
            if let Some(stages) = model.stages {
                let key = format!("models.{name}.stages");
                faults.check_range(key, u64::from(stages), "stages", (1, layers.max(1)));
            }
        }
        for (name, service) in &self.services {
            if let Some(lookup) = &service.lookup
                && !(lookup.starts_with('/') && lookup.contains("{key}"))
            {
                let key = format!("services.{name}.lookup");
                faults.add(key, lookup, "must be a path that contains {key}");
            }
        }
        if self.exceptions.len() > MAX_EXCEPTIONS {
            let problem = format!("must hold at most {MAX_EXCEPTIONS} exceptions");
            faults.add("exceptions", self.exceptions.len(), problem);
        }
        for (index, exception) in self.exceptions.iter().enumerate() {
            exception.check(index, &self.defaults, &mut faults);
        }
        faults.into_result(self)
    }

    /// The policy for requests of an organisation to a model or service.
    pub fn policy(&self, organisation: &Organisation, target: &str) -> Policy {
        let mut policy = self.defaults.clone();
        for exception in &self.exceptions {
            let applies = match exception.scope {
                Scope::Organisation => exception.name == organisation.as_str(),
                Scope::Model | Scope::Service => exception.name == target,
                Scope::Upstream => false,
            };
            if applies {
                policy.apply(&exception.set);
            }
        }
        policy
    }

    /// Whether an operator has marked an upstream as leaving.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.exceptions.iter().any(|exception| {
            exception.scope == Scope::Upstream && exception.leaving && exception.name == upstream
        })
    }
}

impl Exception {
    fn check(&self, index: usize, defaults: &Policy, faults: &mut Faults) {
        let key = format!("exceptions[{index}]");
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            let problem = format!("must have 1 to {MAX_NAME_BYTES} bytes");
            faults.add(format!("{key}.name"), &self.name, problem);
        }
        if self.reason.trim().is_empty() || self.reason.len() > MAX_REASON_BYTES {
            let problem = format!("must give a reason of 1 to {MAX_REASON_BYTES} bytes");
            faults.add(format!("{key}.reason"), &self.reason, problem);
        }
        let mut policy = defaults.clone();
        policy.apply(&self.set);
        policy.check(&format!("{key}.set"), faults);
    }
}

fn default_replicas() -> u32 {
    1
}

fn default_idempotent() -> Vec<String> {
    vec!["GET".into(), "HEAD".into()]
}
