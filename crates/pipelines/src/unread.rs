//! Prompt tokens that engines have not prefilled yet.

use std::collections::HashMap;

use catalog::LatencyModel;
use types::{Stage, UpstreamName};

use crate::latency::reading_share;

/// Weight of the usual share of unread prompts in the estimate for other nodes, in stages of this
/// node's requests. A node with few requests in flight mostly relies on the usual share.
const USUAL_WEIGHT: f64 = 32.0;

/// Prompt tokens that wait to be prefilled on each engine. Those of this node's requests are known;
/// those of other nodes' requests are estimated from the KV cache that these have reserved, and
/// from the share of unread prompts in what this node has reserved.
///
/// The news of another node's request takes longer to arrive than most prompts take to be
/// prefilled, so it does not show which prompts wait now.
#[derive(Debug, Default)]
pub struct UnreadTable {
    engines: HashMap<UpstreamName, OwnWork>,
    /// Sums over `engines`, in which a request counts once for each stage.
    total: OwnWork,
}

/// Work of this node's requests on an engine, in tokens times layers.
#[derive(Clone, Copy, Debug, Default)]
struct OwnWork {
    /// Requests that run on it.
    requests: u32,
    /// KV cache that is reserved for them.
    reserved: f64,
    /// Prompt tokens that are not prefilled yet.
    unread: f64,
}

/// The size of a request of this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestSize {
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of KV cache that are reserved for it.
    pub tokens: u32,
}

impl UnreadTable {
    /// Adds a request of this node that is about to be sent.
    pub fn add(&mut self, stages: &[Stage], size: RequestSize) {
        for stage in stages {
            let layers = f64::from(stage.layers.len());
            let work = self.engines.entry(stage.engine.clone()).or_default();
            for work in [work, &mut self.total] {
                work.requests += 1;
                work.reserved += layers * f64::from(size.tokens);
                work.unread += layers * f64::from(size.prompt);
            }
        }
    }

    /// Records that the first event of a request has arrived, so that its prompt is prefilled.
    pub fn record_first_event(&mut self, stages: &[Stage], size: RequestSize) {
        for stage in stages {
            let Some(work) = self.engines.get_mut(&stage.engine) else { continue };
            let read = f64::from(stage.layers.len()) * f64::from(size.prompt);
            for work in [work, &mut self.total] {
                work.unread = (work.unread - read).max(0.0);
            }
        }
    }

    /// Removes a request whose first event has been recorded.
    pub fn remove(&mut self, stages: &[Stage], size: RequestSize) {
        for stage in stages {
            let Some(work) = self.engines.get_mut(&stage.engine) else { continue };
            let reserved = f64::from(stage.layers.len()) * f64::from(size.tokens);
            for work in [&mut *work, &mut self.total] {
                work.reserved = (work.reserved - reserved).max(0.0);
                work.requests = work.requests.saturating_sub(1);
            }
            if work.requests == 0 {
                self.engines.remove(&stage.engine);
            }
        }
        if self.engines.is_empty() {
            // Sums of floating-point numbers do not return to zero exactly.
            self.total = OwnWork::default();
        }
    }

    /// Prompt tokens that wait on an engine, times layers, if the requests of all nodes on it have
    /// reserved `reserved`. `usual_share` is the share of unread prompts in what usual requests
    /// reserve there.
    pub fn unread(&self, engine: &str, reserved: f64, usual_share: f64) -> f64 {
        let own = self.engines.get(engine).copied().unwrap_or_default();
        own.unread + (reserved - own.reserved).max(0.0) * self.unread_share(usual_share)
    }

    /// The share of unread prompts in what the other nodes have reserved. All nodes see the same
    /// kinds of requests, so their prompts wait longer when this node's do.
    fn unread_share(&self, usual_share: f64) -> f64 {
        if self.total.reserved <= 0.0 {
            return usual_share;
        }
        let own_share = self.total.unread / self.total.reserved;
        let weight = f64::from(self.total.requests);
        (own_share * weight + usual_share * USUAL_WEIGHT) / (weight + USUAL_WEIGHT)
    }

    /// Whether no request of this node is counted.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

/// Share of the KV cache reserved on an engine that is prompts which are not prefilled yet, on
/// average over the time in flight of usual requests.
pub fn unread_share(model: &LatencyModel, step_factor: f64, read_factor: f64) -> f64 {
    // A request reserves its prompt and half of its expected output.
    let prompt_share = model.usual_prompt / (model.usual_prompt + model.usual_answer / 2.0);
    prompt_share * reading_share(model, step_factor, read_factor)
}
