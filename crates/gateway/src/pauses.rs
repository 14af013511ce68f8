//! Upstreams that have refused a request and asked this node to send them nothing for a while.
//! Until then they get no request at any stage, no order, no request for a report and no probe.
//! What they run goes on, and their health is not charged.

use std::time::Duration;

use catalog::{ModelProfile, Phase, Upstream};
use clock::Timestamp;
use pipelines::covers_model;
use rand::Rng;
use types::UpstreamName;

use crate::{Gateway, lifecycle::ActiveRequest, selection::SelectionQuery};

/// Longest random time by which a node prolongs a pause, so that the nodes that an upstream has
/// turned away do not all come back at the same moment.
const MAX_SPREAD: Duration = Duration::from_millis(250);
/// The same as a share of a short pause.
const SPREAD_SHARE: f64 = 0.25;

impl Gateway {
    /// Starts a pause of an upstream, which has refused a request of this node, or extends it.
    pub(crate) fn start_pause(&self, name: &UpstreamName, incarnation: u64, length: Duration) {
        let now = self.clock.now();
        let spread = MAX_SPREAD.min(length.mul_f64(SPREAD_SHARE));
        let until = now + length + spread.mul_f64(rand::rng().random());
        let mut pauses = self.pauses.borrow_mut();
        let known = pauses.end(name, incarnation, now);
        let end = pauses.pause_until(name, incarnation, until, now);
        drop(pauses);
        self.metrics.pauses.inc();
        // Requests that were sent at the same time are refused one after the other.
        if known.is_none() {
            tracing::info!(upstream = %name, boot = incarnation, source = "answer",
                length_ms = length.as_millis() as u64, pause_ms = end.since(now).as_millis() as u64,
                "upstream asks for a pause");
        }
    }

    /// Whether an upstream has asked for a pause that has not ended yet.
    pub(crate) fn is_paused(&self, upstream: &Upstream) -> bool {
        let now = self.clock.now();
        self.pauses.borrow().end(&upstream.name, upstream.incarnation, now).is_some()
    }
}

impl ActiveRequest {
    /// When the first pause ends after which the request can be served. `None` if it is not pauses
    /// that keep it from being served.
    pub(crate) fn paused_until(&self, query: SelectionQuery<'_>) -> Option<Timestamp> {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let pauses = gateway.pauses.borrow();
        if pauses.is_empty(now) {
            return None;
        }
        let catalog = gateway.catalog.borrow();
        let is_candidate = |upstream: &&Upstream| {
            upstream.service == self.service
                && upstream.phase == Phase::Serving
                && !query.avoid.contains(&upstream.name)
        };
        let candidates: Vec<&Upstream> =
            catalog.upstreams().map(|upstream| &**upstream).filter(is_candidate).collect();
        let end = |upstream: &Upstream| pauses.end(&upstream.name, upstream.incarnation, now);
        let profile = self.model_profile();
        let can_serve_at = |time: Timestamp| {
            let mut active = candidates
                .iter()
                .copied()
                .filter(|upstream| end(upstream).is_none_or(|end| end <= time));
            match &profile {
                Some(profile) => {
                    let held = active.filter_map(|upstream| {
                        catalog.layers(upstream).map(|layers| (upstream, layers))
                    });
                    has_whole_path(profile, query, held)
                }
                None => active.next().is_some(),
            }
        };
        if can_serve_at(now) {
            return None;
        }
        let mut ends: Vec<Timestamp> = candidates.iter().copied().filter_map(end).collect();
        ends.sort_unstable();
        ends.into_iter().find(|time| can_serve_at(*time))
    }
}

/// Whether engines hold all layers of the model, and one of them may be the entry of a path.
fn has_whole_path<'a>(
    profile: &ModelProfile,
    query: SelectionQuery<'_>,
    held: impl Iterator<Item = (&'a Upstream, types::LayerRange)>,
) -> bool {
    let held: Vec<_> = held.collect();
    let may_enter = |name: &UpstreamName| {
        query.allowed_entries.is_empty() || query.allowed_entries.contains(name)
    };
    held.iter().any(|(upstream, layers)| layers.start == 0 && may_enter(&upstream.name))
        && covers_model(profile, held.iter().map(|(_, layers)| *layers))
}
