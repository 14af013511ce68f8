use clock::Timestamp;
use types::Stage;

use crate::{
    LoadView, RoutePolicy, RouteRequest,
    path::{candidates, cheapest_chain},
};

/// Uses each replica in turn. A baseline for measurements.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

/// Uses the replica with the fewest outstanding requests of this node. A baseline for
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
