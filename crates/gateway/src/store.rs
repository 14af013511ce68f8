//! The task of the key-value service: reads what operators and upstreams have written there, and
//! watches it.

use std::{pin::pin, rc::Rc, time::Duration};

use catalog::CatalogUpdate;
use futures_util::future::{Either, select};
use keyvalue::{Changes, Item, KvError};
use types::UpstreamName;

use crate::{Gateway, peering::NODE_PREFIX, planner::PLANNER_KEY};

/// Pause after a failed read, and its largest value after failures in a row in a small fleet.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Keeps the catalog of this node up to date with the store. One watch covers all keys: revisions
/// are counted over all of them, and each waiting watch counts as a call.
pub async fn watch_store(gateway: Rc<Gateway>) {
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    loop {
        let error = match read_all(&gateway).await {
            Ok(at) => {
                pause = FIRST_PAUSE;
                if is_lost {
                    tracing::info!(revision = at, "key-value service is back");
                }
                is_lost = false;
                watch(&gateway, at).await
            }
            Err(error) => Some(error),
        };
        if let Some(error) = error {
            if !is_lost {
                tracing::warn!(%error, "key-value service is lost");
            }
            is_lost = true;
            gateway.clock.sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE.mul_f64(gateway.fleet_scale()));
        }
    }
}

/// Reads everything. Returns the revision that it holds for.
async fn read_all(gateway: &Rc<Gateway>) -> Result<u64, KvError> {
    let (items, at) = gateway.store.list_items("").await?;
    let prefix = gateway.codec.upstream_prefix();
    let mut names: Vec<UpstreamName> = Vec::new();
    let mut planner = false;
    for item in items {
        if let Some(name) = item.key.strip_prefix(prefix) {
            names.push(name.into());
        }
        planner |= item.key == PLANNER_KEY;
        apply_item(gateway, &item);
    }
    gateway.planner_active.set(planner);
    let gone = gateway.catalog.borrow_mut().apply_list(&names, at);
    for name in &gone {
        tracing::info!(upstream = %name, revision = at, "upstream is gone");
    }
    gateway.drop_stale_clients();
    Ok(at)
}

/// Watches from revision `at`. Returns why the watch ended; `None` means that the service no longer
/// has the history and everything has to be read again.
async fn watch(gateway: &Rc<Gateway>, mut at: u64) -> Option<KvError> {
    loop {
        let started = gateway.clock.now();
        let lost = gateway.store_lost.arm();
        let changes = match select(gateway.store.changes("", at), pin!(lost.raised())).await {
            Either::Left((changes, _)) => changes,
            Either::Right(((), _)) => Err(KvError::Unavailable),
        };
        match changes {
            Ok(Changes::Items { items, revision: next }) => {
                for item in items {
                    if apply_item(gateway, &item) {
                        gateway.outbox.push_change(&item);
                    }
                }
                at = at.max(next);
            }
            Ok(Changes::HistoryGone) => {
                tracing::info!(revision = at, "history of the key-value service is gone");
                return None;
            }
            Err(error) => return Some(error),
        }
        // Each call is counted, and changes within the interval come together.
        let spent = gateway.clock.now().since(started);
        let reread = gateway.reread.arm();
        let pause = gateway.clock.sleep(gateway.read_interval().saturating_sub(spent));
        select(pause, pin!(reread.raised())).await;
    }
}

/// Takes over a change. Returns whether the other nodes may not know it and it fits a datagram.
pub(crate) fn apply_item(gateway: &Rc<Gateway>, item: &Item) -> bool {
    let codec = &gateway.codec;
    if let Some(name) = item.key.strip_prefix(codec.upstream_prefix()) {
        return apply_upstream(gateway, &name.into(), item);
    }
    if item.key == codec.table_key() {
        apply_table(gateway, item);
    } else if let Some(name) = item.key.strip_prefix(NODE_PREFIX) {
        gateway.apply_member(name, item.value.as_deref());
    } else if item.key == PLANNER_KEY {
        gateway.planner_active.set(item.value.is_some());
    }
    false
}

fn apply_table(gateway: &Rc<Gateway>, item: &Item) {
    let Some(value) = &item.value else {
        tracing::warn!(revision = item.revision, "configuration is gone; the known one stays");
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
    if gateway.catalog.borrow_mut().apply_table(table) == CatalogUpdate::Applied {
        gateway.metrics.table_version.set(version.try_into().unwrap_or(i64::MAX));
        tracing::info!(version, revision = item.revision, "configuration is in force");
    }
}

/// Takes over what was written of an upstream. Returns whether that changes the catalog of this node.
fn apply_upstream(gateway: &Rc<Gateway>, name: &UpstreamName, item: &Item) -> bool {
    let before = gateway.catalog.borrow().upstream(name).cloned();
    let decoded = item.value.as_ref().and_then(|value| {
        let decoded = gateway.codec.decode_upstream(name, value);
        if let Err(error) = &decoded {
            tracing::warn!(upstream = %name, revision = item.revision, error,
                "entry of an upstream is not usable");
        }
        decoded.ok()
    });
    let update = gateway.catalog.borrow_mut().apply_upstream(name, decoded.clone(), item.revision);
    if update == CatalogUpdate::Stale {
        return false;
    }
    match (before, decoded) {
        (Some(_), None) => {
            tracing::info!(upstream = %name, revision = item.revision, "upstream is gone");
            true
        }
        (before, Some(upstream)) => {
            let changed = before.is_none_or(|before| {
                before.phase != upstream.phase
                    || before.layers != upstream.layers
                    || !before.is_same_incarnation(&upstream)
            });
            if changed {
                tracing::info!(upstream = %name, revision = item.revision,
                    service = %upstream.service, phase = ?upstream.phase,
                    layers = upstream.layers.map(|layers| layers.to_string()),
                    boot = upstream.incarnation, "upstream has changed");
            }
            changed
        }
        (None, None) => false,
    }
}
