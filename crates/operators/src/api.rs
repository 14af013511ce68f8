//! Messages of the operators' HTTP API.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{Class, FailureKind, NodeName, Organisation, RequestId, UpstreamName, Verdict};

/// `GET /readyz`: whether the node can serve requests, and if not, the reason.
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
    /// Number of requests that are running.
    pub running: u32,
    /// State of the engines that the node knows.
    pub engines: Vec<EngineStatus>,
}

/// `GET /fleet`: the state of all nodes in the membership, collected from them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetStatus {
    /// State of the members that answered, in the order of their names.
    pub members: Vec<MemberStatus>,
    /// Members that did not answer in time.
    pub silent: Vec<NodeName>,
}

/// State of one member, that is, a node in the membership.
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
    /// Model, layers and version that the engine has loaded, such as `draft 0..8 version 1`.
    pub loaded: String,
    /// Whether the node may send new work to the engine.
    pub available: bool,
    /// Whether the engine is about to leave the fleet.
    pub leaving: bool,
    /// Number of this node's requests that are running on the engine.
    pub outstanding: u32,
}

/// `GET /explain/REQUEST`: the decisions that one node made for a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trace {
    /// Identifier of the request.
    pub request: RequestId,
    /// Node that made the decisions.
    pub node: NodeName,
    /// Organisation of the caller.
    pub organisation: Organisation,
    /// Class of the request.
    pub class: Class,
    /// Name of the requested model or service.
    pub target: Arc<str>,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub arrived_millis: u64,
    /// Decisions, in the order in which they were made.
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
        /// Number of tokens that the caller already has.
        given: u32,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Number of the attempt.
        attempt: u32,
        /// Cause of the failure.
        cause: String,
        /// Engines that are suspected of causing the failure.
        suspects: Vec<UpstreamName>,
    },
    /// The KV cache of a leaving engine was transferred to its replacement on the route.
    Transferred {
        /// Name of the leaving engine.
        from: UpstreamName,
        /// Name of the replacement.
        to: UpstreamName,
    },
    /// The KV cache of a leaving engine could not be transferred, so a prefill computes it again.
    TransferFailed {
        /// Cause of the failure.
        cause: String,
    },
    /// The request's idempotency key was claimed.
    Claimed,
    /// The response to an earlier send of the same request was replayed.
    Replayed,
    /// The call was sent to a replica of a service.
    Sent {
        /// Name of the replica.
        upstream: UpstreamName,
    },
    /// A call to a replica of a service failed.
    CallFailed {
        /// Name of the replica.
        upstream: UpstreamName,
        /// Cause of the failure.
        cause: String,
    },
    /// The request was answered.
    Answered {
        /// Verdict that the caller was given.
        verdict: Verdict,
    },
    /// The request failed or was refused.
    Failed {
        /// Kind of the failure.
        kind: FailureKind,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Error message that the caller was given.
        message: String,
    },
}
