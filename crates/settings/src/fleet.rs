use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};
use toml::{Table, Value};
use types::{ModelName, Organisation, ServiceName};

use crate::{Policy, PolicyChange, SettingFaults, schema, validate};

/// Configuration that operators make for the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// Number of accepted changes; each one increases it by one.
    pub revision: u64,
    /// Who made the last change.
    pub author: String,
    /// Identifier of the last change, unique over all changes.
    pub change: String,
    /// Default policy of the fleet.
    pub defaults: Policy,
    /// Models that the fleet serves.
    pub models: BTreeMap<ModelName, ModelConfig>,
    /// Plain services that the router forwards calls to.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Exceptions to the defaults.
    pub exceptions: Vec<Exception>,
    /// The most recent changes, oldest first.
    pub history: Vec<ChangeRecord>,
}

/// An accepted change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Identifier of the change, unique over all changes.
    pub id: String,
    /// Revision of the configuration after the change.
    pub revision: u64,
    /// Who made the change.
    pub author: String,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What was changed.
    pub summary: String,
}

/// A model that the fleet serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// Version of the model that requests are sent to.
    pub version: Arc<str>,
    /// Number of layers.
    pub layers: u32,
    /// Number of engines on which the router keeps each layer range loaded.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
    /// Number of layer ranges of equal size to split the model into; if absent, the ranges that the
    /// engines have loaded are kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stages: Option<u32>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// HTTP methods whose calls are idempotent, so that they may be retried.
    #[serde(default = "default_idempotent")]
    pub idempotent: Vec<String>,
    /// HTTP statuses by which the service states that it did not run the call.
    #[serde(default)]
    pub refusals: Vec<u16>,
    /// Path at which the service returns the outcome of an earlier call. `{key}` is replaced by the
    /// call's idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lookup: Option<String>,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig { idempotent: default_idempotent(), refusals: Vec::new(), lookup: None }
    }
}

/// An exception to the defaults.
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
    /// For upstreams: whether the upstream gets no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Values that replace the defaults.
    #[serde(default)]
    pub set: PolicyChange,
}

/// What an exception applies to.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
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
    /// Parses and checks a configuration that is written in TOML.
    pub fn parse(text: &str) -> Result<FleetConfig, SettingFaults> {
        let config: FleetConfig = validate::parse(text, schema::FLEET)?;
        config.check_rules()
    }

    /// Writes the configuration as TOML.
    pub fn to_toml(&self) -> String {
        // Serialization fails only for values that TOML cannot represent; the configuration has
        // none.
        toml::to_string_pretty(self).expect("configuration is serializable")
    }

    /// Checks every value.
    pub fn check(self) -> Result<FleetConfig, SettingFaults> {
        let config: FleetConfig = validate::decode(self.to_table()?, schema::FLEET)?;
        config.check_rules()
    }

    /// Returns the configuration with one default changed. `value` is written as in TOML, but the
    /// quotes around a text may be left out.
    pub fn with_default(&self, key: &str, value: &str) -> Result<FleetConfig, SettingFaults> {
        let mut table = self.to_table()?;
        let key = key.strip_prefix("defaults.").unwrap_or(key);
        let defaults = table.entry("defaults").or_insert_with(|| Value::Table(Table::new()));
        if let Value::Table(defaults) = defaults {
            defaults.insert(key.to_owned(), parse_value(value));
        }
        validate::decode(table, schema::FLEET)
    }

    /// Checks the rules that involve several keys: a model has at most as many stages as layers,
    /// and no two exceptions have the same scope and name.
    fn check_rules(self) -> Result<FleetConfig, SettingFaults> {
        let mut faults = SettingFaults::default();
        for (name, model) in &self.models {
            if let Some(stages) = model.stages.filter(|stages| *stages > model.layers) {
                let problem =
                    format!("must be at most {} stages, one for each layer", model.layers);
                faults.add(format!("models.{name}.stages"), stages, problem);
            }
        }
        for (index, exception) in self.exceptions.iter().enumerate() {
            let is_duplicate =
                |e: &Exception| e.scope == exception.scope && e.name == exception.name;
            if self.exceptions[..index].iter().any(is_duplicate) {
                let problem = format!("must be the only exception for this {}", exception.scope);
                faults.add(format!("exceptions[{index}].name"), &exception.name, problem);
            }
        }
        if faults.0.is_empty() { Ok(self) } else { Err(faults) }
    }

    /// Converts the configuration to a TOML table.
    pub fn to_table(&self) -> Result<Table, SettingFaults> {
        Table::try_from(self).map_err(|error| {
            let mut faults = SettingFaults::default();
            faults.add("(configuration)", "", error.to_string());
            faults
        })
    }

    /// Returns the policy for requests of `organisation` to the model or service `target`.
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

    /// Whether an exception marks the upstream as leaving.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.exceptions.iter().any(|exception| {
            exception.scope == Scope::Upstream && exception.leaving && exception.name == upstream
        })
    }
}

impl PolicyChange {
    /// Parses changed values, each written as `KEY=VALUE`.
    pub fn parse(pairs: &[String]) -> Result<PolicyChange, SettingFaults> {
        let mut table = Table::new();
        let mut faults = SettingFaults::default();
        for pair in pairs {
            match pair.split_once('=') {
                Some((key, value)) => {
                    table.insert(key.trim().into(), parse_value(value.trim()));
                }
                None => faults.add("set", pair, "must be written as KEY=VALUE"),
            }
        }
        let mut change = validate::decode(table, schema::POLICY);
        if let Err(other) = &mut change {
            faults.0.append(&mut other.0);
        }
        if faults.0.is_empty() { change } else { Err(faults) }
    }
}

fn parse_value(text: &str) -> Value {
    // A text that is not a valid TOML value is taken as a string without quotes.
    text.parse().unwrap_or_else(|_| Value::String(text.to_owned()))
}

fn default_replicas() -> u32 {
    1
}

fn default_idempotent() -> Vec<String> {
    vec!["GET".into(), "HEAD".into()]
}
