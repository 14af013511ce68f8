use std::time::Duration;

use types::Stage;

use crate::{EngineState, LoadReport, LoadView};

impl LoadView {
    /// Expected time between two tokens on a route, according to the reports of its engines and the
    /// prefills that this node has started on them. Engines without a report add nothing.
    pub fn expected_step(&self, route: &[Stage]) -> Duration {
        let states = route.iter().filter_map(|stage| self.engines.get(&stage.engine));
        states.filter_map(|state| Some(token_time(state, state.report.as_ref()?))).sum()
    }

    /// Counts a prefill of `tokens` prompt tokens as started on the engines of a route.
    pub fn start_prefill(&mut self, route: &[Stage], tokens: u32) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.prefill_tokens = engine.prefill_tokens.saturating_add(tokens);
            }
        }
    }

    /// Counts a prefill of `tokens` prompt tokens as ended on the engines of a route.
    pub fn finish_prefill(&mut self, route: &[Stage], tokens: u32) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.prefill_tokens = engine.prefill_tokens.saturating_sub(tokens);
            }
        }
    }
}

/// Expected time of one stage for each token. Sessions in excess of the engine's slots wait for a
/// slot, and prefills delay the steps of all sessions.
fn token_time(state: &EngineState, report: &LoadReport) -> Duration {
    let load = f64::from(state.estimated_sessions()) / f64::from(report.slots.max(1));
    report.step.mul_f64(load.max(1.0)) + report.prefill * state.prefill_tokens + state.round_trip
}
