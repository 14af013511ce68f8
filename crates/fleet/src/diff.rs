use std::{collections::BTreeMap, fmt};

use settings::FleetConfig;
use toml::Value;

/// Keys that each change sets, whatever it changes. They are not compared.
const REVISION_KEYS: [&str; 4] = ["revision", "author", "change", "history"];

/// A key whose value differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Path of the key, such as `defaults.weight`. An exception is given by its scope and name.
    pub key: String,
    /// Value in the older configuration, if any.
    pub before: Option<String>,
    /// Value in the newer configuration, if any.
    pub after: Option<String>,
}

/// Lists the keys whose values differ, in key order.
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
        let shown = |value: &Option<String>| value.clone().unwrap_or_else(|| "(nothing)".into());
        write!(f, "{}: {} -> {}", self.key, shown(&self.before), shown(&self.after))
    }
}

/// The values of a configuration by the paths of their keys.
fn flatten(config: &FleetConfig) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    // The conversion to TOML fails only for a configuration that is not valid; such a configuration
    // is refused before it is written.
    for (key, value) in config.to_table().unwrap_or_default() {
        if !REVISION_KEYS.contains(&key.as_str()) {
            flatten_value(&key, &value, &mut values);
        }
    }
    values
}

fn flatten_value(path: &str, value: &Value, values: &mut BTreeMap<String, String>) {
    match value {
        Value::Table(table) => {
            for (key, value) in table {
                flatten_value(&format!("{path}.{key}"), value, values);
            }
        }
        // A configuration without exceptions may have an empty list or none.
        Value::Array(list) if list.is_empty() && path == "exceptions" => {}
        Value::Array(list) if list.iter().any(Value::is_table) => {
            for (index, value) in list.iter().enumerate() {
                flatten_value(&format!("{path}[{}]", element_label(value, index)), value, values);
            }
        }
        value => {
            values.insert(path.to_owned(), value.to_string());
        }
    }
}

/// Label of a list's element in the path of a key: scope and name of an exception, otherwise the
/// index.
fn element_label(value: &Value, index: usize) -> String {
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    match (text("scope"), text("name")) {
        (Some(scope), Some(name)) => format!("{scope} {name}"),
        _ => index.to_string(),
    }
}
