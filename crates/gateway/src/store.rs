//! The task that reads and watches the key-value service: the routing table that operators publish,
//! and the entries in which upstreams and nodes register.

use std::{pin::pin, rc::Rc, time::Duration};

use catalog::{RoutingTable, Service, UpdateOutcome};
use clock::supervise;
use compio::runtime::spawn;
use futures_util::future::{Either, select};
use keyvalue::{Changes, Item, KvError};
use types::{NodeName, ServiceName, UpstreamName};

use crate::{
    Gateway, caller_limits::check_table, peering::NODE_PREFIX, planner::PLANNER_KEY,
    refusals::REFUSED_PREFIX,
};

/// Delay before the next read after a failed one. It doubles with each further failure, up to
/// [`MAX_RETRY_DELAY`] times [`Gateway::fleet_scale`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Shortest outage in which the entries of upstreams that still run may lapse.
const MIN_OUTAGE: Duration = Duration::from_millis(1000);
/// Time after an outage within which upstreams that still run write lapsed entries again.
pub(crate) const LAPSE_GRACE: Duration = Duration::from_millis(2000);

/// Time for which a watch may show nothing of a configuration that another node has announced, as a
/// share of the shortest time within which a change must be in force. After it, the watch counts as
/// stalled: it stays open and reports no changes. The time doubles with each watch, since a long reply
/// takes time too.
const WATCH_STALL_SHARE: f64 = 0.25;

/// Keeps the catalog of this node up to date with the key-value service.
pub async fn watch_store(gateway: Rc<Gateway>) {
    supervise(&*gateway.clock, "store", || follow_store(gateway.clone())).await;
}

/// Reads all keys and watches for changes. A single watch covers all keys, since revisions are
/// counted over all keys and each pending watch counts as a call.
async fn follow_store(gateway: Rc<Gateway>) {
    let mut pause = MIN_RETRY_DELAY;
    loop {
        let error = match read_all(&gateway).await {
            Ok(at) => {
                pause = MIN_RETRY_DELAY;
                if gateway.store_lost_at.take().is_some() {
                    tracing::info!(revision = at, "key-value service can be reached again");
                }
                watch(&gateway, at).await
            }
            Err(error) => Some(error),
        };
        if let Some(error) = error {
            if gateway.store_lost_at.get().is_none() {
                tracing::warn!(%error, "key-value service is lost");
                gateway.store_lost_at.set(Some(gateway.clock.now()));
            }
            gateway.clock.sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_DELAY.mul_f64(gateway.fleet_scale()));
        }
    }
}

/// Reads all keys. Returns the revision at which they were read.
async fn read_all(gateway: &Rc<Gateway>) -> Result<u64, KvError> {
    let (items, at) = gateway.store.list_items("").await?;
    let prefix = gateway.codec.upstream_prefix();
    let mut names: Vec<UpstreamName> = Vec::new();
    let mut nodes: Vec<NodeName> = Vec::new();
    let mut has_planner = false;
    for item in items {
        if let Some(name) = item.key.strip_prefix(prefix) {
            names.push(name.into());
        } else if let Some(name) = item.key.strip_prefix(NODE_PREFIX) {
            nodes.push(name.into());
        }
        has_planner |= item.key == PLANNER_KEY;
        apply_item(gateway, &item);
    }
    gateway.planner_active.set(has_planner);
    let missing = gateway.catalog.borrow_mut().apply_list(&names, at);
    let lost_at = gateway.store_lost_at.get();
    let was_outage =
        lost_at.is_some_and(|lost_at| gateway.clock.now().since(lost_at) >= MIN_OUTAGE);
    gateway.apply_member_list(&nodes, at, was_outage);
    if was_outage && !missing.is_empty() {
        tracing::info!(
            revision = at,
            count = missing.len(),
            "entries of upstreams are missing after an outage; they may come back"
        );
        spawn(remove_lapsed(gateway.clone(), missing)).detach();
    } else {
        remove_missing(gateway, &missing);
    }
    gateway.drop_stale_clients();
    Ok(at)
}

