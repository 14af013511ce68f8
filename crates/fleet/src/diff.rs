use std::{collections::BTreeMap, fmt};

use settings::FleetConfig;
use toml::Value;

/// Keys that follow from the change itself.
const BOOKKEEPING: [&str; 4] = ["revision", "author", "change", "history"];

/// A key whose value differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Path of the key. Exceptions are named by scope and name.
    pub key: String,
    /// Value before, if any.
    pub before: Option<String>,
    /// Value after, if any.
    pub after: Option<String>,
}

/// The keys whose values differ, in key order.
pub fn diff(before: &FleetConfig, after: &FleetConfig) -> Vec<Difference> {
    let (before, after) = (flatten(before), flatten(after));
    let mut keys: Vec<&String> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    keys.into_iter()
        .filter(|key| before.get(*key) != after.get(*key))
        .map(|key| Difference {
            key: key.clone(),
            before: before.get(key).cloned(),
            after: after.get(key).cloned(),
        })
        .collect()
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value: &Option<String>| value.clone().unwrap_or_else(|| "(nothing)".into());
        write!(f, "{}: {} -> {}", self.key, show(&self.before), show(&self.after))
    }
}

fn flatten(config: &FleetConfig) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    // A configuration that has no form in TOML does not pass its check either.
    for (key, value) in config.to_table().unwrap_or_default() {
        if !BOOKKEEPING.contains(&key.as_str()) {
            add(&key, &value, &mut values);
        }
    }
    values
}

fn add(path: &str, value: &Value, values: &mut BTreeMap<String, String>) {
    match value {
        Value::Table(table) => {
            for (key, value) in table {
                add(&format!("{path}.{key}"), value, values);
            }
        }
        // A configuration without exceptions may also lack the list.
        Value::Array(list) if list.is_empty() && path == "exceptions" => {}
        Value::Array(list) if list.iter().any(Value::is_table) => {
            for (index, value) in list.iter().enumerate() {
                add(&format!("{path}[{}]", label(value, index)), value, values);
            }
        }
        value => {
            values.insert(path.to_owned(), value.to_string());
        }
    }
}

fn label(value: &Value, index: usize) -> String {
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    match (text("scope"), text("name")) {
        (Some(scope), Some(name)) => format!("{scope} {name}"),
        _ => index.to_string(),
    }
}
