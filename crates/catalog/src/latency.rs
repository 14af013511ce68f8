use std::{collections::BTreeMap, sync::Arc};

/// How long engines take for the tokens of a model, as the configuration describes it. Times are
/// for all layers of the model; an engine that runs a part of the layers takes that part of them.
///
/// All values are finite. Rates, factors, `step_ms`, `chunk` and `event_steps` are above zero; the
/// other values are not below zero.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyModel {
    /// Time of a decoding step on accelerators with factor 1, in milliseconds.
    pub step_ms: f64,
    /// Time that each request that is decoding adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// Time that each 1,000 tokens of context add to a step, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens that are prefilled per second by accelerators with factor 1.
    pub read_rate: f64,
    /// Time for a million pairs of a prompt token and an earlier one, in milliseconds.
    pub pairs_ms: f64,
    /// Most prompt tokens that are prefilled in one pass.
    pub chunk: f64,
    /// Decoding steps in a pass while requests are decoding. Each event of a stream holds this many
    /// tokens.
    pub event_steps: f64,
    /// Mean number of prompt tokens of a request.
    pub usual_prompt: f64,
    /// Mean number of output tokens of a request.
    pub usual_answer: f64,
    /// Longest delay between two failure domains, in one direction, in milliseconds.
    pub crossing_ms: f64,
    /// Time that the activations of one token take on the links between failure domains, which all
    /// requests share, in milliseconds.
    pub transfer_ms: f64,
    /// Factor on the time to prefill prompts, by the name of the kind of accelerator; above 1 is
    /// slower. All kinds of the profile are included.
    pub read_factors: BTreeMap<Arc<str>, f64>,
}