/// Removes the upstreams whose entries lapsed during an outage and are not back in time.
async fn remove_lapsed(gateway: Rc<Gateway>, missing: Vec<(UpstreamName, u64)>) {
    gateway.clock.sleep(LAPSE_GRACE).await;
    // In another outage they could not come back; the list after it shows whether they have.
    if gateway.store_lost_at.get().is_none() {
        remove_missing(&gateway, &missing);
        gateway.drop_stale_clients();
    }
}

fn remove_missing(gateway: &Gateway, missing: &[(UpstreamName, u64)]) {
    for name in gateway.catalog.borrow_mut().remove_missing(missing) {
        tracing::info!(upstream = %name, "upstream is gone");
    }
}

/// Watches for changes after revision `at`. Returns why the watch ended; `None` means that the
/// service no longer has the history since `at`, so that all keys have to be read again.
async fn watch(gateway: &Rc<Gateway>, mut at: u64) -> Option<KvError> {
    let mut stall_limit = gateway.watch_stall_limit();
    loop {
        let started = gateway.clock.now();
        let (lost, silent) = (gateway.store_lost.arm(), gateway.store_silent.arm());
        let (lost, silent) = (pin!(lost.raised()), pin!(silent.raised()));
        let stalled = pin!(gateway.misses_announced_table(stall_limit));
        let interrupted = select(select(lost, silent), stalled);
        let changes = match select(gateway.store.changes("", at), interrupted).await {
            Either::Left((changes, _)) => changes,
            Either::Right((Either::Left((Either::Left(_), _)), _)) => Err(KvError::Unavailable),
            Either::Right((Either::Right(_), _)) => {
                tracing::info!(
                    revision = at,
                    announced_version = gateway.announced_version.get(),
                    waited_ms = stall_limit.as_millis() as u64,
                    "the watch shows nothing of a configuration that another node has announced; it \
                     is opened anew"
                );
                stall_limit *= 2;
                continue;
            }
            Either::Right((Either::Left((Either::Right(_), _)), _)) => {
                tracing::info!(
                    revision = at,
                    "key-value service left a call unanswered; the watch is opened anew"
                );
                continue;
            }
        };
        match changes {
            Ok(Changes::Items { items, revision: next }) => {
                for item in items {
                    if apply_item(gateway, &item) {
                        gateway.outbox.push_change(&item);
                    }
                }
                at = at.max(next);
                stall_limit = gateway.watch_stall_limit();
            }
            Ok(Changes::HistoryGone) => {
                tracing::info!(revision = at, "history of the key-value service is gone");
                return None;
            }
            Err(error) => return Some(error),
        }
        // The platform counts each call. Waiting lets one call return all changes of an interval.
        let spent = gateway.clock.now().since(started);
        let reread = gateway.reread.arm();
        let pause = gateway.clock.sleep(gateway.read_interval().saturating_sub(spent));
        select(pause, pin!(reread.raised())).await;
    }
}

impl Gateway {
    /// Time for which the first watch may show nothing of an announced configuration.
    fn watch_stall_limit(&self) -> Duration {
        self.change_limit().mul_f64(WATCH_STALL_SHARE)
    }

    /// Waits until another node has announced a newer configuration and this one has lacked it for
    /// `limit`.
    async fn misses_announced_table(&self, limit: Duration) {
        loop {
            let announced = self.reread.arm();
            if !self.lacks_announced_table() {
                announced.raised().await;
            }
            self.clock.sleep(limit).await;
            if self.lacks_announced_table() {
                return;
            }
        }
    }
}

