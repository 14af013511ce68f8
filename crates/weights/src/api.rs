//! Messages of the weight store's HTTP API.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{LayerRange, ModelName};

/// `POST /v1/permits`: requests a permit for an engine to load these weights.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Weights {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: Arc<str>,
    /// Layers whose weights are to be loaded.
    pub layers: LayerRange,
}

/// Response of the store to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permit {
    /// The load may start now.
    Granted,
    /// The store's rate limit is reached; the permit may be requested again after this time.
    RetryAfterMillis(u64),
}
