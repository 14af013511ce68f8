use std::rc::Rc;

use settings::FleetConfig;

/// Key of the configuration in the key-value service.
pub const CONFIG_KEY: &str = "config/current";

/// The configuration that is in force on a node.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    current: Option<Rc<FleetConfig>>,
}

/// Result of [`ConfigState::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigUpdate {
    /// The given configuration is newer and is now in force.
    Applied,
    /// The given configuration has the revision of the one in force.
    Unchanged,
    /// The given configuration is older than the one in force, which stays in force.
    Stale,
}

impl ConfigState {
    /// The configuration in force, or `None` before the first one is received.
    pub fn current(&self) -> Option<Rc<FleetConfig>> {
        self.current.clone()
    }

    /// Revision of the configuration in force, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |config| config.revision)
    }

    /// Puts a configuration in force if it is newer than the current one.
    pub fn apply(&mut self, config: FleetConfig) -> ConfigUpdate {
        if config.revision == self.revision() && self.current.is_some() {
            return ConfigUpdate::Unchanged;
        }
        if config.revision < self.revision() {
            return ConfigUpdate::Stale;
        }
        self.current = Some(Rc::new(config));
        ConfigUpdate::Applied
    }
}
