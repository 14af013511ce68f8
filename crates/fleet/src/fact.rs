use std::{cmp::Reverse, net::SocketAddr};

use serde::{Deserialize, Serialize};
use types::{Digest, MAX_NAME_BYTES, NodeName, UpstreamName};

/// Something that a node knows about the fleet and spreads to all others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fact {
    /// State of a node.
    Member(Member),
    /// Whether an upstream is leaving.
    Leaving(LeavingMark),
    /// A request crashed an upstream.
    Crash(Crash),
}

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node.
    pub node: NodeName,
    /// Number that grows with each start of the process.
    pub incarnation: u64,
    /// Grows each time the node refutes a suspicion.
    pub refutations: u32,
    /// What is known about the process.
    pub state: MemberState,
    /// Time at which the state was announced, in milliseconds since the Unix epoch.
    pub since_millis: u64,
    /// Address of the port for other nodes.
    pub addr: SocketAddr,
    /// Region of the node.
    pub region: String,
}

/// What is known about the process of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// A peer has missed its heartbeats.
    Suspect,
    /// It has said that it stops. A process does not return from this state.
    Left,
}

/// Where a leaving mark comes from. Each source has its own sequence numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeavingSource {
    /// The list of VMs; the sequence is the list's version.
    VmList,
    /// The engine's load report; the sequence is the engine's incarnation.
    Engine,
    /// An operator's exception; the sequence is the configuration's revision.
    Operator,
}

/// Says that an upstream is leaving, or that it no longer is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Where the statement comes from.
    pub source: LeavingSource,
    /// Orders the statements of one source.
    pub sequence: u64,
    /// Whether the upstream is leaving. Of two statements with one sequence this one wins.
    pub leaving: bool,
    /// Time of the statement, in milliseconds since the Unix epoch.
    pub since_millis: u64,
}

/// Names one crash. Later crashes are greater, so that a full table drops the oldest ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Time of the crash, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// Node that saw it.
    pub node: NodeName,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Number of the crash within the process.
    pub number: u64,
}

/// A crash of an upstream that ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The crash.
    pub id: CrashId,
    /// Fingerprint of the request: organisation, model and body.
    pub fingerprint: Digest,
    /// Engine that crashed.
    pub engine: UpstreamName,
    /// Incarnation of the engine that ended. Several nodes and requests see the same end.
    pub ended: u64,
    /// Whether a later success of the request has shown that it was not the cause.
    pub cleared: bool,
}

impl Fact {
    /// Whether every name is within its bound. Facts from other nodes are checked before they
    /// are merged.
    pub fn is_bounded(&self) -> bool {
        let fits = |name: &str| name.len() <= MAX_NAME_BYTES;
        match self {
            Fact::Member(member) => fits(&member.node) && fits(&member.region),
            Fact::Leaving(mark) => fits(&mark.upstream),
            Fact::Crash(crash) => fits(&crash.id.node) && fits(&crash.engine),
        }
    }
}

impl Member {
    /// Of two statements about a node the one with the greater rank holds.
    pub(crate) fn rank(&self) -> impl Ord + '_ {
        let left = self.state == MemberState::Left;
        // The time and address only make the order total.
        (
            self.incarnation,
            left,
            self.refutations,
            self.state,
            Reverse(self.since_millis),
            self.addr,
            self.region.as_str(),
        )
    }
}

impl LeavingMark {
    pub(crate) fn rank(&self) -> impl Ord {
        (self.sequence, self.leaving, Reverse(self.since_millis))
    }
}
