//! Communication with the other nodes of the router: messages in HTTP/2 streams and in UDP
//! datagrams, encoded with bincode.
//!
//! Purpose: keep links to a few chosen nodes, over which new facts and snapshots are sent in
//! both directions, and heartbeats by the node that opened the link, which the other one answers;
//! send single queries to any node; send datagrams, which may be lost, to any node; pass requests of
//! callers on to any node, see [`relay`]. A link is a long-lived HTTP/2 stream on a connection of its
//! own.
//!
//! Invariants: the size of frames, the number of elements in a message and the number of
//! connections are bounded; each wait has a deadline; a message of an unknown kind is refused and
//! the connection is kept, so that nodes of two releases can communicate. This crate must not know
//! how a node uses a message; it calls the node through the [`PeerHandler`] trait.

mod connection_guard;
mod datagram;
mod demand_report;
mod frame;
mod handler;
mod link;
mod load_part;
mod message;
mod network;
mod outgoing;
mod query;
pub mod relay;
mod server;

pub use datagram::{
    Beacon, BeaconLoad, Datagram, DatagramSocket, MAX_BEACON_ENTRIES, MAX_DATAGRAM_BYTES,
    NamedRate, StoreChange,
};
pub use demand_report::{DemandReport, RequestCount, ServiceReport};
pub use frame::{MAX_FRAME_BYTES, PROTOCOL_VERSION, decode, encode};
pub use handler::{Direction, PeerHandler};
pub use link::{ANSWER_TIMEOUT, HEARTBEAT_INTERVAL, SUSPECT_AFTER};
pub use load_part::{LoadPart, MAX_LOAD_PARTS};
pub use message::{
    Deltas, Heartbeat, Kind, MAX_DELTA_FACTS, MAX_TRACES, Message, Snapshot, SnapshotQuery,
};
pub use network::{PeerTarget, Peers};
