//! Updates that nodes send one another without delay: changes in the key-value service, and
//! upstreams that have failed or are leaving. With the changes, each node can read the service at
//! long intervals and still learns of a change at once, even while the service rejects the node's
//! calls. A node that receives a failure verifies it itself.

use std::{cell::RefCell, ops::Range, rc::Rc, time::Duration};

use crashes::{CrashNote, RefusalKey};
use futures_util::future::{join, join3};
use keyvalue::Item;
use peers::{Datagram, DatagramSocket, NamedRate, StoreChange};
use rand::Rng;
use types::UpstreamName;

use crate::{
    Gateway,
    audience::{Audience, UPDATE_RELAYS},
    store,
    wakeup::Wakeup,
};

/// Interval between two reads of the changes, as a share of the shortest time within which a change
/// must be in force. It is drawn anew for each read, so that the nodes do not read at the same time
/// and the first one tells the others of a change soon.
const READ_INTERVAL_SHARE: Range<f64> = 0.4..0.6;
/// Most failed upstreams in one datagram, so that it stays within its size limit.
const MAX_FAILED_PER_DATAGRAM: usize = 40;

/// Most leaving upstreams in one datagram, which fit with the longest names.
const MAX_LEAVING_PER_DATAGRAM: usize = 16;

/// Most rates of upstreams in one datagram, which fit with the longest names.
const MAX_RATES_PER_DATAGRAM: usize = 16;

/// Longest delay before changes are sent, for each node of the domain. If all of them have read the
/// changes at once, the first one is on average this much ahead of the second, which is enough for
/// its datagrams to arrive.
const SPREAD_PER_NODE: Duration = Duration::from_millis(5);
/// Longest delay before changes are sent in a large domain.
const MAX_SPREAD: Duration = Duration::from_millis(200);

/// Time for which notes about crashes are collected in a small fleet before they are sent. A lost
/// failure domain gives many at the same time.
const CRASH_NOTE_DELAY: Duration = Duration::from_millis(10);
/// Time between two repetitions of what a node knows about crashes, in a small fleet.
const CRASH_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Nodes that get each repetition.
const CRASH_REPEAT_NODES: usize = 2;

/// Updates that this node has not sent to the other nodes yet.
#[derive(Default)]
pub(crate) struct Outbox {
    changes: UpdateQueue<StoreChange>,
    /// Failed upstreams, each with the incarnation that failed.
    failed: UpdateQueue<(UpstreamName, u64)>,
    crash_notes: UpdateQueue<CrashNote>,
    /// Refusals whose entries in the key-value service may have to be written.
    refusals: UpdateQueue<RefusalKey>,
    /// Upstreams that have said to this node that they are leaving, each with its incarnation.
    leaving: UpdateQueue<(UpstreamName, u64)>,
    /// Rates that upstreams have named to this node.
    rates: UpdateQueue<NamedRate>,
}

/// Updates of one kind that wait to be sent.
struct UpdateQueue<T> {
    updates: RefCell<Vec<T>>,
    filled: Wakeup,
}

impl<T> Default for UpdateQueue<T> {
    fn default() -> UpdateQueue<T> {
        UpdateQueue { updates: RefCell::default(), filled: Wakeup::default() }
    }
}

impl<T> UpdateQueue<T> {
    fn push(&self, update: T) {
        self.updates.borrow_mut().push(update);
        self.filled.raise();
    }

    fn take(&self) -> Vec<T> {
        self.updates.take()
    }

    /// Waits until there is an update to send.
    async fn wait(&self) {
        let filled = self.filled.arm();
        if self.updates.borrow().is_empty() {
            filled.raised().await;
        }
    }
}

impl Outbox {
    /// Adds a change.
    pub(crate) fn push_change(&self, item: &Item) {
        let Item { key, value, revision } = item.clone();
        self.changes.push(StoreChange { key: key.into(), value, revision });
    }

    /// Adds notes about crashes.
    pub(crate) fn push_crash_notes(&self, notes: impl IntoIterator<Item = CrashNote>) {
        notes.into_iter().for_each(|note| self.crash_notes.push(note));
    }

    /// Adds a refusal that has begun or ended.
    pub(crate) fn push_refusal(&self, key: RefusalKey) {
        self.refusals.push(key);
    }

