use std::{collections::BTreeMap, sync::Arc};

/// Properties of a kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Memory for layers and requests, in MB.
    pub memory_mb: f64,
    /// Factor on the time of decoding steps.
    pub step_factor: f64,
}

/// How the engines of a service run a model whose layers are spread over them.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Number of layers of the model.
    pub layers: u32,
    /// Memory of one layer's weights, in MB.
    pub layer_mb: f64,
    /// Memory that one token takes over all layers, in bytes.
    pub kv_bytes: f64,
    /// Tokens whose intermediate results the links between failure domains carry in a second, all
    /// together; `None` if it is not stated.
    pub crossing_rate: Option<f64>,
    /// Kinds of accelerators by name.
    pub accelerators: BTreeMap<Arc<str>, AcceleratorKind>,
}

impl EngineProfile {
    /// Tokens times layers that an engine of `kind` has room for beside `held` layers.
    pub fn token_layers(&self, kind: &str, held: u32) -> f64 {
        let Some(kind) = self.accelerators.get(kind) else { return 0.0 };
        let free_mb = kind.memory_mb - f64::from(held) * self.layer_mb;
        (free_mb * 1e6 / (self.kv_bytes / f64::from(self.layers))).max(0.0)
    }

    /// Layers that fit into `share` of the memory of `kind`.
    pub fn layers_within(&self, kind: &str, share: f64) -> u32 {
        let Some(kind) = self.accelerators.get(kind) else { return 0 };
        // Truncation is meant: a part of a layer cannot be held.
        (kind.memory_mb * share / self.layer_mb).floor() as u32
    }
}
