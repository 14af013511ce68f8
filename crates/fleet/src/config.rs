use std::rc::Rc;

use settings::FleetConfig;

/// Key of the configuration in the key-value service.
pub const CONFIG_KEY: &str = "config/current";

/// The configuration that is in force on a node.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    current: Option<Rc<FleetConfig>>,
}

/// What became of a configuration that was offered to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigUpdate {
    /// It is newer and now in force.
    Applied,
    /// It is the one that is in force.
    Unchanged,
    /// It is older than the one in force, which stays.
    Stale,
}

impl ConfigState {
    /// The configuration in force; none before the first one was received.
    pub fn current(&self) -> Option<Rc<FleetConfig>> {
        self.current.clone()
    }

    /// Revision of the configuration in force; zero if there is none.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |config| config.revision)
    }

    /// Puts an offered configuration in force if it is newer.
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
