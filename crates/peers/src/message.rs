use std::sync::Arc;

use claims::{ClaimId, HolderStatus};
use fleet::Fact;
use operators::api::{MemberStatus, Trace};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumDiscriminants, FromRepr, IntoStaticStr};
use types::{NodeName, RequestId};

/// Facts in one [`Deltas`] message. More are split over several messages.
pub const MAX_DELTA_FACTS: usize = 256;
/// Traces in one answer. A caller may use one request identifier many times.
pub const MAX_TRACES: usize = 64;

/// A message between nodes. New kinds are added at the end, because the position is the number
/// that is sent.
#[derive(Clone, Debug, EnumDiscriminants)]
#[strum_discriminants(
    name(Kind),
    doc = "Kind of a message; its number is sent before the payload.",
    derive(PartialOrd, Ord, Hash, FromRepr, Display, IntoStaticStr),
    repr(u8),
    strum(serialize_all = "snake_case")
)]
pub enum Message {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// Answer to a heartbeat, with the same sequence number.
    HeartbeatAnswer(Heartbeat),
    /// News that is passed on to every node.
    Deltas(Deltas),
    /// Asks for the receiver's state.
    SnapshotQuery(SnapshotQuery),
    /// Answer to a snapshot query.
    Snapshot(Snapshot),
    /// Asks what the receiver says about a claim of its own.
    ClaimQuery(ClaimId),
    /// Answer to a claim query.
    ClaimAnswer(HolderStatus),
    /// Asks for the receiver's traces of a request.
    TraceQuery(RequestId),
    /// Answer to a trace query.
    TraceAnswer(Vec<Trace>),
    /// Asks for the receiver's status.
    StatusQuery,
    /// Answer to a status query.
    StatusAnswer(MemberStatus),
    /// The receiver does not know this kind of message.
    Refused(u8),
}

/// What a node says about itself every two seconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the heartbeat on its link.
    pub sequence: u32,
    /// The sender.
    pub node: NodeName,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Suspicions that the sender has refuted.
    pub refutations: u32,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Digest of the facts that the sender knows.
    pub digest: u64,
}

/// News.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deltas {
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Facts, at most [`MAX_DELTA_FACTS`].
    pub facts: Vec<Fact>,
}

/// What a snapshot is to contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotQuery {
    /// Whether to send the facts.
    pub facts: bool,
    /// Whether to send the configuration.
    pub config: bool,
}

/// State of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All facts, if they were asked for.
    pub facts: Vec<Fact>,
    /// The configuration in force as TOML, if it was asked for and there is one.
    pub config: Option<Arc<str>>,
}

impl Message {
    /// Kind of the message.
    pub fn kind(&self) -> Kind {
        Kind::from(self)
    }
}
