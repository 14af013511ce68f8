//! Chooses the replica of a plain service for an attempt.

use std::sync::Arc;

use catalog::Upstream;
use pipelines::{Load, UpstreamLoad};
use rand::Rng;
use types::UpstreamName;

use crate::{
    Gateway,
    lifecycle::ActiveRequest,
    selection::{NoSelection, Selection, SelectionQuery},
};

impl ActiveRequest {
    /// Whether there is a replica of a plain service with capacity besides `current` and those to
    /// avoid.
    pub(crate) fn has_other_replica(&self, avoid: &[UpstreamName], current: &UpstreamName) -> bool {
        let gateway = &self.gateway;
        let catalog = gateway.catalog.borrow();
        catalog.upstreams().any(|upstream| {
            upstream.service == self.service
                && upstream.name != *current
                && !avoid.contains(&upstream.name)
                && gateway.is_usable(upstream)
                && !gateway.is_replica_full(upstream)
                && gateway.has_rate_left(upstream)
        })
    }

    /// Chooses the replica with the lowest utilization, and reserves a place at it.
    pub(crate) fn choose_replica(
        &self,
        query: SelectionQuery<'_>,
    ) -> Result<Selection, NoSelection> {
        let gateway = &self.gateway;
        let mut rng = rand::rng();
        let chosen = gateway
            .replica_candidates(&self.service, query)?
            .into_iter()
            .map(|upstream| (gateway.utilization(&upstream) + rng.random::<f64>() * 1e-3, upstream))
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .map(|(_, upstream)| upstream);
        let chosen = chosen.ok_or(NoSelection::NoUpstream)?;
        let load = Load { requests: 1, entered: 1, token_layers: 0.0 };
        let loads = vec![UpstreamLoad { upstream: chosen.name.clone(), load }];
        Ok(self.reserve(chosen, Vec::new(), loads))
    }
}

impl Gateway {
    /// The replicas of a plain service that may get a request now; empty if it has none. Fails if
    /// there are some and all of them are full.
    pub(crate) fn replica_candidates(
        &self,
        service: &str,
        query: SelectionQuery<'_>,
    ) -> Result<Vec<Arc<Upstream>>, NoSelection> {
        let catalog = self.catalog.borrow();
        let replicas: Vec<&Arc<Upstream>> = catalog
            .upstreams()
            .filter(|upstream| &*upstream.service == service)
            .filter(|upstream| {
                upstream.phase == catalog::Phase::Serving
                    || (query.with_leaving && self.is_in_last_use(upstream))
            })
            .filter(|upstream| !query.avoid.contains(&upstream.name) && !self.is_paused(upstream))
            .collect();
        let usable: Vec<&Arc<Upstream>> =
            replicas.iter().copied().filter(|upstream| self.is_usable(upstream)).collect();
        // If all replicas are avoided, they may work nevertheless, so one of them is tried. Those
        // that refuse requests have no capacity.
        let candidates = if usable.is_empty() {
            replicas
                .iter()
                .copied()
                .filter(|upstream| !self.is_replica_refusing(upstream))
                .collect()
        } else {
            usable
        };
        let free: Vec<Arc<Upstream>> = candidates
            .iter()
            .filter(|upstream| !self.is_replica_full(upstream) && self.has_rate_left(upstream))
            .map(|upstream| Arc::clone(upstream))
            .collect();
        if free.is_empty() && !replicas.is_empty() {
            return Err(NoSelection::Full);
        }
        Ok(free)
    }

    /// Requests of all nodes at a replica, as far as this node knows, as a share of its slots.
    pub(crate) fn utilization(&self, upstream: &Upstream) -> f64 {
        let requests = self.load.borrow().total(&upstream.name).requests;
        f64::from(requests) / f64::from(upstream.capacity.max(1))
    }
}