    /// Waits for refusals that have begun or ended.
    pub(crate) async fn refusals(&self) -> Vec<RefusalKey> {
        self.refusals.wait().await;
        self.refusals.take()
    }

    /// Adds a leaving upstream.
    pub(crate) fn push_leaving(&self, name: &UpstreamName, incarnation: u64) {
        self.leaving.push((name.clone(), incarnation));
    }

    /// Drops leaving upstreams that another node has announced.
    pub(crate) fn drop_announced(&self, announced: &[(UpstreamName, u64)]) {
        self.leaving.updates.borrow_mut().retain(|upstream| !announced.contains(upstream));
    }

    /// Adds a rate that an upstream has named.
    pub(crate) fn push_rate(&self, rate: NamedRate) {
        self.rates.push(rate);
    }

    /// Drops rates that another node has told.
    pub(crate) fn drop_rates(&self, told: &[NamedRate]) {
        self.rates.updates.borrow_mut().retain(|rate| !told.contains(rate));
    }

    /// Drops changes that another node has sent.
    fn drop_sent(&self, sent: &[StoreChange]) {
        self.changes.updates.borrow_mut().retain(|change| {
            !sent.iter().any(|other| other.key == change.key && other.revision >= change.revision)
        });
    }
}

impl Gateway {
    /// Time until the next read of the changes in the key-value service.
    pub(crate) fn read_interval(&self) -> Duration {
        self.change_limit().mul_f64(rand::rng().random_range(READ_INTERVAL_SHARE))
    }

    /// Longest time between two reads of the changes.
    pub(crate) fn longest_read_interval(&self) -> Duration {
        self.change_limit().mul_f64(READ_INTERVAL_SHARE.end)
    }

    /// Shortest time within which a change must be in force.
    pub(crate) fn change_limit(&self) -> Duration {
        let shortest = self.settings.change_limits_ms.iter().min().copied().unwrap_or_default();
        Duration::from_millis(shortest)
    }

    /// Applies changes that another node has read from the key-value service. Returns those that
    /// were new to this node.
    pub(crate) fn apply_store_changes(
        self: &Rc<Self>,
        mut changes: Vec<StoreChange>,
    ) -> Vec<StoreChange> {
        self.outbox.drop_sent(&changes);
        changes.retain(|change| {
            let StoreChange { key, value, revision } = change.clone();
            store::apply_item(self, &Item { key: key.as_ref().to_owned(), value, revision })
        });
        changes
    }

    /// Announces to the other nodes that this node has found an upstream to have failed.
    pub(crate) fn announce_failure(&self, name: &UpstreamName) {
        if let Some(upstream) = self.catalog.borrow().upstream(name) {
            self.outbox.failed.push((name.clone(), upstream.incarnation));
        }
    }

    /// Triggers an immediate read of the changes if another node has a newer routing table, which
    /// is too large for a datagram.
    pub(crate) fn observe_table_version(&self, version: u64) {
        // Each announced version triggers only one read. While a watch is pending, `watch` checks
        // that it shows the version.
        if version > self.table_version().max(self.announced_version.get()) {
            self.announced_version.set(version);
            self.reread.raise();
        }
    }

    /// Whether another node has announced a newer routing table than the one in force here.
    pub(crate) fn lacks_announced_table(&self) -> bool {
        self.announced_version.get() > self.table_version()
    }

    /// Version of the routing table in force; 0 if there is none.
    pub(crate) fn table_version(&self) -> u64 {
        self.catalog.borrow().table().map_or(0, |table| table.version())
    }
}

/// Sends this node's updates to the other nodes.
pub(crate) async fn send_updates(gateway: Rc<Gateway>, socket: Rc<DatagramSocket>) {
    let crashes = join(send_crash_notes(&gateway, &socket), repeat_crash_notes(&gateway, &socket));
    let notices = join(send_leaving(&gateway, &socket), send_rates(&gateway, &socket));
    let changes = join(send_changes(&gateway, &socket), notices);
    join3(send_failures(&gateway, &socket), changes, crashes).await;
}