/// Applies a change. Returns whether it should be sent to the other nodes: it is new to this node
/// and fits into a datagram.
pub(crate) fn apply_item(gateway: &Rc<Gateway>, item: &Item) -> bool {
    let codec = &gateway.codec;
    if let Some(name) = item.key.strip_prefix(codec.upstream_prefix()) {
        return apply_upstream(gateway, &name.into(), item);
    }
    if item.key == codec.table_key() {
        apply_table(gateway, item);
    } else if let Some(name) = item.key.strip_prefix(NODE_PREFIX) {
        gateway.apply_member(name, item.value.as_deref(), item.revision);
    } else if let Some(rest) = item.key.strip_prefix(REFUSED_PREFIX) {
        gateway.apply_refusal_entry(rest, item.value.as_deref());
    } else if item.key == PLANNER_KEY {
        gateway.planner_active.set(item.value.is_some());
    }
    false
}

fn apply_table(gateway: &Rc<Gateway>, item: &Item) {
    let Some(value) = &item.value else {
        tracing::warn!(
            revision = item.revision,
            "configuration was deleted; the last known one stays in force"
        );
        return;
    };
    let table = match gateway.codec.decode_table(value) {
        Ok(table) => table,
        Err(error) => {
            tracing::error!(revision = item.revision, error, "configuration is not usable");
            return;
        }
    };
    let version = table.version();
    let without_latency = services_without_latency(&table);
    check_table(&gateway.settings.limits, &table);
    if gateway.catalog.borrow_mut().apply_table(table) == UpdateOutcome::Applied {
        gateway.table_since.set(Some(gateway.clock.now()));
        gateway.metrics.table_version.set(version.try_into().unwrap_or(i64::MAX));
        tracing::info!(version, revision = item.revision, "configuration is in force");
        if gateway.settings.overload.is_some() && !without_latency.is_empty() {
            tracing::warn!(version, services = ?without_latency,
                "runtime values are missing or out of range; paths are chosen without them");
        }
    }
}

/// The services with a model whose configuration does not say how long their engines take.
fn services_without_latency(table: &RoutingTable) -> Vec<ServiceName> {
    let lacks_latency = |service: &Service| {
        service.model_profile.as_ref().is_some_and(|profile| profile.latency.is_none())
    };
    let services = table.services().filter(|(_, service)| lacks_latency(service));
    services.map(|(name, _)| name.clone()).collect()
}

/// Applies a change of an upstream's entry. Returns whether it changes the catalog of this node.
fn apply_upstream(gateway: &Rc<Gateway>, name: &UpstreamName, item: &Item) -> bool {
    let (before, before_phase) = {
        let catalog = gateway.catalog.borrow();
        (catalog.upstream(name).cloned(), catalog.registered_phase(name))
    };
    let decoded = item.value.as_ref().and_then(|value| {
        let decoded = gateway.codec.decode_upstream(name, value);
        if let Err(error) = &decoded {
            tracing::warn!(upstream = %name, revision = item.revision, error,
                "entry of an upstream is not usable");
        }
        decoded.ok()
    });
    let update = gateway.catalog.borrow_mut().apply_upstream(name, decoded.clone(), item.revision);
    if update == UpdateOutcome::Ignored {
        return false;
    }
    match (before, decoded) {
        (Some(_), None) => {
            tracing::info!(upstream = %name, revision = item.revision, "upstream is gone");
            true
        }
        (before, Some(upstream)) => {
            let changed = before.as_ref().is_none_or(|before| {
                before_phase != Some(upstream.phase)
                    || before.layers != upstream.layers
                    || !before.is_same_incarnation(&upstream)
            });
            if changed {
                let belief = gateway.leaving_belief(&upstream);
                tracing::info!(upstream = %name, revision = item.revision,
                    service = %upstream.service, phase = ?upstream.phase,
                    layers = upstream.layers.map(|layers| layers.to_string()),
                    boot = upstream.incarnation, leaving_source = belief.map(|(source, _)| source),
                    leaving_ms = belief.map(|(_, age)| age.as_millis() as u64),
                    "upstream has changed");
            }
            if let Some(before) = before.filter(|before| before.incarnation < upstream.incarnation)
            {
                gateway.observe_restart(&before);
            }
            changed
        }
        (None, None) => false,
    }
}
