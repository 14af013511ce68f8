use std::{io, net::SocketAddr, sync::Arc};

use compio::{BufResult, net::UdpSocket};
use serde::{Deserialize, Serialize};
use types::{LayerRange, NodeName, UpstreamName};

/// Largest datagram, in bytes. It fits into one packet of an ordinary network.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Most bytes of the changes in one datagram. The rest holds their number and the kind.
const MAX_CHANGES_BYTES: usize = 1380;
/// Upstreams that one beacon names; with names of up to 16 bytes they fit.
pub const MAX_BEACON_ENTRIES: usize = 40;

/// What a node tells the others several times a second. A lost one is made good by the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub node: NodeName,
    /// Version of the sender's configuration, 0 if it has none.
    #[serde(rename = "table")]
    pub table_version: u64,
    /// Requests that the sender has in flight on each upstream.
    pub loads: Vec<BeaconLoad>,
    /// Upstreams that have failed the sender's requests, with the incarnation that failed.
    pub failing: Vec<(UpstreamName, u64)>,
    /// Engines that have reported that they are slow, with their incarnation and the factor in percent.
    pub slow: Vec<(UpstreamName, u64, u32)>,
    /// Layers that engines have reported to the planner, with their incarnation.
    pub loaded: Vec<(UpstreamName, u64, LayerRange)>,
    /// Fingerprints of requests during which an upstream crashed, with the number of crashes.
    pub crashes: Vec<(u64, u32)>,
}

/// Requests in flight on one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BeaconLoad {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Requests that pass through it.
    pub requests: u32,
    /// Requests that enter through it.
    pub entered: u32,
    /// Tokens times layers that they may come to hold.
    pub token_layers: u64,
}

/// A change in the key-value service that the sender has just read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// Key.
    pub key: Arc<str>,
    /// Value; `None` means that the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the write or of the deletion.
    pub revision: u64,
}

impl StoreChange {
    /// Most bytes that it takes up in a datagram.
    fn encoded_bytes(&self) -> usize {
        /// Bytes of two lengths, the revision and the mark of the value.
        const OVERHEAD_BYTES: usize = 32;
        self.key.len() + self.value.as_ref().map_or(0, Vec::len) + OVERHEAD_BYTES
    }
}

/// What a node sends to others without an answer. A lost one does no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// The sender's counts and findings.
    Beacon(Beacon),
    /// Changes that the sender has just read.
    #[serde(rename = "News")]
    StoreChanges(Vec<StoreChange>),
    /// Upstreams that the sender has just found to have failed, with the incarnation that failed.
    Failed(Vec<(UpstreamName, u64)>),
}

/// Sends and receives datagrams.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds a socket to `addr`.
    pub async fn bind(addr: SocketAddr) -> io::Result<DatagramSocket> {
        Ok(DatagramSocket { socket: UdpSocket::bind(addr).await? })
    }

    /// The address that the socket is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram to each of `targets`. Returns how many could not be sent.
    pub async fn send(&self, datagram: &Datagram, targets: &[SocketAddr]) -> usize {
        let config = bincode::config::standard();
        let mut bytes = match bincode::serde::encode_to_vec(datagram, config) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
            Ok(_) | Err(_) => return targets.len(),
        };
        let mut failed = 0;
        for target in targets {
            let BufResult(result, buffer) = self.socket.send_to(bytes, *target).await;
            bytes = buffer;
            failed += usize::from(result.is_err());
        }
        failed
    }

    /// Sends changes to each of `targets`, as many in a datagram as fit. One that is too large for a
    /// datagram is left out: each node reads all changes itself in the end. Returns how many
    /// datagrams could not be sent.
    pub async fn send_changes(&self, changes: Vec<StoreChange>, targets: &[SocketAddr]) -> usize {
        let mut failed = 0;
        let mut packed = Vec::new();
        let mut packed_bytes = 0;
        for one in changes.into_iter().filter(|one| one.encoded_bytes() <= MAX_CHANGES_BYTES) {
            if packed_bytes + one.encoded_bytes() > MAX_CHANGES_BYTES {
                failed +=
                    self.send(&Datagram::StoreChanges(std::mem::take(&mut packed)), targets).await;
                packed_bytes = 0;
            }
            packed_bytes += one.encoded_bytes();
            packed.push(one);
        }
        if !packed.is_empty() {
            failed += self.send(&Datagram::StoreChanges(packed), targets).await;
        }
        failed
    }

    /// Waits for the next datagram. `None` is one that cannot be decoded.
    pub async fn receive(&self) -> io::Result<Option<Datagram>> {
        let buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let BufResult(result, buffer) = self.socket.recv_from(buffer).await;
        let (length, _) = result?;
        let config = bincode::config::standard();
        let decoded = bincode::serde::decode_from_slice(&buffer[..length], config);
        Ok(decoded.ok().map(|(datagram, _)| datagram))
    }
}
