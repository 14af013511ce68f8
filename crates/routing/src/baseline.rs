use clock::Timestamp;
use types::Stage;

use crate::{
    LoadView, RoutePolicy, RouteRequest,
    candidates::{candidates, cheapest_chain},
};

/// Uses the replicas of each layer range in turn. Serves as a baseline for measurements.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

/// Uses the replicas with the fewest outstanding requests of this node. Serves as a baseline for
/// measurements.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl RoutePolicy for RoundRobin {
    fn choose(
        &mut self,
        view: &LoadView,
        request: &RouteRequest,
        now: Timestamp,
    ) -> Option<Vec<Stage>> {
        let ranges = candidates(view, request, now);
        let costs: Vec<_> = ranges.keys().map(|range| (*range, 1)).collect();
        let chain = cheapest_chain(&costs, request.layers)?;
        self.turn = self.turn.wrapping_add(1);
        let pick = |range| {
            let replicas = &ranges[range];
            replicas[self.turn % replicas.len()].stage()
        };
        Some(chain.iter().map(pick).collect())
    }
}

impl RoutePolicy for LeastOutstanding {
    fn choose(
        &mut self,
        view: &LoadView,
        request: &RouteRequest,
        now: Timestamp,
    ) -> Option<Vec<Stage>> {
        let ranges = candidates(view, request, now);
        let costs: Vec<_> = ranges.keys().map(|range| (*range, 1)).collect();
        let chain = cheapest_chain(&costs, request.layers)?;
        let pick = |range| {
            let least = ranges[range].iter().min_by_key(|candidate| candidate.state.outstanding);
            least.map(|candidate| candidate.stage())
        };
        chain.iter().map(pick).collect()
    }
}
