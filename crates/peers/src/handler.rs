use claims::{ClaimId, HolderStatus};
use fleet::Fact;
use operators::api::{MemberStatus, Trace};
use strum::{Display, IntoStaticStr};
use types::{NodeName, RequestId};

use crate::{Heartbeat, Kind, Snapshot, SnapshotQuery};

/// Direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Direction {
    /// Sent by this node.
    Sent,
    /// Received by this node.
    Received,
}

/// The node, as this crate sees it: provides what is sent to other nodes and handles what is
/// received from them.
pub trait PeerHandler {
    /// The heartbeat to send. The link fills in the sequence number.
    fn heartbeat(&self) -> Heartbeat;

    /// The facts to send first on a new link: the node's own member fact.
    fn initial_facts(&self) -> Vec<Fact>;

    /// Handles a heartbeat of another node. Returns the facts that it changes, which are sent to
    /// other nodes.
    fn on_heartbeat(&self, heartbeat: &Heartbeat) -> Vec<Fact>;

    /// Called when a link to `node` is lost and no heartbeat has been received from it for
    /// [`SUSPECT_AFTER`](crate::SUSPECT_AFTER). Returns the facts that this changes, which are sent
    /// to other nodes.
    fn on_silence(&self, node: &NodeName) -> Vec<Fact>;

    /// Merges facts of another node. Returns those that were new, which are sent to other nodes.
    fn merge(&self, facts: Vec<Fact>) -> Vec<Fact>;

    /// The answer to a snapshot query.
    fn snapshot(&self, query: SnapshotQuery) -> Snapshot;

    /// Whether to ask a node for its configuration, after it has announced the revision `revision`.
    fn wants_config(&self, revision: u64) -> bool;

    /// Applies a configuration, as TOML, that another node has sent.
    fn apply_config(&self, text: &str);

    /// Status of a claim of this node.
    fn holder_status(&self, claim: &ClaimId) -> HolderStatus;

    /// The node's traces of a request.
    fn traces(&self, request: &RequestId) -> Vec<Trace>;

    /// The node's status.
    fn status(&self) -> MemberStatus;

    /// Adds the size of a message to the metrics.
    fn count_bytes(&self, kind: Kind, direction: Direction, bytes: usize);
}
