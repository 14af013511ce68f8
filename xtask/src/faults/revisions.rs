//! Changes of the configuration by operators, and the revisions that the nodes have in force.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

use fleet::{Author, CONFIG_KEY, ConfigStore, VersionedConfig, WriteOutcome};
use futures_util::future::join_all;
use keyvalue::{HttpKeyValue, KeyValue};
use operators::api::Readiness;
use settings::FleetConfig;
use transport::Timeouts;

use crate::faults::testbed::Testbed;

/// Deadlines of an operator's call to the key-value service. They are short, so that a case can
/// lose many answers.
const STORE_TIMEOUTS: Timeouts = Timeouts::from_millis(300, 300);
/// Time in which a change is in force on all nodes (R7).
pub(crate) const FORCE_LIMIT: Duration = Duration::from_secs(11);
/// Interval of the looks at the revisions.
const POLL: Duration = Duration::from_millis(20);

/// An operator with an own connection to the key-value service.
pub(crate) struct Operator {
    name: &'static str,
    store: ConfigStore,
    changes: Cell<u32>,
}

impl Operator {
    pub(crate) async fn read(&self) -> VersionedConfig {
        let read = self.store.read().await;
        read.unwrap_or_else(|error| panic!("{} cannot read: {error}", self.name))
    }

    /// Changes the queue depth. Also returns the identifier of the change.
    pub(crate) async fn write(&self, read: &VersionedConfig, depth: u64) -> (WriteOutcome, String) {
        let mut wanted = read.config.clone();
        wanted.defaults.queue_depth = depth;
        self.write_config(read, wanted).await
    }

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

    /// Makes a change that has to be accepted, and returns its revision.
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
                self.problem(format!("a change was not accepted: {outcome:?}"));
                read.config.revision
            }
        }
    }

    /// Waits until all nodes are ready with a revision or a newer one. Returns the time it took.
    pub(crate) async fn wait_revision(&self, revision: u64) -> Duration {
        let started = self.now();
        loop {
            let found = self.revisions().await;
            let time = self.now().since(started);
            if found.iter().all(|known| *known >= Some(revision)) {
                return time;
            }
            if time > FORCE_LIMIT {
                self.problem(format!("revision {revision} is not in force everywhere: {found:?}"));
                return time;
            }
            self.cluster.clock.sleep(POLL).await;
        }
    }

    /// Polls the nodes until `stop` and checks that no revision goes down, also over restarts.
    pub(crate) async fn watch_revisions(&self, stop: &Cell<bool>) {
        let mut highest: BTreeMap<usize, u64> = BTreeMap::new();
        let mut looks = 0;
        while !stop.get() {
            for (node, revision) in self.revisions().await.into_iter().enumerate() {
                let Some(revision) = revision else { continue };
                looks += 1;
                let known = highest.entry(node).or_default();
                let before = *known;
                self.check(revision >= before, || {
                    format!("node-{node} went from revision {before} to {revision}")
                });
                // Later looks are compared with the lower one, so that a fault is noted once.
                *known = revision;
            }
            self.cluster.clock.sleep(POLL).await;
        }
        self.check(looks > 0, || "no revision was seen".into());
    }

    /// The configuration in the key-value service.
    pub(crate) async fn stored_config(&self) -> FleetConfig {
        let entry = self.cluster.store().get(CONFIG_KEY).await.ok().flatten();
        let parsed = entry.and_then(|entry| FleetConfig::parse(&entry.value).ok());
        parsed.unwrap_or_else(|| {
            self.problem("the stored configuration cannot be read".into());
            FleetConfig::default()
        })
    }

    /// The revision of each node; none of a node that does not answer or is not ready.
    async fn revisions(&self) -> Vec<Option<u64>> {
        let nodes = self.cluster.nodes.iter();
        join_all(nodes.map(|node| async {
            let status = self.cluster.status(node).await?;
            (status.readiness == Readiness::Ready).then_some(status.revision)
        }))
        .await
    }
}
