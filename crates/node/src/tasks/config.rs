use std::{rc::Rc, time::Duration};

use fleet::{Adoption, CONFIG_KEY};
use keyvalue::api::Entry;
use settings::FleetConfig;

use crate::state::Node;

/// Pause after a failed read of the configuration.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Keeps the configuration up to date.
pub(crate) async fn watch_config(node: Rc<Node>) {
    let mut version = 0;
    while !node.stop.is_raised() {
        match node.store.watch(CONFIG_KEY, version).await {
            Ok(Some(entry)) => {
                version = entry.version;
                node.offer_config(&entry);
            }
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(%error, "configuration cannot be read");
                node.clock.sleep(READ_PAUSE).await;
            }
        }
    }
}

impl Node {
    /// Puts a configuration from the key-value service in force if it is newer.
    pub(crate) fn offer_config(&self, entry: &Entry) {
        let config = match FleetConfig::parse(&entry.value) {
            Ok(config) => config,
            Err(faults) => {
                tracing::error!(%faults, "configuration is not valid and is ignored");
                return;
            }
        };
        let revision = config.revision;
        match self.config.borrow_mut().offer(config) {
            Adoption::Adopted => {
                self.metrics.config_revision.set(revision as i64);
                tracing::info!(revision, "configuration is in force");
            }
            Adoption::Unchanged => {}
            Adoption::Older => {
                tracing::error!(revision, "key-value service holds an older configuration");
            }
        }
    }
}
