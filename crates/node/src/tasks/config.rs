//! How a node learns of the configuration: three nodes of a region watch the key, all read it now
//! and then, and the others hear of a new revision from their peers.

use std::{pin::pin, rc::Rc, time::Duration};

use fleet::{CONFIG_KEY, ConfigUpdate};
use futures_util::future::{Either, select};
use rand::Rng;
use settings::FleetConfig;

use crate::state::Node;

/// Nodes of a region that watch the configuration.
const WATCHERS: usize = 3;
/// Interval at which a node looks whether it is to watch.
const CHOICE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its start in which a node learns of the other members. Before, it would take itself
/// for the only one and watch.
const START_PAUSE: Duration = Duration::from_secs(2);
/// Interval at which every node reads the configuration, so that a lost announcement is made good.
/// 400 nodes make 7 reads/s.
const READ_INTERVAL: Duration = Duration::from_secs(60);
/// Pause after a failed read of the configuration.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Watches the configuration while this node is one of the chosen ones.
pub(crate) async fn watch_config(node: Rc<Node>) {
    let mut version = 0;
    node.clock.sleep(START_PAUSE).await;
    while !node.stop.is_raised() {
        if !node.is_watcher() {
            node.clock.sleep(CHOICE_INTERVAL).await;
            continue;
        }
        let watch = node.store.watch(CONFIG_KEY, version);
        let watched = match select(watch, pin!(node.until_not_watcher())).await {
            Either::Left((watched, _)) => watched,
            Either::Right(((), _)) => continue,
        };
        match watched {
            Ok(Some(entry)) => {
                version = entry.version;
                node.apply_config(&entry.value);
            }
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(%error, "configuration cannot be watched");
                node.clock.sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Reads the configuration at the start, until there is one, and then at long intervals.
pub(crate) async fn read_config(node: Rc<Node>) {
    while !node.stop.is_raised() {
        match node.store.get(CONFIG_KEY).await {
            Ok(Some(entry)) => node.apply_config(&entry.value),
            Ok(None) => {}
            Err(error) => tracing::warn!(%error, "configuration cannot be read"),
        }
        let pause = if node.config.borrow().current().is_some() {
            READ_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5))
        } else {
            READ_PAUSE
        };
        node.clock.sleep(pause).await;
    }
}

impl Node {
    /// Puts a configuration from the key-value service or a peer in force if it is newer, and
    /// tells the peers.
    pub(crate) fn apply_config(&self, text: &str) {
        let config = match FleetConfig::parse(text) {
            Ok(config) => config,
            Err(faults) => {
                tracing::error!(%faults, "configuration is not valid and is ignored");
                return;
            }
        };
        let revision = config.revision;
        let update = self.config.borrow_mut().apply(config);
        match update {
            ConfigUpdate::Applied => {
                self.metrics.config_revision.set(revision as i64);
                tracing::info!(revision, "configuration is in force");
                let changes = self.record_exceptions();
                self.peers.push(changes);
            }
            ConfigUpdate::Unchanged => {}
            ConfigUpdate::Stale => {
                tracing::error!(revision, "an older configuration was offered and is ignored");
            }
        }
    }

    /// Completes when other nodes are chosen to watch. A waiting watch counts as a call of the
    /// service, so it is ended early.
    async fn until_not_watcher(&self) {
        while self.is_watcher() {
            self.clock.sleep(CHOICE_INTERVAL).await;
        }
    }

    fn is_watcher(&self) -> bool {
        let table = self.fleet.borrow();
        let region = &self.settings.region;
        let members = table.live_members().filter(|member| member.region == *region);
        let chosen =
            fleet::rendezvous_choose(CONFIG_KEY, members.map(|member| &member.node), WATCHERS);
        chosen.contains(&self.settings.name)
    }
}
