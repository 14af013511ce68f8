use std::sync::Arc;

use claims::{ClaimId, HolderStatus};
use fleet::Fact;
use operators::api::{MemberStatus, Trace};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumDiscriminants, FromRepr, IntoStaticStr};
use types::{NodeName, RequestId};

/// Largest number of facts in one [`Deltas`] message. If there are more, several messages are sent.
pub const MAX_DELTA_FACTS: usize = 256;
/// Largest number of traces in one answer. A caller may use a request identifier for many requests.
pub const MAX_TRACES: usize = 64;

/// A message between nodes. The position of a variant is the number by which its kind is sent, so
/// new variants must be added at the end.
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
    /// New facts, which each node forwards over its other links.
    Deltas(Deltas),
    /// Asks for the receiver's facts or configuration.
    SnapshotQuery(SnapshotQuery),
    /// Answer to a snapshot query.
    Snapshot(Snapshot),
    /// Asks for the status of a claim that the receiver holds.
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
    /// Answer to a message that the sender cannot read or answer. The number is the kind of that
    /// message.
    Refused(u8),
}

/// State of the sender. The node that opened a link sends it every two seconds, and the other one
/// answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the heartbeat on its link. The answer has the same number.
    pub sequence: u32,
    /// The sender.
    pub node: NodeName,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// How often the sender has refuted that it is suspect.
    pub refutations: u32,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Digest of the facts that the sender knows.
    pub digest: u64,
}

/// Facts that are new to the sender, to be merged and forwarded by the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deltas {
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Facts, at most [`MAX_DELTA_FACTS`].
    pub facts: Vec<Fact>,
}

/// Says what the requested snapshot has to contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotQuery {
    /// Whether it has to contain the facts.
    pub facts: bool,
    /// Whether it has to contain the configuration.
    pub config: bool,
}

/// The facts and the configuration of the sender, as far as a [`SnapshotQuery`] asks for them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All facts that the sender knows; empty if they were not asked for.
    pub facts: Vec<Fact>,
    /// The configuration in force, as TOML; `None` if it was not asked for or there is none.
    pub config: Option<Arc<str>>,
}

impl Message {
    /// Kind of the message.
    pub fn kind(&self) -> Kind {
        Kind::from(self)
    }
}
