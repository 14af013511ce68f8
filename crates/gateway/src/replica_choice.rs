//! Chooses the replica of a plain service for an attempt.

use std::sync::Arc;

use catalog::Upstream;
use pipelines::{Load, UpstreamLoad};
use rand::Rng;
use types::UpstreamName;

use crate::{
    lifecycle::ActiveRequest,
    selection::{NoSelection, Selection, SelectionQuery},
};

impl ActiveRequest {
    /// Whether there is a replica of a plain service besides `current` and those to avoid.
    pub(crate) fn has_other_replica(&self, avoid: &[UpstreamName], current: &UpstreamName) -> bool {
        let gateway = &self.gateway;
        let catalog = gateway.catalog.borrow();
        catalog.upstreams().any(|upstream| {
            upstream.service == self.service
                && upstream.name != *current
                && !avoid.contains(&upstream.name)
                && gateway.is_usable(upstream)
        })
    }

    /// Chooses the replica with the lowest utilization.
    pub(crate) fn choose_replica(
        &self,
        query: SelectionQuery<'_>,
    ) -> Result<Selection, NoSelection> {
        let gateway = &self.gateway;
        let catalog = gateway.catalog.borrow();
        let replicas: Vec<&Arc<Upstream>> = catalog
            .upstreams()
            .filter(|upstream| upstream.service == self.service)
            .filter(|upstream| {
                upstream.phase == catalog::Phase::Serving
                    || (query.with_leaving && gateway.is_in_last_use(upstream))
            })
            .filter(|upstream| {
                !query.avoid.contains(&upstream.name) && !gateway.is_paused(upstream)
            })
            .collect();
        let usable: Vec<&Arc<Upstream>> =
            replicas.iter().copied().filter(|upstream| gateway.is_usable(upstream)).collect();
        // If all replicas are avoided, they may work nevertheless, so one of them is tried.
        let candidates = if usable.is_empty() { replicas } else { usable };
        let load = gateway.load.borrow();
        let mut rng = rand::rng();
        let utilization = |upstream: &Upstream| {
            f64::from(load.total(&upstream.name).requests) / f64::from(upstream.capacity.max(1))
        };
        let chosen = candidates
            .into_iter()
            .map(|upstream| (utilization(upstream) + rng.random::<f64>() * 1e-3, upstream))
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .map(|(_, upstream)| upstream.clone());
        drop(load);
        drop(catalog);
        let chosen = chosen.ok_or(NoSelection::NoUpstream)?;
        let load = Load { requests: 1, entered: 1, token_layers: 0.0 };
        let loads = vec![UpstreamLoad { upstream: chosen.name.clone(), load }];
        Ok(self.reserve(chosen, Vec::new(), loads))
    }
}
