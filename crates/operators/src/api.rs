//! Messages of the operators' HTTP interface.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{Class, FailureKind, NodeName, Organisation, RequestId, UpstreamName, Verdict};

/// `GET /readyz`: whether the node can serve requests, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// The node serves requests.
    Ready,
    /// The node has not received a configuration yet.
    NoConfiguration,
    /// The node is shutting down.
    Draining,
}

/// `GET /status`: a node's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Number that changes with each start of the process.
    pub incarnation: u64,
    /// Whether the node can serve requests.
    pub readiness: Readiness,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Requests that run now.
    pub running: u32,
    /// Engines that the node knows.
    pub engines: Vec<EngineStatus>,
}

/// `GET /fleet`: the state of all members, gathered from them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Members that have answered, in the order of their names.
    pub members: Vec<MemberStatus>,
    /// Members that did not answer in time.
    pub silent: Vec<NodeName>,
}

/// State of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Number that changes with each start of the process.
    pub incarnation: u64,
    /// Whether the node can serve requests.
    pub readiness: Readiness,
    /// Revision of the configuration in force.
    pub revision: u64,
}

/// What a node knows about an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: UpstreamName,
    /// What the engine has loaded, such as `draft 0..8 version 1`.
    pub loaded: String,
    /// Whether new work may go to the engine.
    pub available: bool,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Requests of this node that run on the engine.
    pub outstanding: u32,
}

/// `GET /explain/REQUEST`: what one node decided for a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trace {
    /// The request.
    pub request: RequestId,
    /// Node that made the decisions.
    pub node: NodeName,
    /// Organisation of the caller.
    pub organisation: Organisation,
    /// Class of the request.
    pub class: Class,
    /// Model or service that was asked for.
    pub target: Arc<str>,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub arrived_millis: u64,
    /// Decisions in order.
    pub steps: Vec<TraceStep>,
}

/// A decision and when it was made.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TraceStep {
    /// Time since the arrival of the request, in milliseconds.
    pub after_millis: u64,
    /// The decision.
    pub decision: Decision,
}

/// A decision about a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// No available engines cover the model.
    NoRoute,
    /// A route was chosen.
    Routed {
        /// Number of the attempt.
        attempt: u32,
        /// Engines in layer order.
        stages: Vec<UpstreamName>,
        /// Tokens that the caller already has.
        given: u32,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Number of the attempt.
        attempt: u32,
        /// What happened.
        cause: String,
        /// Engines that are suspected.
        suspects: Vec<UpstreamName>,
    },
    /// The KV cache of a leaving engine was moved to a replica.
    Transferred {
        /// The leaving engine.
        from: UpstreamName,
        /// The replica.
        to: UpstreamName,
    },
    /// The KV cache of a leaving engine could not be moved, so a prefill replaces it.
    TransferFailed {
        /// What happened.
        cause: String,
    },
    /// The idempotency key was claimed.
    Claimed,
    /// The answer of an earlier send was replayed.
    Replayed,
    /// The call was sent to a replica of a service.
    Sent {
        /// The replica.
        upstream: UpstreamName,
    },
    /// A call failed.
    CallFailed {
        /// The replica.
        upstream: UpstreamName,
        /// What happened.
        cause: String,
    },
    /// The request was answered.
    Answered {
        /// Verdict of the answer.
        verdict: Verdict,
    },
    /// The request failed or was refused.
    Failed {
        /// Why.
        kind: FailureKind,
        /// Whether it may have run.
        verdict: Verdict,
        /// The sentence that the caller got.
        message: String,
    },
}
