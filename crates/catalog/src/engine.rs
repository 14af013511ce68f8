use std::{collections::BTreeMap, sync::Arc};

use crate::LatencyModel;

/// Properties of a kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Memory for weights and KV caches, in MB.
    pub memory_mb: f64,
    /// Factor on the duration of a decoding step. The configuration should give 1 for the fastest
    /// kind and more for slower ones, as the cost of paths assumes; that is not checked.
    pub step_factor: f64,
}

/// Properties of a model whose layers are spread over the engines of a service, and of the
/// accelerators and links that these engines use. A service has one profile for all its engines.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Number of layers of the model.
    pub layers: u32,
    /// Memory of one layer's weights, in MB.
    pub layer_mb: f64,
    /// Size of the KV cache of one token, summed over all layers, in bytes.
    pub kv_bytes: f64,
    /// Tokens per second whose activations all links between failure domains can carry together;
    /// `None` if the configuration does not say.
    pub crossing_rate: Option<f64>,
    /// How long the engines take; `None` if the configuration does not say or states values that
    /// cannot be true.
    pub latency: Option<LatencyModel>,
    /// Kinds of accelerators, by name.
    pub accelerators: BTreeMap<Arc<str>, AcceleratorKind>,
}

impl ModelProfile {
    /// KV cache that fits into the memory of an engine with an accelerator of `accelerator_kind`
    /// beside the weights of `held` layers, in tokens times layers.
    pub fn kv_capacity(&self, accelerator_kind: &str, held: u32) -> f64 {
        let Some(kind) = self.accelerators.get(accelerator_kind) else { return 0.0 };
        let free_mb = kind.memory_mb - f64::from(held) * self.layer_mb;
        (free_mb * 1e6 / (self.kv_bytes / f64::from(self.layers))).max(0.0)
    }

    /// Factor of `accelerator_kind` on the time to prefill prompts; 1 if it is not known.
    pub fn read_factor(&self, accelerator_kind: &str) -> f64 {
        let factors = self.latency.as_ref().map(|latency| &latency.read_factors);
        factors.and_then(|factors| factors.get(accelerator_kind)).copied().unwrap_or(1.0)
    }

    /// Number of layers that fit into `share` of the memory of an accelerator of
    /// `accelerator_kind`.
    pub fn layers_within(&self, accelerator_kind: &str, share: f64) -> u32 {
        let Some(kind) = self.accelerators.get(accelerator_kind) else { return 0 };
        // Rounded down because an engine cannot hold part of a layer.
        (kind.memory_mb * share / self.layer_mb).floor() as u32
    }
}
