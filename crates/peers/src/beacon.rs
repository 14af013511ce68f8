use std::{io, net::SocketAddr};

use compio::{BufResult, net::UdpSocket};
use serde::{Deserialize, Serialize};
use types::{LayerRange, NodeName, UpstreamName};

/// Largest datagram, in bytes. It fits into one packet of an ordinary network.
pub const MAX_BEACON_BYTES: usize = 1400;
/// Upstreams that one datagram names; with names of up to 16 bytes they fit.
pub const MAX_BEACON_ENTRIES: usize = 40;

/// What a node tells the others several times a second. A lost one is made good by the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub node: NodeName,
    /// Requests that the sender has in flight on each upstream.
    pub loads: Vec<BeaconLoad>,
    /// Upstreams that have failed the sender's requests, with the start that failed.
    pub failing: Vec<(UpstreamName, u64)>,
    /// Engines that have reported that they are slow, with their start and the factor in percent.
    pub slow: Vec<(UpstreamName, u64, u32)>,
    /// Layers that engines have reported to the planner, with their start.
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

/// Sends and receives beacons.
pub struct BeaconSocket {
    socket: UdpSocket,
}

impl BeaconSocket {
    /// Binds a socket to `addr`.
    pub async fn bind(addr: SocketAddr) -> io::Result<BeaconSocket> {
        Ok(BeaconSocket { socket: UdpSocket::bind(addr).await? })
    }

    /// Sends a beacon to each of `targets`. Returns how many could not be sent.
    pub async fn send(&self, beacon: &Beacon, targets: &[SocketAddr]) -> usize {
        let config = bincode::config::standard();
        let mut bytes = match bincode::serde::encode_to_vec(beacon, config) {
            Ok(bytes) if bytes.len() <= MAX_BEACON_BYTES => bytes,
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

    /// Waits for the next beacon. `None` is a datagram that is none.
    pub async fn receive(&self) -> io::Result<Option<Beacon>> {
        let buffer = Vec::with_capacity(MAX_BEACON_BYTES);
        let BufResult(result, buffer) = self.socket.recv_from(buffer).await;
        let (length, _) = result?;
        let config = bincode::config::standard();
        let decoded = bincode::serde::decode_from_slice(&buffer[..length], config);
        Ok(decoded.ok().map(|(beacon, _)| beacon))
    }
}
