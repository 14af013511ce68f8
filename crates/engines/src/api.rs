//! Messages of the engines' HTTP API. Paths are named at each message.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use types::{Class, LayerRange, ModelName, Stage, UpstreamName};

/// `POST /v1/generate`: starts or resumes a token stream. The answer is a stream of [`Event`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Generate {
    /// Identifier of the session, the same for all attempts of a request.
    pub session: Arc<str>,
    /// Number of the attempt; a later attempt has a larger number.
    pub attempt: u32,
    /// Model that the route runs.
    pub model: ModelName,
    /// Version of the model.
    pub version: Arc<str>,
    /// Class of the request; interactive requests have priority.
    pub class: Class,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Tokens that earlier attempts have generated.
    pub given: Vec<u32>,
    /// Total number of tokens to generate, earlier attempts included.
    pub max_tokens: u32,
    /// Stages in layer order. The first one is the engine that gets this message.
    pub route: Arc<[Stage]>,
    /// Whether all stages hold the session's KV cache, so that no prefill is needed.
    pub resume: bool,
}

/// One event of a token stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A token was generated.
    Token(Token),
    /// The stream ended; every token was sent.
    End,
    /// The stream was cancelled at the end of a step and can be resumed.
    Paused,
    /// The attempt failed.
    Failed {
        /// Engine that is to blame, if known.
        engine: Option<UpstreamName>,
        /// What happened.
        reason: StreamFault,
    },
}

/// Why an engine ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StreamFault {
    /// The next stage could not be reached.
    HandoffFailed,
    /// A stage does not hold the layers, model or version of the route.
    WrongStage,
    /// A stage does not hold the session's KV cache that a resume needs.
    CacheMissing,
    /// A stage was handed a position that is not the next one.
    PositionGap,
    /// A newer attempt of the session took over.
    Superseded,
    /// The engine has no room for another session.
    Full,
    /// The engine is leaving.
    Leaving,
}

/// A generated token with the proof that each layer ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Identifier of the session that the token belongs to.
    pub session: Arc<str>,
    /// Attempt that generated the token.
    pub attempt: u32,
    /// Index of the token among the generated ones, from 0.
    pub index: u32,
    /// Identifier of the token.
    pub id: u32,
    /// Text of the token.
    pub text: String,
    /// One receipt per stage, in the order in which the stages ran.
    pub receipts: Vec<Receipt>,
}

/// Proof of one stage for the positions `first..end`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Engine that ran the stage.
    pub engine: UpstreamName,
    /// Version of the model that it ran.
    pub version: Arc<str>,
    /// Layers that it ran.
    pub layers: LayerRange,
    /// Attempt for which it ran.
    pub attempt: u32,
    /// First position that it ran.
    pub first: u32,
    /// Position after the last one that it ran.
    pub end: u32,
}

/// `POST /v1/handoff` between engines: output of a stage for the next one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handoff {
    /// Identifier of the session.
    pub session: Arc<str>,
    /// Number of the attempt.
    pub attempt: u32,
    /// Model that the route runs.
    pub model: ModelName,
    /// Version of the model.
    pub version: Arc<str>,
    /// Class of the request.
    pub class: Class,
    /// Stages in layer order.
    pub route: Arc<[Stage]>,
    /// Index of the stage that gets this message; the number of stages when the output returns to
    /// the first stage as a token.
    pub stage: usize,
    /// Position of the first activation.
    pub first: u32,
    /// One activation per position.
    pub activations: Vec<u64>,
    /// Receipts of the stages that have run.
    pub receipts: Vec<Receipt>,
    /// Hashes of the prompt's prefixes, see [`prefix_hashes`]; empty after the prefill.
    pub prefixes: Arc<[u64]>,
}

/// `POST /v1/fault` between engines: tells the first stage that the attempt cannot go on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// Identifier of the session.
    pub session: Arc<str>,
    /// Number of the attempt.
    pub attempt: u32,
    /// Engine that is to blame, if known.
    pub engine: Option<UpstreamName>,
    /// What happened.
    pub reason: StreamFault,
}

/// `POST /v1/cancel`: ends an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// Identifier of the session.
    pub session: Arc<str>,
    /// Attempts up to this number are cancelled.
    pub attempt: u32,
    /// Lets the running step end first, so that all stages stop at the same position and the
    /// session can be resumed. The stream then ends with [`Event::Paused`].
    pub at_step_end: bool,
}

/// `GET /v1/load`: what an engine reports of itself. The report lags behind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Name of the engine.
    pub engine: UpstreamName,
    /// Number that changes with each start of the engine.
    pub incarnation: u64,
    /// Model that is loaded; empty if none.
    pub model: ModelName,
    /// Version of the loaded model.
    pub version: Arc<str>,
    /// Layers that are loaded.
    pub layers: LayerRange,
    /// Sessions that the engine can run at once.
    pub slots: u32,
    /// Sessions that ran when the report was made.
    pub running: u32,
    /// Time that a decoding step with one session takes, in microseconds.
    pub step_micros: u64,
    /// Time that the prefill of one token took, in microseconds.
    pub prefill_micros: u64,
    /// Whether the engine is about to leave.
    pub leaving: bool,
    /// Fencing token of the last order that was accepted.
    pub order_token: u64,
}

/// `GET /v1/cache-events?after=N`: changes of the prefix cache, late and with gaps.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// One change of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a missing number is a gap.
    pub sequence: u64,
    /// Hash of the prompt prefix, see [`prefix_hashes`].
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// `POST /v1/kv/export` (with the session in [`Session`]) and `POST /v1/kv/import`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvCache {
    /// Identifier of the session.
    pub session: Arc<str>,
    /// Model and version that wrote the cache.
    pub model: ModelName,
    /// Version of the model.
    pub version: Arc<str>,
    /// Layers that the cache covers.
    pub layers: LayerRange,
    /// Number of positions in the cache.
    pub positions: u32,
    /// One value per layer.
    pub values: Vec<u64>,
}

/// Names a session, for `POST /v1/kv/export`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Session {
    /// Identifier of the session.
    pub session: Arc<str>,
}

/// `POST /v1/orders`: an order that states the desired end state of the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is given.
    pub token: u64,
    /// Model to load; empty to unload.
    pub model: ModelName,
    /// Version to load.
    pub version: Arc<str>,
    /// Layers to load.
    pub layers: LayerRange,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The order is being carried out.
    Accepted,
    /// The order's fencing token is older than one already seen.
    Stale,
}

/// Bytes of prompt text that one prefix block covers.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Hashes of all prefixes of `prompt` that are whole blocks, shortest first. Engines name
/// prefixes by these hashes in their cache events.
pub fn prefix_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / PREFIX_BLOCK_BYTES)
        .map(|blocks| {
            let prefix = &bytes[..blocks * PREFIX_BLOCK_BYTES];
            types::Digest::of(&[model.as_bytes(), prefix]).0 as u64
        })
        .collect()
}
