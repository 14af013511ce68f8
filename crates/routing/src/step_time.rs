use std::time::Duration;

use types::Stage;

use crate::{EngineState, LoadReport, LoadView};

impl LoadView {
    /// Time between two tokens that is expected of a route, by the reports of its engines and the
    /// prefills that this node has started on them. Stages without a report count as immediate.
    pub fn expected_step(&self, route: &[Stage]) -> Duration {
        let states = route.iter().filter_map(|stage| self.engines.get(&stage.engine));
        states.filter_map(|state| Some(stage_time(state, state.report.as_ref()?))).sum()
    }

    /// Counts the prefill of `positions` positions on a route as started.
    pub fn start_prefill(&mut self, route: &[Stage], positions: u32) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.prefilling += positions;
            }
        }
    }

    /// Counts the prefill of `positions` positions on a route as ended.
    pub fn finish_prefill(&mut self, route: &[Stage], positions: u32) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.prefilling = engine.prefilling.saturating_sub(positions);
            }
        }
    }
}

/// Sessions beyond the engine's slots wait, and prefills delay the steps of all sessions.
fn stage_time(state: &EngineState, report: &LoadReport) -> Duration {
    let load = f64::from(state.estimated_sessions()) / f64::from(report.slots.max(1));
    report.step.mul_f64(load.max(1.0)) + report.prefill * state.prefilling + state.round_trip
}
