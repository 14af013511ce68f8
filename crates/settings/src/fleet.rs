use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};
use toml::{Table, Value};
use types::{ModelName, Organisation, ServiceName};

use crate::{Policy, PolicyChange, SettingFaults, schema, validate};

/// What operators configure for the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// Who made the last change.
    pub author: String,
    /// Identifier of the last change, unique over all changes.
    pub change: String,
    /// Defaults for the fleet.
    pub defaults: Policy,
    /// Models that are served.
    pub models: BTreeMap<ModelName, ModelConfig>,
    /// Plain services that are routed to.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Exceptions from the defaults.
    pub exceptions: Vec<Exception>,
    /// The last changes, oldest first.
    pub history: Vec<ChangeRecord>,
}

/// An accepted change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Identifier of the change, unique over all changes.
    pub id: String,
    /// Revision that the change made.
    pub revision: u64,
    /// Who made the change.
    pub author: String,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What was changed.
    pub summary: String,
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
    /// Parses and checks a configuration in TOML.
    pub fn parse(text: &str) -> Result<FleetConfig, SettingFaults> {
        let config: FleetConfig = validate::parse(text, schema::FLEET)?;
        config.check_rules()
    }

    /// Writes the configuration as TOML.
    pub fn to_toml(&self) -> String {
        // Serialization fails only for values that TOML has no form for; there are none here.
        toml::to_string_pretty(self).expect("configuration is serializable")
    }

    /// Checks every value.
    pub fn check(self) -> Result<FleetConfig, SettingFaults> {
        let config: FleetConfig = validate::decode(self.to_table()?, schema::FLEET)?;
        config.check_rules()
    }

    /// The configuration with another value of a default, which is written as in TOML. Quotes
    /// around a text may be left out.
    pub fn with_default(&self, key: &str, value: &str) -> Result<FleetConfig, SettingFaults> {
        let mut table = self.to_table()?;
        let key = key.strip_prefix("defaults.").unwrap_or(key);
        let defaults = table.entry("defaults").or_insert_with(|| Value::Table(Table::new()));
        if let Value::Table(defaults) = defaults {
            defaults.insert(key.to_owned(), parse_value(value));
        }
        validate::decode(table, schema::FLEET)
    }

    /// Checks the rules that concern several keys: a model has at most as many stages as layers,
    /// and exceptions can be told apart by scope and name.
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
            let same = |e: &Exception| e.scope == exception.scope && e.name == exception.name;
            if self.exceptions[..index].iter().any(same) {
                let problem = format!("must be the only exception for this {}", exception.scope);
                faults.add(format!("exceptions[{index}].name"), &exception.name, problem);
            }
        }
        if faults.0.is_empty() { Ok(self) } else { Err(faults) }
    }

    /// The configuration as a table.
    pub fn to_table(&self) -> Result<Table, SettingFaults> {
        Table::try_from(self).map_err(|error| {
            let mut faults = SettingFaults::default();
            faults.add("(configuration)", "", error.to_string());
            faults
        })
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

impl PolicyChange {
    /// Reads changed values, each written as `KEY=VALUE`.
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
    // A text that is no TOML value is a word without quotes.
    text.parse().unwrap_or_else(|_| Value::String(text.to_owned()))
}

fn default_replicas() -> u32 {
    1
}

fn default_idempotent() -> Vec<String> {
    vec!["GET".into(), "HEAD".into()]
}
