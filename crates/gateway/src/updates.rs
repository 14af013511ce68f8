//! Updates that nodes send one another without delay: changes in the key-value service, and
//! upstreams that have failed. With the changes, each node can read the service at long intervals
//! and still learns of a change at once, even while the service rejects the node's calls. A node
//! that receives a failure verifies it itself.

use std::{cell::RefCell, rc::Rc, time::Duration};

use keyvalue::Item;
use peers::{Datagram, DatagramSocket, StoreChange};
use types::UpstreamName;

use crate::{Gateway, store, wakeup::Wakeup};

/// Longest interval between two reads of the changes, as a share of the shortest time within which
/// a change must be in force.
const READ_INTERVAL_SHARE: f64 = 0.5;
/// Most failed upstreams in one datagram, so that it stays within its size limit.
const MAX_FAILED_PER_DATAGRAM: usize = 40;

/// Updates that this node has not sent to the other nodes yet.
#[derive(Default)]
pub(crate) struct Outbox {
    changes: RefCell<Vec<StoreChange>>,
    failed: RefCell<Vec<(UpstreamName, u64)>>,
    filled: Wakeup,
}

impl Outbox {
    /// Adds a change.
    pub(crate) fn push_change(&self, item: &Item) {
        let Item { key, value, revision } = item.clone();
        self.changes.borrow_mut().push(StoreChange { key: key.into(), value, revision });
        self.filled.raise();
    }

    /// Adds a failed upstream, with the incarnation that failed.
    fn push_failure(&self, name: &UpstreamName, incarnation: u64) {
        self.failed.borrow_mut().push((name.clone(), incarnation));
        self.filled.raise();
    }

    /// Waits until there is an update to send.
    async fn wait(&self) {
        let filled = self.filled.arm();
        if self.changes.borrow().is_empty() && self.failed.borrow().is_empty() {
            filled.raised().await;
        }
    }
}

impl Gateway {
    /// Longest time between two reads of the changes in the key-value service.
    pub(crate) fn read_interval(&self) -> Duration {
        let shortest = self.settings.change_limits_ms.iter().min().copied().unwrap_or_default();
        Duration::from_millis(shortest).mul_f64(READ_INTERVAL_SHARE)
    }

    /// Applies changes that another node has read from the key-value service.
    pub(crate) fn apply_store_changes(self: &Rc<Self>, changes: Vec<StoreChange>) {
        for StoreChange { key, value, revision } in changes {
            store::apply_item(self, &Item { key: key.as_ref().to_owned(), value, revision });
        }
    }

    /// Announces to the other nodes that this node has found an upstream to have failed.
    pub(crate) fn announce_failure(&self, name: &UpstreamName) {
        if let Some(upstream) = self.catalog.borrow().upstream(name) {
            self.outbox.push_failure(name, upstream.incarnation);
        }
    }

    /// Triggers an immediate read of the changes if another node has a newer routing table, which
    /// is too large for a datagram.
    pub(crate) fn observe_table_version(&self, version: u64) {
        let known = self.catalog.borrow().table().map_or(0, |table| table.version());
        // Each announced version triggers only one read, also if that read did not find it.
        if version > known.max(self.announced_version.get()) {
            self.announced_version.set(version);
            self.reread.raise();
        }
    }
}

/// Sends this node's updates to the other nodes.
pub(crate) async fn send_updates(gateway: Rc<Gateway>, socket: Rc<DatagramSocket>) {
    loop {
        gateway.outbox.wait().await;
        let addrs: Vec<_> = gateway.members.borrow().values().map(|member| member.addr).collect();
        let mut failed = gateway.outbox.failed.take();
        failed.truncate(MAX_FAILED_PER_DATAGRAM);
        let mut unsent = 0;
        if !failed.is_empty() {
            unsent += socket.send(&Datagram::Failed(failed), &addrs).await;
        }
        unsent += socket.send_changes(gateway.outbox.changes.take(), &addrs).await;
        if unsent > 0 {
            tracing::debug!(unsent, "updates could not be sent");
        }
    }
}
