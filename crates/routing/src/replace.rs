use clock::Timestamp;
use types::{Stage, UpstreamName};

use crate::{LoadView, RouteRequest};

impl LoadView {
    /// Whether an engine is leaving or no longer on the list of VMs.
    pub fn is_leaving(&self, engine: &UpstreamName) -> bool {
        self.engines.get(engine).is_none_or(|state| state.is_leaving())
    }

    /// Returns the route with each leaving engine replaced by the least loaded replica of its
    /// layers, or `None` if no engine is leaving or one of them has no replica.
    pub fn replace_leaving(
        &self,
        route: &[Stage],
        request: &RouteRequest,
        now: Timestamp,
    ) -> Option<Vec<Stage>> {
        if !route.iter().any(|stage| self.is_leaving(&stage.engine)) {
            return None;
        }
        let replace = |stage: &Stage| {
            if self.is_leaving(&stage.engine) {
                return self.replica(stage, request, now);
            }
            Some(stage.clone())
        };
        route.iter().map(replace).collect()
    }

    /// The least loaded available engine with the same layers as `stage`.
    fn replica(&self, stage: &Stage, request: &RouteRequest, now: Timestamp) -> Option<Stage> {
        let replicas = self.engines.iter().filter(|(name, state)| {
            let layers = state.report.as_ref().map(|report| report.layers);
            layers == Some(stage.layers)
                && state.serves(request)
                && state.is_available(now)
                && !request.avoid.contains(name)
        });
        let (name, state) = replicas.min_by_key(|(_, state)| state.estimated_sessions())?;
        Some(Stage { engine: name.clone(), addr: state.addr, layers: stage.layers })
    }
}
