use std::sync::Arc;

use clock::Timestamp;
use engines::api::{Event, Generate};
use futures_channel::mpsc;
use types::{LayerRange, ModelName};

/// State of one session in one stage.
pub(crate) struct Session {
    pub(crate) attempt: u32,
    pub(crate) model: ModelName,
    pub(crate) version: Arc<str>,
    pub(crate) layers: LayerRange,
    /// Position that the stage runs next.
    pub(crate) next: u32,
    /// One value per layer, which stands for the KV cache.
    pub(crate) values: Vec<u64>,
    /// Whether the attempt goes on; otherwise only its KV cache is kept.
    pub(crate) active: bool,
    pub(crate) used: Timestamp,
    /// State of the first stage, which talks to the router.
    pub(crate) head: Option<Head>,
}

/// State that only the first stage of a route keeps.
pub(crate) struct Head {
    pub(crate) request: Generate,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) generated: u32,
    /// Number of positions known so far.
    pub(crate) positions: u32,
    /// Whether the attempt ends with the step that is running.
    pub(crate) pausing: bool,
}

impl Session {
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Clears the KV cache for a prefill from position 0.
    pub(crate) fn reset(&mut self) {
        self.next = 0;
        self.values = vec![0; self.layers.len() as usize];
    }
}
