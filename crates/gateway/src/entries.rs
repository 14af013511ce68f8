//! The entry upstreams that a resumable stream counts towards the limit of its route.

use std::{cell::Cell, pin::pin, rc::Rc, sync::Arc, time::Duration};

use catalog::Upstream;
use clock::timeout;
use futures_util::future::{Either, select};
use transport::CallError;
use types::UpstreamName;

use crate::{
    Gateway,
    attempt::Attempts,
    lifecycle::ActiveRequest,
    selection::{NoSelection, Selection, SelectionQuery},
};

/// Time between two connection probes of an entry upstream without an entry in the registry, while
/// a stream may not use another one.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of such a probe: several round trips between failure domains.
const PROBE_LIMIT: Duration = Duration::from_millis(50);

/// What shows that the process of an entry upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum EndEvidence {
    /// It refused a connection of this node.
    Refused,
    /// Another process that started later is registered at its address.
    Replaced,
}

/// The entry upstream of a failed attempt, on which the stream may still run.
pub(crate) struct LiveEntry {
    upstream: Arc<Upstream>,
    /// The client outlives the upstream's entry in the registry, after which the gateway keeps none.
    client: Rc<dyn upstreams::UpstreamClient>,
    /// Whether a probe of this request has shown that the process has ended.
    has_ended: Cell<bool>,
}

impl LiveEntry {
    fn of(selection: &Selection) -> LiveEntry {
        LiveEntry {
            upstream: selection.upstream.clone(),
            client: selection.client.clone(),
            has_ended: Cell::new(false),
        }
    }

    fn is(&self, upstream: &Upstream) -> bool {
        self.upstream.is_same_incarnation(upstream)
    }
}

impl Attempts {
    /// Counts the entry upstream of a failed attempt, and drops those that have ended.
    pub(crate) fn count_entry(&mut self, gateway: &Gateway, selection: &Selection) {
        self.drop_ended_entries(gateway);
        if !self.live_entries.iter().any(|entry| entry.is(&selection.upstream)) {
            self.live_entries.push(LiveEntry::of(selection));
        }
    }

    fn drop_ended_entries(&mut self, gateway: &Gateway) {
        self.live_entries.retain(|entry| {
            let Some(evidence) = gateway.entry_end(entry) else { return true };
            let evidence: &str = evidence.into();
            tracing::info!(upstream = %entry.upstream.name, boot = entry.upstream.incarnation,
                evidence, "entry upstream no longer counts");
            false
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
        let live = attempts.live_entries.iter().filter(|entry| gateway.entry_end(entry).is_none());
        let others = live.filter(|entry| !current.is_some_and(|current| entry.is(current)));
        let mut entries: Vec<UpstreamName> =
            others.map(|entry| entry.upstream.name.clone()).collect();
        entries.extend(current.map(|current| current.name.clone()));
        if entries.len() < self.route.max_entries as usize { Vec::new() } else { entries }
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
            return Some(self.admit(query).await);
        }
        let entry_end = self.wait_for_entry_end(&attempts.live_entries);
        match select(pin!(self.admit(query)), pin!(entry_end)).await {
            Either::Left((admitted, _)) => return Some(admitted),
            Either::Right(((), _)) => {}
        }
        attempts.drop_ended_entries(&self.gateway);
        None
    }

    /// Completes when one of the upstreams has ended.
    async fn wait_for_entry_end(&self, entries: &[LiveEntry]) {
        let gateway = &self.gateway;
        loop {
            for entry in entries {
                gateway.probe_removed_entry(entry).await;
            }
            if entries.iter().any(|entry| gateway.entry_end(entry).is_some()) {
                return;
            }
            gateway.clock.sleep(PROBE_INTERVAL).await;
        }
    }
}

impl Gateway {
    /// What shows that the process of an upstream has ended; `None` if it may still run. The
    /// removal of its entry, or a later entry under its name at another address, shows nothing,
    /// since it may go on serving for its drain time.
    fn entry_end(&self, entry: &LiveEntry) -> Option<EndEvidence> {
        let Upstream { name, addr, incarnation, .. } = &*entry.upstream;
        let now = self.clock.now();
        if entry.has_ended.get() || self.health.borrow().has_ended(name, *incarnation, now) {
            return Some(EndEvidence::Refused);
        }
        let catalog = self.catalog.borrow();
        let mut upstreams = catalog.upstreams();
        let is_replaced =
            upstreams.any(|other| other.addr == *addr && other.incarnation > *incarnation);
        is_replaced.then_some(EndEvidence::Replaced)
    }

    /// Whether the process of an upstream has an entry in the registry.
    fn is_registered(&self, upstream: &Upstream) -> bool {
        let catalog = self.catalog.borrow();
        let registered = catalog.upstream(&upstream.name);
        registered.is_some_and(|other| other.is_same_incarnation(upstream))
    }

    /// Probes an upstream whose process has no entry in the registry any more. Those that have one
    /// are probed when a call to them breaks or is silent.
    async fn probe_removed_entry(&self, entry: &LiveEntry) {
        let LiveEntry { upstream, client, has_ended } = entry;
        if self.is_registered(upstream) || self.is_paused(upstream) {
            return;
        }
        let probe = timeout(&*self.clock, PROBE_LIMIT, client.probe()).await;
        if matches!(probe, Ok(Err(CallError::Refused))) {
            tracing::debug!(upstream = %upstream.name, boot = upstream.incarnation,
                "entry upstream without an entry in the registry has ended");
            has_ended.set(true);
        }
    }
}
