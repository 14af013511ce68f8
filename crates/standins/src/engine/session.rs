use std::sync::Arc;

use clock::Timestamp;
use engines::api::{Event, Generate};
use futures_channel::mpsc;
use types::{LayerRange, ModelName};

/// State of one session at one stage of a route.
pub(crate) struct Session {
    pub(crate) attempt: u32,
    pub(crate) model: ModelName,
    pub(crate) version: Arc<str>,
    pub(crate) layers: LayerRange,
    /// Next position to run; the KV cache covers all positions before it.
    pub(crate) next_position: u32,
    /// One value per layer, which stands for the KV cache.
    pub(crate) values: Vec<u64>,
    /// Whether the attempt still runs; if not, the session is kept for its KV cache only.
    pub(crate) active: bool,
    pub(crate) last_used: Timestamp,
    /// State of the token stream; only the first stage of a running attempt has it.
    pub(crate) stream: Option<TokenStream>,
}

/// State of the token stream that the first stage of a route sends to the router.
pub(crate) struct TokenStream {
    pub(crate) request: Generate,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    /// Generated tokens, those of earlier attempts included.
    pub(crate) generated: u32,
    /// Position after the last one of the step that is running.
    pub(crate) positions: u32,
    /// Whether the attempt is to pause after the step that is running.
    pub(crate) pause_requested: bool,
}

impl Session {
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Clears the KV cache before a prefill, which starts at position 0.
    pub(crate) fn reset(&mut self) {
        self.next_position = 0;
        self.values = vec![0; self.layers.len() as usize];
    }
}
