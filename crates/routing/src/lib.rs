//! Routing decisions: which engines run a request, and whether it is admitted, waits or is refused.
//! The crate `node` makes its decisions with this one; the crate `gateway` uses `pipelines`
//! instead. Both count retries by the crate `retries`; each has its own record of engines to avoid. The
//! queue of waiting requests is here for `node`, and in `admission` for `gateway`.
//!
//! Purpose: plain functions over plain structs, so that any front end and any encoding of messages
//! can use them.
//!
//! Invariants: a chosen route covers every layer of the model exactly once, in order; no engine
//! that is leaving is chosen; the size of every structure is bounded. This crate must not know
//! about sockets, encodings or the key-value service.
//!
//! Terms: a *route* is a chain of engines that together run the whole model. The crate `pipelines`
//! calls that a path; a route of the crate `catalog` is a rule for a host and a prefix of URL
//! paths.

mod baseline;
mod budget;
mod candidates;
mod fair_queue;
mod links;
mod lowest_latency;
mod prefix;
mod queue;
mod replace;
mod stall;
mod step_time;
mod version;
mod view;

pub use baseline::{LeastOutstanding, RoundRobin};
pub use budget::RetryBudget;
pub use links::LinkTable;
pub use lowest_latency::LowestLatency;
pub use prefix::PrefixTable;
pub use queue::{AdmissionQueue, Arrival, EnqueueOutcome, Refusal, Ticket};
pub use stall::{Diagnosis, StallRecord};
pub use view::{EngineState, LoadReport, LoadView, TimeAverage};

use std::sync::Arc;

use clock::Timestamp;
use types::{Domain, ModelName, Stage, UpstreamName};

/// Requirements for a route.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Model to run.
    pub model: ModelName,
    /// Version of the model.
    pub version: Arc<str>,
    /// Number of layers of the model.
    pub layers: u32,
    /// Approximate number of tokens to prefill.
    pub prompt_tokens: u32,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Failure domain of the node.
    pub node_domain: Domain,
    /// Engines on which this request has failed. They are used only if there are no others.
    pub avoid: Vec<UpstreamName>,
    /// Largest number of sessions on an engine, as a percentage of its slots; zero means no limit.
    pub slot_percent: u64,
    /// Hashes of the prompt's prefixes of one, two and more blocks, shortest first.
    pub prefixes: Arc<[u64]>,
    /// Approximate number of tokens in one prefix block.
    pub block_tokens: u32,
}

/// Chooses routes.
pub trait RoutePolicy {
    /// Chooses the stages of a route, or `None` if the available engines do not cover the model.
    fn choose(
        &mut self,
        view: &LoadView,
        request: &RouteRequest,
        now: Timestamp,
    ) -> Option<Vec<Stage>>;
}
