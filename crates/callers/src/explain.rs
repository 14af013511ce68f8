//! What a node would do with a request that is not sent.

use serde::{Deserialize, Serialize};

/// The facts of a request on which its routing depends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainQuery {
    /// Host name, without the port.
    pub host: String,
    /// Path of the URL.
    pub path: String,
    /// API key of the caller.
    #[serde(default)]
    pub key: Option<String>,
    /// Number of prompt tokens; `None` if the request states no numbers of tokens.
    #[serde(default)]
    pub prompt: Option<u32>,
    /// Maximum number of output tokens; 0 if the request states no maximum.
    #[serde(default)]
    pub output: u32,
    /// Priority, instead of the one that follows from the API key or the route.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Time that the caller waits for the response, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// What a node would do with a request now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the node.
    pub node: String,
    /// Whether the node is shutting down. It then refuses requests that it has no time for.
    pub stopping: bool,
    /// The configuration in force.
    pub configuration: Configuration,
    /// The route of the request.
    pub route: String,
    /// Organisation that the API key belongs to.
    pub organisation: Option<String>,
    /// Priority of the request.
    pub priority: u32,
    /// Time until its deadline, in milliseconds.
    pub time_ms: u64,
    /// What the node knows about the load that other nodes cause.
    pub load: LoadAge,
    /// What happens at each service that the route's requests are split over.
    pub services: Vec<ServiceOutcome>,
}

/// Version of a configuration, and for how long it has been in force at the node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version.
    pub version: u64,
    /// Age in milliseconds.
    pub age_ms: u64,
}

/// Ages of the load of the other nodes that this node knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAge {
    /// Other registered nodes.
    pub nodes: usize,
    /// Nodes whose load is known.
    pub heard: usize,
    /// Least age of the load of a node, in milliseconds.
    pub newest_ms: Option<u64>,
    /// Greatest age of the load of a node that still counts, in milliseconds.
    pub oldest_ms: Option<u64>,
}

/// What would happen at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceOutcome {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests that it gets.
    pub share: f64,
    /// What would happen to the request.
    pub outcome: Outcome,
    /// What its path depends on; `None` for a plain service, and without the settings for overload.
    pub path_rules: Option<PathRules>,
    /// Where it may be sent, the cheapest first.
    pub candidates: Vec<Candidate>,
    /// The other upstreams of the service.
    pub excluded: Vec<Excluded>,
}

/// What the choice of a path for a request depends on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PathRules {
    /// Random number from 0 to 1 that is assumed. Each request draws its own.
    pub draw: f64,
    /// Share of an engine's KV cache up to which the request is admitted with this number.
    pub max_fill: f64,
    /// The lowest and the highest such share, over all random numbers.
    pub fill_range: [f64; 2],
    /// Whether the organisation uses more than its fair share while capacity is scarce.
    pub over_share: bool,
    /// Share of the node's own part of the capacity that it would use with the request; above 1, the
    /// request is not sent. `None` if that does not limit it.
    pub own_part: Option<f64>,
    /// Whether the path may pass through more than one failure domain.
    pub may_cross: bool,
    /// Factor on the cost of a transition between failure domains.
    pub crossing_factor: f64,
    /// Target for the time between two events, in milliseconds.
    pub gap_ms: Option<f64>,
    /// Target for the time until the first event, in milliseconds.
    pub first_ms: Option<f64>,
}

/// What would happen to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It would be sent at once, to one of the candidates.
    Send,
    /// It would wait for capacity.
    Wait {
        /// Expected time, in milliseconds, if the node can estimate it.
        expected_ms: Option<u64>,
        /// Time after which it is refused, in milliseconds.
        limit_ms: u64,
    },
    /// It would be refused, without having run.
    Refuse {
        /// The message that the caller gets.
        reason: String,
        /// Time after which the caller may send it again, in milliseconds. It has a random part if
        /// the capacity is used up, for which the middle is taken.
        retry_ms: Option<u64>,
    },
}

/// A path of engines or a replica that the request may be sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The engines of the path in order, or the replica.
    pub upstreams: Vec<String>,
    /// Whether it may be chosen now. The choice has a random part, so this may hold for several.
    pub eligible: bool,
    /// Cost without the random part.
    pub cost: f64,
    /// The terms of the cost, with their names.
    pub terms: Vec<(String, f64)>,
    /// Predicted times of a path; `None` unless it is predicted to meet the latency targets.
    pub times: Option<PredictedTimes>,
}

/// Predicted times of a path, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PredictedTimes {
    /// Time between two events.
    pub event_ms: f64,
    /// Time until the first event.
    pub first_ms: f64,
}

/// An upstream that the request would not be sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excluded {
    /// Name of the upstream.
    pub upstream: String,
    /// The first reason that was found.
    pub reason: String,
}
