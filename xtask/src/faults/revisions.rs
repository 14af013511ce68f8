//! Changes of the configuration by operators, and the revisions that the nodes have in force.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

use fleet::{Author, CONFIG_KEY, ConfigStore, VersionedConfig, WriteOutcome};
use futures_util::future::join_all;
use keyvalue::{HttpKeyValue, KeyValue};
use operators::api::Readiness;
use settings::FleetConfig;
use transport::Timeouts;

use crate::faults::testbed::Testbed;

/// Timeouts of an operator's calls to the key-value service. They are short, so that a case with
/// many lost answers ends in time.
const STORE_TIMEOUTS: Timeouts = Timeouts::from_millis(300, 300);
/// Time within which a change has to be in force on all nodes (R7).
pub(crate) const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);
/// Interval at which the revisions of the nodes are read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An operator with a separate client of the key-value service.
pub(crate) struct Operator {
    name: &'static str,
    store: ConfigStore,
    /// Number of changes that this operator has tried to write.
    changes: Cell<u32>,
}

impl Operator {
    /// Reads the configuration.
    pub(crate) async fn read(&self) -> VersionedConfig {
        let read = self.store.read().await;
        read.unwrap_or_else(|error| panic!("{} cannot read the configuration: {error}", self.name))
    }

    /// Writes the configuration that was read, with another queue depth. Also returns the
    /// identifier of the change.
    pub(crate) async fn write(&self, read: &VersionedConfig, depth: u64) -> (WriteOutcome, String) {
        let mut wanted = read.config.clone();
        wanted.defaults.queue_depth = depth;
        self.write_config(read, wanted).await
    }

    /// Writes a configuration that is based on `read`. Also returns the identifier of the change.
    pub(crate) async fn write_config(
        &self,
        read: &VersionedConfig,
        wanted: FleetConfig,
    ) -> (WriteOutcome, String) {
        self.changes.set(self.changes.get() + 1);
        let change = format!("{}-{}", self.name, self.changes.get());
        let author = Author { name: self.name.into(), change_id: change.clone() };
        (self.store.write(read, wanted, &author).await, change)
    }
}

impl Testbed {
    pub(crate) fn operator(&self, name: &'static str) -> Operator {
        let (clock, addr) = (self.cluster.clock.clone(), self.cluster.keyvalue.addr());
        let store = Rc::new(HttpKeyValue::new(clock.clone(), addr, STORE_TIMEOUTS));
        Operator { name, store: ConfigStore::new(store, clock), changes: Cell::new(0) }
    }

    /// Writes a change and returns its revision. It is a problem if the change is not accepted.
    pub(crate) async fn change(
        &self,
        operator: &Operator,
        edit: impl FnOnce(&FleetConfig) -> FleetConfig,
    ) -> u64 {
        let read = operator.read().await;
        let (outcome, _) = operator.write_config(&read, edit(&read.config)).await;
        match outcome {
            WriteOutcome::Accepted { revision, .. } => revision,
            outcome => {
                self.add_problem(format!("a change was not accepted: {outcome:?}"));
                read.config.revision
            }
        }
    }

    /// Waits until all nodes are ready and use `revision` or a newer one. Returns the time it took.
    pub(crate) async fn wait_revision(&self, revision: u64) -> Duration {
        let started = self.now();
        loop {
            let found = self.revisions().await;
            let time = self.now().since(started);
            if found.iter().all(|known| *known >= Some(revision)) {
                return time;
            }
            if time > IN_FORCE_LIMIT {
                self.add_problem(format!(
                    "revision {revision} is not in force everywhere: {found:?}"
                ));
                return time;
            }
            self.cluster.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls the nodes until `stop` and checks that no node returns to an older revision, not even
    /// after a restart.
    pub(crate) async fn watch_revisions(&self, stop: &Cell<bool>) {
        let mut last_seen: BTreeMap<usize, u64> = BTreeMap::new();
        let mut reads = 0;
        while !stop.get() {
            for (node, revision) in self.revisions().await.into_iter().enumerate() {
                let Some(revision) = revision else { continue };
                reads += 1;
                let known = last_seen.entry(node).or_default();
                let before = *known;
                self.check(revision >= before, || {
                    format!("node-{node} went from revision {before} to {revision}")
                });
                // Later reads are compared with the older revision, so that a problem is added
                // once.
                *known = revision;
            }
            self.cluster.clock.sleep(POLL_INTERVAL).await;
        }
        self.check(reads > 0, || "no node reported a revision".into());
    }

    /// Reads the configuration from the key-value service.
    pub(crate) async fn stored_config(&self) -> FleetConfig {
        let entry = self.cluster.store().get(CONFIG_KEY).await.ok().flatten();
        let parsed = entry.and_then(|entry| FleetConfig::parse(&entry.value).ok());
        parsed.unwrap_or_else(|| {
            self.add_problem("the stored configuration cannot be read".into());
            FleetConfig::default()
        })
    }

    /// The revision that each node uses, or `None` if the node does not answer or is not ready.
    async fn revisions(&self) -> Vec<Option<u64>> {
        let nodes = self.cluster.nodes.iter();
        join_all(nodes.map(|node| async {
            let status = self.cluster.status(node).await?;
            (status.readiness == Readiness::Ready).then_some(status.revision)
        }))
        .await
    }
}
