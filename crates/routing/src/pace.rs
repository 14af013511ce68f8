use std::time::Duration;

use types::Stage;

use crate::{EngineState, LoadView};

/// Speed that a route is expected to have, by the reports of its engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Time between two tokens.
    pub step: Duration,
    /// Time of the prefill of one position.
    pub prefill: Duration,
}

impl LoadView {
    /// The pace of a route. Stages without a report count as immediate.
    pub fn pace(&self, route: &[Stage]) -> Pace {
        let mut pace = Pace::default();
        for stage in route {
            let Some(state) = self.engines.get(&stage.engine) else { continue };
            let Some(report) = &state.report else { continue };
            let load = load_factor(state, report.slots);
            pace.step += report.step.mul_f64(load) + state.round_trip;
            pace.prefill += report.prefill.mul_f64(load);
        }
        pace
    }
}

/// Sessions beyond the engine's slots wait, which makes every step longer.
fn load_factor(state: &EngineState, slots: u32) -> f64 {
    (f64::from(state.estimated_sessions()) / f64::from(slots.max(1))).max(1.0)
}
