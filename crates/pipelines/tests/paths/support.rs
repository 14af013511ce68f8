//! Engines and targets like those of the heavily loaded deployments.

use std::ops::Range;

use catalog::LatencyModel;
use pipelines::{PathCandidate, PathQuery, PathTargets};
use types::LayerRange;

/// Number of layers of the model.
pub const LAYERS: u32 = 80;

/// Times of a model whose event takes 68 ms on an idle engine with factor 16.
pub fn model() -> LatencyModel {
    LatencyModel {
        step_ms: 0.85,
        sequence_ms: 0.02,
        context_ms: 0.005,
        read_rate: 200_000.0,
        pairs_ms: 0.1,
        chunk: 2048.0,
        event_steps: 5.0,
        usual_prompt: 760.0,
        usual_answer: 230.0,
        crossing_ms: 0.75,
        transfer_ms: 0.0,
        read_factors: Default::default(),
    }
}

/// Targets of a route: an event each 250 ms, and the first one within 500 ms.
pub fn targets(model: &LatencyModel, prompt: f64) -> PathTargets<'_> {
    PathTargets { model, prompt, gap_ms: 250.0, first_event_ms: 500.0 }
}

/// An idle engine without other work.
pub fn engine(number: usize, layers: Range<u32>, step_factor: f64) -> PathCandidate {
    PathCandidate {
        name: format!("engine-{number}").into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "a".into(),
        layers: LayerRange { start: layers.start, end: layers.end },
        step_factor,
        kv_capacity: 1e7,
        kv_reserved: 0.0,
        can_be_entry: true,
        requests: 0,
        unread: 0.0,
        read_factor: step_factor,
    }
}

/// What a request of usual size needs.
pub fn query(targets: Option<PathTargets<'_>>) -> PathQuery<'_> {
    PathQuery {
        layers: LAYERS,
        tokens: 1000,
        max_fill: 0.92,
        may_cross: true,
        crossing_factor: 1.0,
        avoid: &[],
        targets,
    }
}
