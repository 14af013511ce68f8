use claims::{ClaimId, HolderStatus};
use fleet::Fact;
use operators::api::{MemberStatus, Trace};
use strum::{Display, IntoStaticStr};
use types::{NodeName, RequestId};

use crate::{Heartbeat, Kind, Snapshot, SnapshotQuery};

/// Whether a message was sent or received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Direction {
    /// By this node to another one.
    Sent,
    /// By this node from another one.
    Received,
}

/// What a node tells other nodes, and what it does with what they tell.
pub trait PeerHandler {
    /// The heartbeat to send. The link fills in the sequence number.
    fn heartbeat(&self) -> Heartbeat;

    /// The facts to send first on a new link: the node's own member fact.
    fn initial_facts(&self) -> Vec<Fact>;

    /// Takes a heartbeat of another node. Returns the facts that it changes.
    fn on_heartbeat(&self, heartbeat: &Heartbeat) -> Vec<Fact>;

    /// A link to the node was lost and nothing was heard from it for a while. Returns the facts
    /// that this changes.
    fn on_silence(&self, node: &NodeName) -> Vec<Fact>;

    /// Merges facts. Returns those that were new, which are forwarded.
    fn merge(&self, facts: Vec<Fact>) -> Vec<Fact>;

    /// The state to send to another node.
    fn snapshot(&self, query: SnapshotQuery) -> Snapshot;

    /// Whether to pull the configuration of `revision` from the node that has announced it.
    fn wants_config(&self, revision: u64) -> bool;

    /// Takes a configuration from another node.
    fn apply_config(&self, text: &str);

    /// What the node says about a claim.
    fn holder_status(&self, claim: &ClaimId) -> HolderStatus;

    /// The node's traces of a request.
    fn traces(&self, request: &RequestId) -> Vec<Trace>;

    /// The node's status.
    fn status(&self) -> MemberStatus;

    /// Counts the bytes of a message.
    fn count_bytes(&self, kind: Kind, direction: Direction, bytes: usize);
}
