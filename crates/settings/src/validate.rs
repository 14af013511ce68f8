//! Checks a parsed file against its schema and collects all faults.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use toml::{Table, Value};
use types::MAX_NAME_BYTES;

use crate::{
    SettingFaults,
    schema::{Absent, Setting, SettingKind},
};

/// Maximum edit distance at which a known key is suggested for an unknown one.
const MAX_HINT_DISTANCE: usize = 4;
/// Maximum number of characters of a wrong value in a message.
const MAX_DISPLAYED_CHARS: usize = 200;

/// Parses `text` and checks it against `schema`.
pub(crate) fn parse<T: DeserializeOwned>(
    text: &str,
    schema: &[Setting],
) -> Result<T, SettingFaults> {
    match text.parse::<Table>() {
        Ok(table) => decode(table, schema),
        Err(error) => Err(syntax_fault(error.to_string())),
    }
}

/// Checks a table against `schema` and decodes it.
pub(crate) fn decode<T: DeserializeOwned>(
    table: Table,
    schema: &[Setting],
) -> Result<T, SettingFaults> {
    let mut faults = SettingFaults::default();
    check_table(&table, schema, "", &mut faults);
    if !faults.0.is_empty() {
        return Err(faults);
    }
    table.try_into().map_err(|error: toml::de::Error| syntax_fault(error.to_string()))
}

fn syntax_fault(message: String) -> SettingFaults {
    let mut faults = SettingFaults::default();
    faults.add("(file)", "", message.trim().to_owned());
    faults
}

fn check_table(table: &Table, schema: &[Setting], parent_path: &str, faults: &mut SettingFaults) {
    for (key, value) in table {
        let path = join_path(parent_path, key);
        match schema.iter().find(|setting| setting.key == key) {
            Some(setting) => check_value(value, &setting.kind, &path, faults),
            None => faults.add(path, display_value(value), unknown_key(key, schema)),
        }
    }
    for setting in schema {
        if matches!(setting.absent, Absent::Required) && !table.contains_key(setting.key) {
            let problem = format!("is missing; must be {}", setting.kind.expectation());
            faults.add(join_path(parent_path, setting.key), "(nothing)", problem);
        }
    }
}

fn check_value(value: &Value, kind: &SettingKind, path: &str, faults: &mut SettingFaults) {
    match (kind, value) {
        (SettingKind::Table(schema), Value::Table(table)) => {
            check_table(table, schema, path, faults)
        }
        (SettingKind::NamedTables(schema), Value::Table(table)) => {
            for (name, value) in table {
                check_named_table(name, value, schema, &join_path(path, name), faults);
            }
        }
        (SettingKind::TableList(schema, max), Value::Array(values)) => {
            if values.len() > *max {
                let count = format!("{} entries", values.len());
                faults.add(path, count, format!("must hold at most {max} entries"));
            }
            for (index, value) in values.iter().enumerate() {
                check_value(
                    value,
                    &SettingKind::Table(schema),
                    &format!("{path}[{index}]"),
                    faults,
                );
            }
        }
        _ if kind.accepts(value) => {}
        _ => faults.add(path, display_value(value), format!("must be {}", kind.expectation())),
    }
}

fn check_named_table(
    name: &str,
    value: &Value,
    schema: &[Setting],
    path: &str,
    faults: &mut SettingFaults,
) {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        faults.add(path, name, format!("must have a name of 1 to {MAX_NAME_BYTES} bytes"));
    }
    match value {
        Value::Table(table) => check_table(table, schema, path, faults),
        _ => faults.add(path, display_value(value), "must be a table"),
    }
}

impl SettingKind {
    /// Describes the allowed values, with unit and range.
    pub fn expectation(&self) -> String {
        match self {
            SettingKind::Integer { unit, bounds: (low, i64::MAX) } => {
                format!("a whole number of {unit}, at least {low}")
            }
            SettingKind::Integer { unit, bounds: (low, high) } => {
                format!("a whole number from {low} to {high} {unit}")
            }
            SettingKind::Text(max) => format!("a text of 1 to {max} bytes"),
            SettingKind::TextOrEmpty(max) => format!("a text of at most {max} bytes"),
            SettingKind::Choice(choices) => format!("one of {}", choices.join(", ")),
            SettingKind::Address => "an IP address with port, such as 127.0.0.1:7000".into(),
            SettingKind::Boolean => "true or false".into(),
            SettingKind::TextList => "a list of texts".into(),
            SettingKind::StatusList => "a list of HTTP status codes from 100 to 599".into(),
            SettingKind::LookupPath => "a path that starts with / and contains {key}".into(),
            SettingKind::Table(_) => "a table".into(),
            SettingKind::NamedTables(_) => "a table of tables, one for each name".into(),
            SettingKind::TableList(_, max) => format!("a list of at most {max} tables"),
        }
    }

    fn accepts(&self, value: &Value) -> bool {
        match (self, value) {
            (SettingKind::Integer { bounds: (low, high), .. }, Value::Integer(number)) => {
                (low..=high).contains(&number)
            }
            (SettingKind::Text(max), Value::String(text)) => {
                !text.trim().is_empty() && text.len() <= *max
            }
            (SettingKind::TextOrEmpty(max), Value::String(text)) => text.len() <= *max,
            (SettingKind::Choice(choices), Value::String(text)) => choices.contains(&text.as_str()),
            (SettingKind::Address, Value::String(text)) => text.parse::<SocketAddr>().is_ok(),
            (SettingKind::Boolean, Value::Boolean(_)) => true,
            (SettingKind::TextList, Value::Array(values)) => values.iter().all(Value::is_str),
            (SettingKind::StatusList, Value::Array(values)) => values
                .iter()
                .all(|value| value.as_integer().is_some_and(|code| (100..600).contains(&code))),
            (SettingKind::LookupPath, Value::String(text)) => {
                text.starts_with('/') && text.contains("{key}")
            }
            _ => false,
        }
    }
}

fn unknown_key(key: &str, schema: &[Setting]) -> String {
    let distance = |setting: &Setting| strsim::damerau_levenshtein(key, setting.key);
    let nearest = schema.iter().min_by_key(|setting| distance(setting));
    match nearest.filter(|setting| distance(setting) <= MAX_HINT_DISTANCE) {
        Some(setting) => format!("unknown key; did you mean {}?", setting.key),
        None => {
            let known: Vec<_> = schema.iter().map(|setting| setting.key).collect();
            format!("unknown key; known keys are {}", known.join(", "))
        }
    }
}

fn join_path(parent_path: &str, key: &str) -> String {
    if parent_path.is_empty() { key.to_owned() } else { format!("{parent_path}.{key}") }
}

fn display_value(value: &Value) -> String {
    let text = match value {
        Value::Table(_) => "(a table)".into(),
        value => value.to_string(),
    };
    text.chars().take(MAX_DISPLAYED_CHARS).collect()
}
