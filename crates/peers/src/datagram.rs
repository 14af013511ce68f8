use std::{io, net::SocketAddr, sync::Arc};

use compio::{BufResult, net::UdpSocket};
use crashes::CrashNote;
use serde::{Deserialize, Serialize};
use transport::TurnLimit;
use types::{LayerRange, NodeName, UpstreamName};

use crate::{DemandReport, LoadPart};

/// Largest datagram, in bytes. It fits into one Ethernet packet.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Largest size of the values in a datagram after decoding, in bytes. The decoder counts each number
/// by the size of its type, up to 16 bytes, also if its encoding takes a single byte.
const MAX_DECODED_BYTES: usize = 16 * MAX_DATAGRAM_BYTES;
/// Largest total size of the changes in one datagram. The remaining bytes are for the kind of the
/// datagram and the number of changes.
const MAX_CHANGES_BYTES: usize = 1380;
/// Most requests in one note about a crash. Each has up to 60 bytes beside its parts.
const MAX_NOTE_SUSPECTS: usize = 8;
/// Most parts of prompts in one note about a crash, so that it fits into a datagram. A part has up to
/// 20 bytes.
const MAX_NOTE_PARTS: usize = 40;
/// Largest number of upstreams in [`Beacon::loads`] of a node that does not send [`LoadPart`]s. This
/// number fits into a datagram if the names have up to 16 bytes.
pub const MAX_BEACON_ENTRIES: usize = 40;

/// State of the sender, sent to other nodes several times a second. If a beacon is lost, the next
/// one replaces it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub node: NodeName,
    /// Version of the sender's configuration, or 0 if it has none.
    #[serde(rename = "table")]
    pub table_version: u64,
    /// Load of the sender's requests in flight on each upstream.
    pub loads: Vec<BeaconLoad>,
    /// Upstreams on which requests of the sender have failed, with the incarnation that failed.
    pub failing: Vec<(UpstreamName, u64)>,
    /// Engines that have reported to the sender that they are slow, each with its incarnation and
    /// the factor by which it is slower, in percent.
    pub slow: Vec<(UpstreamName, u64, u32)>,
    /// Engines that have reported to the sender which layers they have loaded, each with its
    /// incarnation and its layers.
    pub loaded: Vec<(UpstreamName, u64, LayerRange)>,
}

/// Load of the requests that a node has in flight on one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BeaconLoad {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Requests that use the upstream.
    pub requests: u32,
    /// Those of the requests whose first upstream it is.
    pub entered: u32,
    /// Cache that the requests may need on the upstream: the sum of their tokens times the layers.
    pub token_layers: u64,
}

/// The requests a second that an upstream takes from all nodes together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NamedRate {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its incarnation.
    pub incarnation: u64,
    /// Requests a second.
    pub rate: f64,
}

/// A change in the key-value service that the sender has just read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// Key.
    pub key: Arc<str>,
    /// Value, or `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision at which the value was written or the key was deleted.
    pub revision: u64,
}

impl StoreChange {
    /// Upper bound of the size of the change in a datagram.
    fn encoded_bytes(&self) -> usize {
        /// Upper bound of the sizes of the two length fields, the revision and the tag of the
        /// optional value.
        const OVERHEAD_BYTES: usize = 32;
        self.key.len() + self.value.as_ref().map_or(0, Vec::len) + OVERHEAD_BYTES
    }
}

/// A message that is not answered and that may be lost: the receiver gets its content in another
/// way later. The encoding numbers the variants by their position, so new ones are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// State of the sender.
    Beacon(Beacon),
    /// Changes that the sender has just read from the key-value service.
    #[serde(rename = "News")]
    StoreChanges(Vec<StoreChange>),
    /// Upstreams whose failure the sender has just noticed, with the incarnation that failed.
    Failed(Vec<(UpstreamName, u64)>),
    /// A [`Beacon`](Datagram::Beacon) that the receiver passes on to the nodes of its failure
    /// domain.
    RelayBeacon(Beacon),
    /// [`StoreChanges`](Datagram::StoreChanges) of which the receiver passes on those that are new
    /// to it.
    RelayStoreChanges(Vec<StoreChange>),
    /// What the sender knows about crashes of engines and refused parts of prompts.
    Crashes(Vec<CrashNote>),
    /// Upstreams that have told the sender that they are leaving, with their incarnation.
    Leaving(Vec<(UpstreamName, u64)>),
    /// [`Leaving`](Datagram::Leaving), of which the receiver passes on those that are new to it.
    RelayLeaving(Vec<(UpstreamName, u64)>),
    /// Load that did not fit into the sender's beacon.
    LoadPart(LoadPart),
    /// A [`LoadPart`](Datagram::LoadPart) that the receiver passes on to the nodes of its failure
    /// domain.
    RelayLoadPart(LoadPart),
    /// Requests that the sender has in flight and waiting.
    Demand(DemandReport),
    /// A report of [`Demand`](Datagram::Demand) that the receiver passes on to the nodes of its
    /// failure domain.
    RelayDemand(DemandReport),
    /// Rates that upstreams have named to the sender.
    RateLimits(Vec<NamedRate>),
    /// [`RateLimits`](Datagram::RateLimits) that the receiver passes on to the nodes of its failure
    /// domain.
    RelayRateLimits(Vec<NamedRate>),
}

