//! Follows the configuration. Three nodes of each region watch its key in the key-value service;
//! the others learn of a new revision from their peers. In addition every node reads the key once a
//! minute.

use std::{pin::pin, rc::Rc, time::Duration};

use fleet::{CONFIG_KEY, ConfigUpdate};
use futures_util::future::{Either, select};
use rand::Rng;
use settings::FleetConfig;

use crate::state::Node;

/// Nodes of a region that watch the configuration.
const WATCHERS: usize = 3;
/// Interval at which a node checks whether it is one of the watchers.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay between the start of a node and its first check. Until it has learnt of the other members
/// it would find itself the only member of its region and watch.
const START_DELAY: Duration = Duration::from_secs(2);
/// Mean interval at which every node reads the configuration, in case it missed the announcement of
/// a revision. 400 nodes make 7 reads/s.
const READ_INTERVAL: Duration = Duration::from_secs(60);
/// Delay before the next read or watch, after a failed one or while there is no configuration.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Watches the configuration while this node is one of its region's watchers.
pub(crate) async fn watch_config(node: Rc<Node>) {
    let mut version = 0;
    node.clock.sleep(START_DELAY).await;
    while !node.stop.is_raised() {
        if !node.is_watcher() {
            node.clock.sleep(WATCHER_CHECK_INTERVAL).await;
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
                node.clock.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the configuration: in quick succession until the node has one, then at [`READ_INTERVAL`].
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
            RETRY_DELAY
        };
        node.clock.sleep(pause).await;
    }
}

impl Node {
    /// Puts a configuration from the key-value service or a peer in force if its revision is newer
    /// than the one in force, and tells the peers which upstreams its exceptions drain.
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

    /// Completes when this node is no longer a watcher. Its pending watch is then dropped at once,
    /// because the key-value service counts a pending watch as a call.
    async fn until_not_watcher(&self) {
        while self.is_watcher() {
            self.clock.sleep(WATCHER_CHECK_INTERVAL).await;
        }
    }

    /// Whether this node is one of the [`WATCHERS`] that rendezvous hashing chooses among the live
    /// members of its region.
    fn is_watcher(&self) -> bool {
        let table = self.fleet.borrow();
        let region = &self.settings.region;
        let members = table.live_members().filter(|member| member.region == *region);
        let chosen =
            fleet::rendezvous_choose(CONFIG_KEY, members.map(|member| &member.node), WATCHERS);
        chosen.contains(&self.settings.name)
    }
}
