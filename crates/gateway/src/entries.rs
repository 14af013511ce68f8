//! The entry upstreams that a resumable stream counts towards the limit of its route.

use std::{pin::pin, time::Duration};

use catalog::Upstream;
use futures_util::future::{Either, select};
use peers::relay::EntryProcess;
use types::UpstreamName;

use crate::{
    Gateway,
    attempt::Attempts,
    lifecycle::ActiveRequest,
    selection::{NoSelection, Selection, SelectionQuery},
};

/// Time between two looks for a process that has replaced an entry upstream, while a stream may not
/// use another one.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The process of an upstream as one that a request was sent to.
pub(crate) fn entry_process(upstream: &Upstream) -> EntryProcess {
    let Upstream { name, incarnation, addr, .. } = upstream;
    EntryProcess { name: name.clone(), incarnation: *incarnation, addr: *addr }
}

impl Attempts {
    /// Counts the entry upstream of a failed attempt, and drops those that have ended. If another node
    /// has made the attempt and has not said what it used, it counts as one that is unknown.
    pub(crate) fn count_entry(&mut self, gateway: &Gateway, selection: &Selection) {
        self.drop_ended_entries(gateway);
        let used = match &selection.relay {
            Some(relay) => relay.entries(),
            None => vec![entry_process(&selection.upstream)],
        };
        if used.is_empty() {
            self.unknown_entries += 1;
        }
        for entry in used {
            if !self.live_entries.contains(&entry) {
                self.live_entries.push(entry);
            }
        }
    }

    /// Number of further entry upstreams that may run the request.
    pub(crate) fn entries_left(&self, request: &ActiveRequest) -> u32 {
        let used = if request.route.retry.is_stream() {
            self.live_entries.len() as u32 + self.unknown_entries
        } else {
            self.possibly_run
        };
        request.max_entries.saturating_sub(used)
    }

    /// Whether a stream may use no further entry upstream and none of those that it has used is known.
    pub(crate) fn has_no_entry_left(&self, request: &ActiveRequest) -> bool {
        request.route.retry.is_stream()
            && self.live_entries.is_empty()
            && self.entries_left(request) == 0
    }

    fn drop_ended_entries(&mut self, gateway: &Gateway) {
        self.live_entries.retain(|entry| {
            let is_replaced = gateway.is_replaced(entry);
            if is_replaced {
                tracing::info!(upstream = %entry.name, boot = entry.incarnation,
                    "entry upstream has been replaced and no longer counts");
            }
            !is_replaced
        });
    }
}

impl ActiveRequest {
    /// The only upstreams that may be the entry upstream of the next attempt, once the request has
    /// used the route's `max_entries` different ones that have not ended, including that of the
    /// `current` attempt. Empty if more may be used.
    pub(crate) fn allowed_entries(
        &self,
        attempts: &Attempts,
        current: Option<&Upstream>,
    ) -> Vec<UpstreamName> {
        let gateway = &self.gateway;
        let live = attempts.live_entries.iter().filter(|entry| !gateway.is_replaced(entry));
        let current = current.map(entry_process);
        let others = live.filter(|entry| Some(*entry) != current.as_ref());
        let mut entries: Vec<UpstreamName> = others.map(|entry| entry.name.clone()).collect();
        entries.extend(current.as_ref().map(|current| current.name.clone()));
        let used = entries.len() as u32 + attempts.unknown_entries;
        if used < self.max_entries { Vec::new() } else { entries }
    }

    /// Chooses the upstreams for an attempt as [`admit`](Self::admit) does. Returns `None` if the
    /// request may use no further entry upstream and one of its earlier ones is found to have
    /// ended, so that the limit is to be looked at again.
    pub(crate) async fn admit_unless_entry_ends(
        &self,
        attempts: &mut Attempts,
        query: SelectionQuery<'_>,
    ) -> Option<Result<Selection, NoSelection>> {
        let query = SelectionQuery { avoid: &attempts.avoided, ..query };
        if query.allowed_entries.is_empty() {
            return Some(self.admit_or_relay(attempts, query).await);
        }
        let entry_end = self.wait_for_replacement(&attempts.live_entries);
        match select(pin!(self.admit_or_relay(attempts, query)), pin!(entry_end)).await {
            Either::Left((admitted, _)) => return Some(admitted),
            Either::Right(((), _)) => {}
        }
        attempts.drop_ended_entries(&self.gateway);
        None
    }

    /// Completes when another process has replaced one of the upstreams.
    async fn wait_for_replacement(&self, entries: &[EntryProcess]) {
        let gateway = &self.gateway;
        while !entries.iter().any(|entry| gateway.is_replaced(entry)) {
            gateway.clock.sleep(CHECK_INTERVAL).await;
        }
    }
}

impl Gateway {
    /// Whether another process that started later is registered at the address of an upstream, which
    /// proves that its process has ended. Nothing else does: it may go on with its streams while it
    /// refuses connections, behind a cut or after closing its listener, and after the removal of its
    /// entry or the registration of its name at another address it serves for its drain time.
    fn is_replaced(&self, entry: &EntryProcess) -> bool {
        let EntryProcess { addr, incarnation, .. } = entry;
        let catalog = self.catalog.borrow();
        catalog.upstreams().any(|other| other.addr == *addr && other.incarnation > *incarnation)
    }
}