impl Datagram {
    /// The same content for a receiver that passes it on to the nodes of its failure domain, if
    /// such a datagram exists.
    pub fn for_relay(self) -> Datagram {
        match self {
            Datagram::Beacon(beacon) => Datagram::RelayBeacon(beacon),
            Datagram::StoreChanges(changes) => Datagram::RelayStoreChanges(changes),
            Datagram::Leaving(upstreams) => Datagram::RelayLeaving(upstreams),
            Datagram::LoadPart(part) => Datagram::RelayLoadPart(part),
            Datagram::Demand(report) => Datagram::RelayDemand(report),
            Datagram::RateLimits(rates) => Datagram::RelayRateLimits(rates),
            other => other,
        }
    }

    /// Puts changes into datagrams, as many into each as fit. A change that is too large for a
    /// datagram is left out; the other nodes get it when they read the key-value service
    /// themselves.
    pub fn of_changes(changes: Vec<StoreChange>) -> Vec<Datagram> {
        let mut batches: Vec<Vec<StoreChange>> = Vec::new();
        let mut batch_bytes = MAX_CHANGES_BYTES;
        for change in changes {
            let bytes = change.encoded_bytes();
            if bytes > MAX_CHANGES_BYTES {
                continue;
            }
            batch_bytes += bytes;
            match batches.last_mut() {
                Some(batch) if batch_bytes <= MAX_CHANGES_BYTES => batch.push(change),
                _ => {
                    batches.push(vec![change]);
                    batch_bytes = bytes;
                }
            }
        }
        batches.into_iter().map(Datagram::StoreChanges).collect()
    }

    /// Puts notes about crashes into datagrams, as many into each as fit. A crash with many requests is
    /// split into several notes.
    pub fn of_crash_notes(notes: Vec<CrashNote>) -> Vec<Datagram> {
        let mut batches: Vec<Vec<CrashNote>> = Vec::new();
        let mut batch_bytes = MAX_CHANGES_BYTES;
        for note in notes.into_iter().flat_map(|note| note.split(MAX_NOTE_SUSPECTS, MAX_NOTE_PARTS))
        {
            let config = bincode::config::standard();
            let Ok(bytes) = bincode::serde::encode_to_vec(&note, config) else { continue };
            if bytes.len() > MAX_CHANGES_BYTES {
                continue;
            }
            batch_bytes += bytes.len();
            match batches.last_mut() {
                Some(batch) if batch_bytes <= MAX_CHANGES_BYTES => batch.push(note),
                _ => {
                    batch_bytes = bytes.len();
                    batches.push(vec![note]);
                }
            }
        }
        batches.into_iter().map(Datagram::Crashes).collect()
    }
}

/// Datagrams that are received in one turn of the task.
const RECEIVES_PER_TURN: u32 = 16;

/// UDP socket that sends and receives [`Datagram`]s.
pub struct DatagramSocket {
    socket: UdpSocket,
    receives: TurnLimit,
}

impl DatagramSocket {
    /// Binds a socket to `addr`.
    pub async fn bind(addr: SocketAddr) -> io::Result<DatagramSocket> {
        let socket = UdpSocket::bind(addr).await?;
        Ok(DatagramSocket { socket, receives: TurnLimit::new(RECEIVES_PER_TURN) })
    }

    /// The address that the socket is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram to each of `targets`. Returns the number of targets to which it could not
    /// be sent.
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

    /// Waits for the next datagram. Returns `None` if it cannot be decoded.
    pub async fn receive(&self) -> io::Result<Option<Datagram>> {
        self.receives.step().await;
        let buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let BufResult(result, buffer) = self.socket.recv_from(buffer).await;
        let (length, _) = result?;
        // Without a limit, the decoder reserves memory for any length that the datagram states.
        let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
        let decoded = bincode::serde::decode_from_slice(&buffer[..length], config);
        Ok(decoded.ok().map(|(datagram, _)| datagram))
    }
}
