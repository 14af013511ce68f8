//! Upstreams that say that they are leaving. What an upstream says holds for its incarnation,
//! whatever the key-value service says. It gets no new work, unless no other upstream can do it and
//! the upstream still serves for a while.

use std::time::Duration;

use catalog::{LeavingMark, LeavingSource, Phase, UpdateOutcome, Upstream};
use types::{ServiceName, UpstreamName};

use crate::Gateway;

/// Time for which a leaving upstream is used if no other one is left, as a share of the shortest
/// time within which a change must be in force. The platform lets an upstream serve for longer.
const LAST_USE_SHARE: f64 = 0.5;

impl Gateway {
    /// Records that an upstream has said in an answer to this node that it is leaving, and tells
    /// the other nodes if they may not know it yet.
    pub(crate) fn record_own_leaving(&self, name: &UpstreamName, incarnation: u64) {
        if self.mark_leaving(name, incarnation, LeavingSource::Answer) {
            self.outbox.push_leaving(name, incarnation);
        }
    }

    /// Applies what another node has learned about leaving upstreams. Returns what was new.
    pub(crate) fn apply_leaving(
        &self,
        mut upstreams: Vec<(UpstreamName, u64)>,
    ) -> Vec<(UpstreamName, u64)> {
        self.outbox.drop_announced(&upstreams);
        upstreams.retain(|(name, incarnation)| {
            self.mark_leaving(name, *incarnation, LeavingSource::Node)
        });
        upstreams
    }

    fn mark_leaving(&self, name: &UpstreamName, incarnation: u64, source: LeavingSource) -> bool {
        let mark = LeavingMark { source, since: self.clock.now() };
        let outcome = self.catalog.borrow_mut().mark_leaving(name, incarnation, mark);
        if outcome == UpdateOutcome::Ignored {
            return false;
        }
        let source: &str = source.into();
        self.metrics.leaving_marks.with_label_values(&[source]).inc();
        tracing::info!(upstream = %name, boot = incarnation, source, "upstream says it is leaving");
        true
    }

    /// Whether an upstream that is leaving by its own word may be used if no other one is left.
    pub(crate) fn is_in_last_use(&self, upstream: &Upstream) -> bool {
        let now = self.clock.now();
        let limit = self.change_limit().mul_f64(LAST_USE_SHARE);
        let catalog = self.catalog.borrow();
        catalog.mark_against_entry(upstream).is_some_and(|mark| now.since(mark.since) < limit)
            && !self.health.borrow().is_avoided(&upstream.name, upstream.incarnation, now)
            && !self.is_paused(upstream)
    }

    /// Whether a service has an upstream that is leaving and may be used if no other one is left.
    pub(crate) fn has_last_uses(&self, service: &ServiceName) -> bool {
        let catalog = self.catalog.borrow();
        let mut upstreams = catalog.upstreams().filter(|upstream| upstream.service == *service);
        upstreams.any(|upstream| upstream.phase == Phase::Leaving && self.is_in_last_use(upstream))
    }

    /// Who said that an upstream is leaving whose entry says that it serves, and how long ago.
    pub(crate) fn leaving_belief(&self, upstream: &Upstream) -> Option<(&'static str, Duration)> {
        let catalog = self.catalog.borrow();
        let mark = catalog.mark_against_entry(upstream)?;
        Some((mark.source.into(), self.clock.now().since(mark.since)))
    }
}