async fn send_failures(gateway: &Rc<Gateway>, socket: &DatagramSocket) {
    loop {
        gateway.outbox.failed.wait().await;
        let failed = gateway.outbox.failed.take();
        // Announced directly, since streams through a failed engine wait for it.
        let audience = gateway.all_nodes_directly();
        let mut unsent = 0;
        for part in failed.chunks(MAX_FAILED_PER_DATAGRAM) {
            unsent += audience.send(socket, Datagram::Failed(part.to_vec())).await;
        }
        if unsent > 0 {
            tracing::debug!(unsent, "failed upstreams could not be announced");
        }
    }
}

/// Sends notes about crashes to all other nodes, those of a short interval together.
async fn send_crash_notes(gateway: &Rc<Gateway>, socket: &DatagramSocket) {
    loop {
        gateway.outbox.crash_notes.wait().await;
        let scale = gateway.fleet_scale();
        gateway.clock.sleep(CRASH_NOTE_DELAY.mul_f64(scale * scale)).await;
        let notes = gateway.outbox.crash_notes.take();
        send_notes(notes, &gateway.all_nodes_directly(), socket).await;
    }
}

/// Repeats to a few other nodes what this node knows of crashes, for those that have missed it or
/// have started since.
async fn repeat_crash_notes(gateway: &Rc<Gateway>, socket: &DatagramSocket) {
    loop {
        gateway.clock.sleep(CRASH_REPEAT_INTERVAL.mul_f64(gateway.fleet_scale())).await;
        let notes = gateway.crashes.borrow().notes(gateway.clock.now());
        if !notes.is_empty() {
            send_notes(notes, &gateway.random_nodes(CRASH_REPEAT_NODES), socket).await;
        }
    }
}

async fn send_notes(notes: Vec<CrashNote>, audience: &Audience, socket: &DatagramSocket) {
    let mut unsent = 0;
    for datagram in Datagram::of_crash_notes(notes) {
        unsent += audience.send(socket, datagram).await;
    }
    if unsent > 0 {
        tracing::debug!(unsent, "notes about crashes could not be sent");
    }
}

/// Sends changes after a random delay. Nodes often read the same changes at the same time; those
/// that another node has sent meanwhile are not sent again.
async fn send_changes(gateway: &Rc<Gateway>, socket: &DatagramSocket) {
    loop {
        gateway.outbox.changes.wait().await;
        spread_senders(gateway).await;
        let mut unsent = 0;
        for datagram in Datagram::of_changes(gateway.outbox.changes.take()) {
            unsent += gateway.all_nodes(UPDATE_RELAYS).send(socket, datagram).await;
        }
        if unsent > 0 {
            tracing::debug!(unsent, "changes could not be sent");
        }
    }
}

/// Announces leaving upstreams after a random delay, unless another node has announced them
/// meanwhile: all nodes that use an upstream get its answers.
async fn send_leaving(gateway: &Rc<Gateway>, socket: &DatagramSocket) {
    loop {
        gateway.outbox.leaving.wait().await;
        spread_senders(gateway).await;
        let mut unsent = 0;
        for part in gateway.outbox.leaving.take().chunks(MAX_LEAVING_PER_DATAGRAM) {
            let datagram = Datagram::Leaving(part.to_vec());
            unsent += gateway.all_nodes(UPDATE_RELAYS).send(socket, datagram).await;
        }
        if unsent > 0 {
            tracing::debug!(unsent, "leaving upstreams could not be announced");
        }
    }
}

/// Tells the rates that upstreams have named after a random delay, unless another node has told them
/// meanwhile.
async fn send_rates(gateway: &Rc<Gateway>, socket: &DatagramSocket) {
    loop {
        gateway.outbox.rates.wait().await;
        spread_senders(gateway).await;
        let mut unsent = 0;
        for part in gateway.outbox.rates.take().chunks(MAX_RATES_PER_DATAGRAM) {
            let datagram = Datagram::RateLimits(part.to_vec());
            unsent += gateway.all_nodes(UPDATE_RELAYS).send(socket, datagram).await;
        }
        if unsent > 0 {
            tracing::debug!(unsent, "rates of upstreams could not be told");
        }
    }
}

/// Waits for a random time, so that one of the nodes that have learned something at the same time
/// is ahead of the others.
async fn spread_senders(gateway: &Gateway) {
    let longest = (SPREAD_PER_NODE * gateway.own_domain().len() as u32).min(MAX_SPREAD);
    gateway.clock.sleep(longest.mul_f64(rand::rng().random())).await;
}
