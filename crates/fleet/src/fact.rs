use std::{cmp::Reverse, net::SocketAddr};

use serde::{Deserialize, Serialize};
use types::{Digest, MAX_NAME_BYTES, NodeName, UpstreamName};

/// Something that a node knows about the fleet and sends to all other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fact {
    /// State of a node.
    Member(Member),
    /// Whether an upstream is leaving.
    Leaving(LeavingMark),
    /// An upstream crashed while it ran a request.
    Crash(Crash),
    /// How long the request had run on the upstream when it crashed.
    RunTime(RunTime),
}

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node.
    pub node: NodeName,
    /// Number of the node's process. Each process of a node has a greater number than the one
    /// before.
    pub incarnation: u64,
    /// How often the process has refuted that it is suspect.
    pub refutations: u32,
    /// State of the process.
    pub state: MemberState,
    /// Time at which a node first stated this state, in milliseconds since the Unix epoch.
    pub since_millis: u64,
    /// Address at which the node listens for other nodes.
    pub addr: SocketAddr,
    /// Region of the node.
    pub region: String,
}

/// State of a member's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It sends heartbeats.
    Alive,
    /// Another node no longer gets heartbeats from it.
    Suspect,
    /// It has announced that it stops. This state is final for a process.
    Left,
}

/// Who states that an upstream is leaving. Each source has its own sequence numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeavingSource {
    /// The list of VMs. The sequence number is the version of the list.
    VmList,
    /// The load report of the engine itself. The sequence number is the engine's incarnation.
    Engine,
    /// An operator, by an exception in the configuration. The sequence number is the
    /// configuration's revision.
    Operator,
}

/// Statement of one source whether an upstream is leaving, that is, gets no new work because it is
/// going to stop.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Source of the statement.
    pub source: LeavingSource,
    /// Sequence number of the statement. A statement replaces those of the same source with lower
    /// numbers.
    pub sequence: u64,
    /// Whether the upstream is leaving. Of two statements with the same sequence number, the one
    /// with `true` wins.
    pub leaving: bool,
    /// Time of the statement, in milliseconds since the Unix epoch.
    pub since_millis: u64,
}

/// Identifier of a crash. Identifiers are ordered by time, so that a full table can drop the oldest
/// crashes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Time of the crash, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// Node that detected the crash.
    pub node: NodeName,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Number of the crash among those that the process of that node has detected.
    pub number: u64,
}

/// Report that an upstream crashed while it ran a request. One crash of a process gives a report of
/// its own for each request that the process was running.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Identifier of the report.
    pub id: CrashId,
    /// Fingerprint of the request, over its organisation, model, prompt and `max_tokens`.
    pub fingerprint: Digest,
    /// Engine that crashed.
    pub engine: UpstreamName,
    /// Incarnation of the engine's process that crashed. Several nodes may report the same crash,
    /// each for several requests.
    #[serde(rename = "ended")]
    pub engine_incarnation: u64,
    /// Whether the request has succeeded since, which shows that it was not the cause.
    pub cleared: bool,
}

/// How long a request had run on an upstream when that upstream crashed. A fact of its own, since
/// nodes of an earlier release read [`Crash`] without it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunTime {
    /// The report of the crash.
    pub crash: CrashId,
    /// Time from the start of the attempt until it failed, in microseconds.
    pub micros: u64,
}

impl Fact {
    /// Whether no name is longer than allowed. Facts from other nodes are checked before they are
    /// merged.
    pub fn has_valid_name_lengths(&self) -> bool {
        let fits = |name: &str| name.len() <= MAX_NAME_BYTES;
        match self {
            Fact::Member(member) => fits(&member.node) && fits(&member.region),
            Fact::Leaving(mark) => fits(&mark.upstream),
            Fact::Crash(crash) => fits(&crash.id.node) && fits(&crash.engine),
            Fact::RunTime(run_time) => fits(&run_time.crash.node),
        }
    }
}

impl Member {
    /// Of two statements about a node, the one with the greater rank is kept.
    pub(crate) fn rank(&self) -> impl Ord + '_ {
        let left = self.state == MemberState::Left;
        // Time, address and region serve only to make the order total, so that all nodes choose
        // the same statement.
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
    /// Of two marks for the same upstream and source, the one with the greater rank is kept.
    pub(crate) fn rank(&self) -> impl Ord {
        (self.sequence, self.leaving, Reverse(self.since_millis))
    }
}
