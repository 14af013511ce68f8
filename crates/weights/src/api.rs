//! Messages of the weight store's HTTP API.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{LayerRange, ModelName};

/// `POST /v1/permits`: weights that an engine is to load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Weights {
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: Arc<str>,
    /// Layers.
    pub layers: LayerRange,
}

/// Answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permit {
    /// The load may start now.
    Granted,
    /// The store's rate is used up.
    RetryAfterMillis(u64),
}
