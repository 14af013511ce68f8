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

/// Ages of the last messages of the other nodes about their load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAge {
    /// Other registered nodes.
    pub nodes: usize,
    /// Nodes whose load is known.
    pub heard: usize,
    /// Age of the latest message, in milliseconds.
    pub newest_ms: Option<u64>,
    /// Age of the oldest message that still counts, in milliseconds.
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
    /// Where it may be sent, the cheapest first.
    pub candidates: Vec<Candidate>,
    /// The other upstreams of the service.
    pub excluded: Vec<Excluded>,
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
        /// Time after which the caller may send it again, in milliseconds.
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
}

/// An upstream that the request would not be sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excluded {
    /// Name of the upstream.
    pub upstream: String,
    /// The first reason that was found.
    pub reason: String,
}
