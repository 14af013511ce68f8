//! Predicts how long a path takes for the events of a stream, from the times that the configuration
//! states and the load on the path's engines.
//!
//! A pass over the model holds one event. An engine that runs the share `s` of the layers takes
//! `s * factor * steps * (step + requests * sequence + context * thousands of tokens)` for it, and
//! in addition prefills at most one chunk of the prompts that wait there. The stages of a pass run
//! one after another, so their times add up.
//!
//! The formulas leave out that engines may batch unevenly, that prompts are prefilled by several
//! stages at once, that a cached prefix of a prompt need not be prefilled, and the network apart
//! from the links between failure domains. Contexts count with the KV cache that is reserved for the
//! requests, which is the mean of what they are expected to hold.

use catalog::LatencyModel;

/// Milliseconds per second.
const MS_PER_S: f64 = 1000.0;
/// Tokens that the time per context refers to.
const CONTEXT_UNIT: f64 = 1000.0;
/// Pairs of tokens that the time per pairs refers to.
const PAIRS_UNIT: f64 = 1e6;

/// The kind of an engine, and the work that it has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// Factor on the duration of decoding steps.
    pub step_factor: f64,
    /// Factor on the time to prefill prompts.
    pub read_factor: f64,
    /// Number of requests in flight.
    pub requests: f64,
    /// Tokens of the requests' contexts, averaged over the layers that the engine holds.
    pub context: f64,
    /// Prompt tokens that are not prefilled yet, averaged over the layers that the engine holds.
    pub unread: f64,
}

/// Times of an engine with one more request, if it ran all layers of the model. A stage takes the
/// share of them that it has of the layers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineTimes {
    /// Time of an event while no prompt is prefilled, in milliseconds.
    pub decode_ms: f64,
    /// Time of an event while prompts are prefilled, in milliseconds.
    pub event_ms: f64,
    /// Time until the prompts that wait at the engine are prefilled, in milliseconds.
    pub queue_ms: f64,
    /// Time to prefill the prompt of the new request, in milliseconds.
    pub read_ms: f64,
}

/// Predicted times of a path, or of its first stages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathTimes {
    /// Longest time between two events, in milliseconds.
    pub event_ms: f64,
    /// Time until the prompt is prefilled, in milliseconds.
    pub prefill_ms: f64,
}

impl EngineTimes {
    /// Predicts the times of an engine that takes one more request, with `prompt` prompt tokens.
    pub fn predict(model: &LatencyModel, work: &EngineWork, prompt: f64) -> EngineTimes {
        let step_ms = model.step_ms
            + model.sequence_ms * (work.requests + 1.0)
            + model.context_ms * (work.context + prompt) / CONTEXT_UNIT;
        let decode_ms = model.event_steps * step_ms * work.step_factor;
        let token_ms = MS_PER_S / model.read_rate * work.read_factor;
        // Each token is compared with those before it in the same prompt.
        let pairs_ms =
            |tokens: f64| model.pairs_ms * tokens * tokens / 2.0 / PAIRS_UNIT * work.read_factor;
        // While requests decode, each chunk waits for the steps of an event.
        let interleaved_ms = if work.requests > 0.0 { decode_ms / model.chunk } else { 0.0 };
        let waiting = work.unread + prompt;
        EngineTimes {
            decode_ms,
            event_ms: decode_ms + waiting.min(model.chunk) * token_ms,
            queue_ms: work.unread * (token_ms + interleaved_ms),
            read_ms: prompt * (token_ms + interleaved_ms) + pairs_ms(prompt),
        }
    }
}

impl PathTimes {
    /// The times of this path after a further stage that runs `share` of the layers, which the path
    /// reaches over a link between failure domains if `crosses`. `prompt` is the number of prompt
    /// tokens of the request.
    #[must_use]
    pub fn then(
        self,
        model: &LatencyModel,
        times: &EngineTimes,
        share: f64,
        prompt: f64,
        crosses: bool,
    ) -> Self {
        // Each step passes over the link once, and may wait there behind the prompt of another
        // request.
        let (link_ms, transfer_ms, wait_ms) = if crosses {
            let prompts = [prompt, model.usual_prompt].map(|tokens| tokens * model.transfer_ms);
            (model.crossing_ms, prompts[0], prompts[1])
        } else {
            (0.0, 0.0, 0.0)
        };
        // The prompts that wait at this engine are prefilled while those before it are, too.
        let start_ms = (self.prefill_ms + link_ms + transfer_ms).max(share * times.queue_ms);
        PathTimes {
            event_ms: self.event_ms
                + share * times.event_ms
                + model.event_steps * link_ms
                + wait_ms,
            prefill_ms: start_ms + share * times.read_ms,
        }
    }

    /// Time until the first event of a request, in milliseconds.
    pub fn first_event_ms(&self) -> f64 {
        self.prefill_ms + self.event_ms
    }
}

/// Share of its time in flight for which a usual request waits for its first event on an engine
/// without other work.
pub(crate) fn reading_share(model: &LatencyModel, step_factor: f64, read_factor: f64) -> f64 {
    let read_ms = model.usual_prompt * MS_PER_S / model.read_rate * read_factor;
    let decode_ms = model.usual_answer * model.step_ms * step_factor;
    read_ms / (read_ms + decode_ms)
}
