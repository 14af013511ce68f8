//! The peer crate for other nodes of the router: h2 streams and datagrams with bincode messages.
//!
//! Purpose: keep a link to a few chosen nodes, over which heartbeats, deltas and snapshots go in
//! both directions, and ask any node single questions; or tell all nodes in datagrams what is lost
//! without harm.
//!
//! Invariants: frames, counts and connections are bounded; no wait is without a deadline; a message
//! of an unknown kind is refused and the connection goes on, so that nodes of two releases can
//! talk. This crate must not know what is concluded from a message; the node answers through the
//! [`PeerHandler`] trait.

mod datagram;
mod frame;
mod handler;
mod link;
mod message;
mod network;
mod outgoing;
mod query;
mod server;

pub use datagram::{
    Beacon, BeaconLoad, Datagram, DatagramSocket, MAX_BEACON_ENTRIES, MAX_DATAGRAM_BYTES,
    StoreChange,
};
pub use frame::{MAX_FRAME_BYTES, PROTOCOL_VERSION, decode, encode};
pub use handler::{Direction, PeerHandler};
pub use link::{ANSWER_LIMIT, HEARTBEAT_INTERVAL, SUSPECT_AFTER};
pub use message::{
    Deltas, Heartbeat, Kind, MAX_DELTA_FACTS, MAX_TRACES, Message, Snapshot, SnapshotQuery,
};
pub use network::{PeerTarget, Peers};
