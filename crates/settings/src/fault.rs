use std::{error::Error, fmt};

/// Validation error: a setting that did not pass its check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Path of the key, such as `defaults.crash_limit`.
    pub key: String,
    /// The value as written in the file.
    pub value: String,
    /// What is wrong with the value, with the unit and the allowed range.
    pub problem: String,
}

/// All validation errors of a settings file or configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingFaults(pub Vec<SettingFault>);

impl SettingFaults {
    /// Adds a fault.
    pub(crate) fn add(
        &mut self,
        key: impl Into<String>,
        value: impl fmt::Display,
        problem: impl Into<String>,
    ) {
        let (key, problem) = (key.into(), problem.into());
        self.0.push(SettingFault { key, value: value.to_string(), problem });
    }
}

impl fmt::Display for SettingFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{} = {}: {}", fault.key, fault.value, fault.problem)?;
        }
        Ok(())
    }
}

impl Error for SettingFaults {}
