//! Messages of the engines' HTTP API. The comment on a message names its HTTP method and path.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use types::{Class, LayerRange, ModelName, Stage, UpstreamName};

/// `POST /v1/generate`: starts or resumes a token stream. The response is a stream of [`Event`]s.
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
    /// Identifiers of the tokens that earlier attempts have generated.
    pub given: Vec<u32>,
    /// Total number of tokens to generate, earlier attempts included.
    pub max_tokens: u32,
    /// Stages in layer order. The engine that receives this message runs the first one.
    pub route: Arc<[Stage]>,
    /// Whether all stages already hold the session's KV cache, so that no prefill is needed.
    pub resume: bool,
}

/// One event of a token stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A token was generated.
    Token(Token),
    /// The stream is complete: every token was sent.
    End,
    /// The attempt was cancelled at the end of a step, and the session can be resumed.
    Paused,
    /// The attempt failed.
    Failed {
        /// Engine that caused the failure, if known.
        engine: Option<UpstreamName>,
        /// Reason of the failure.
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
    /// A stage received a position other than the next one.
    PositionGap,
    /// A newer attempt of the session has replaced this one.
    Superseded,
    /// The engine has reached its limit of sessions.
    Full,
    /// The engine is about to leave the fleet.
    Leaving,
}

/// A generated token, with the receipts that prove that each layer ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Identifier of the session that the token belongs to.
    pub session: Arc<str>,
    /// Number of the attempt that generated the token.
    pub attempt: u32,
    /// Index among the session's generated tokens, those of earlier attempts included; starts at 0.
    pub index: u32,
    /// Identifier of the token in the model's vocabulary.
    pub id: u32,
    /// Text of the token.
    pub text: String,
    /// One receipt per stage, in the order in which the stages ran.
    pub receipts: Vec<Receipt>,
}

/// An engine's record that it ran one stage for the positions `first..end` of the sequence that the
/// prompt and the generated tokens form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Engine that ran the stage.
    pub engine: UpstreamName,
    /// Version of the model that the engine ran.
    pub version: Arc<str>,
    /// Layers that the engine ran.
    pub layers: LayerRange,
    /// Number of the attempt for which the engine ran the stage.
    pub attempt: u32,
    /// First position that the engine ran.
    pub first: u32,
    /// Position after the last one that the engine ran.
    pub end: u32,
}

/// `POST /v1/handoff` between engines: passes the output of a stage to the next one.
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
    /// Index of the stage that receives this message. It equals the number of stages if the
    /// output of the last stage returns to the first one as a token.
    pub stage: usize,
    /// Position of the first activation.
    pub first: u32,
    /// One activation per position.
    pub activations: Vec<u64>,
    /// Receipts of the stages that have already run.
    pub receipts: Vec<Receipt>,
    /// Hashes of the prompt's prefixes, see [`prefix_hashes`]; empty after the prefill.
    pub prefixes: Arc<[u64]>,
}

/// `POST /v1/fault` between engines: tells the first stage that the attempt has failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// Identifier of the session.
    pub session: Arc<str>,
    /// Number of the attempt.
    pub attempt: u32,
    /// Engine that caused the failure, if known.
    pub engine: Option<UpstreamName>,
    /// Reason of the failure.
    pub reason: StreamFault,
}

/// `POST /v1/cancel`: cancels attempts of a session.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// Identifier of the session.
    pub session: Arc<str>,
    /// Number of the last attempt to cancel; earlier ones are cancelled too.
    pub attempt: u32,
    /// Whether the running step is completed first, so that all stages stop at the same position
    /// and the session can be resumed. The stream then ends with [`Event::Paused`].
    pub at_step_end: bool,
}

/// `GET /v1/load`: an engine's report of its own state. It lags behind the actual state.
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
    /// Number of sessions that the engine can run at once.
    pub slots: u32,
    /// Number of sessions that ran when the report was made.
    pub running: u32,
    /// Time that a decoding step of a single session takes, in microseconds.
    pub step_micros: u64,
    /// Time that the prefill of one token takes, in microseconds.
    pub prefill_micros: u64,
    /// Whether the engine is about to leave the fleet.
    pub leaving: bool,
    /// Fencing token of the last order that the engine accepted.
    pub order_token: u64,
}

/// `GET /v1/cache-events?after=N`: changes of an engine's prefix cache, which arrive late and with
/// gaps.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a number that is skipped means that an event was lost.
    pub sequence: u64,
    /// Hash of the prompt prefix, see [`prefix_hashes`].
    pub prefix: u64,
    /// `true` if the prefix was stored, `false` if it was evicted.
    pub stored: bool,
}

/// The KV cache of a session: response of `POST /v1/kv/export`, whose request is a [`Session`], and
/// request of `POST /v1/kv/import`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvCache {
    /// Identifier of the session.
    pub session: Arc<str>,
    /// Model that computed the cache.
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

/// `POST /v1/kv/export`: names the session whose KV cache is exported.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Session {
    /// Identifier of the session.
    pub session: Arc<str>,
}

/// `POST /v1/orders`: an order that states the desired state of the engine, that is, the model,
/// version and layers that it is to hold.
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

/// Response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The engine carries out the order.
    Accepted,
    /// The order's fencing token is older than one that the engine has seen, so the engine ignores
    /// the order.
    Stale,
}

/// Bytes of prompt text that one prefix block covers.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Hashes of all prefixes of `prompt` that consist of whole blocks, shortest first. Each hash
/// covers the model's name as well. Engines identify prefixes by these hashes in their cache
/// events.
pub fn prefix_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / PREFIX_BLOCK_BYTES)
        .map(|blocks| {
            let prefix = &bytes[..blocks * PREFIX_BLOCK_BYTES];
            types::Digest::of(&[model.as_bytes(), prefix]).0 as u64
        })
        .collect()
}
