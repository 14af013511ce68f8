//! Splits the load that a node reports over as many datagrams as it needs.

use serde::{Deserialize, Serialize};
use types::NodeName;

use crate::{Beacon, BeaconLoad, Datagram, MAX_DATAGRAM_BYTES};

/// Largest number of [`LoadPart`]s after one beacon. With names of 16 bytes, they hold the load on
/// more than 300 upstreams.
pub const MAX_LOAD_PARTS: u8 = 8;
/// Most bytes of the kind of a datagram and of the number of its loads.
const OVERHEAD_BYTES: usize = 4;

/// Load of the sender's requests in flight that did not fit into its beacon. A part replaces the
/// earlier one with the same number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadPart {
    /// The sender.
    pub node: NodeName,
    /// Number of the part, from 1 to [`MAX_LOAD_PARTS`]. The beacon holds part 0.
    pub number: u8,
    /// Load of the sender's requests in flight on each upstream of this part.
    pub loads: Vec<BeaconLoad>,
}

impl Datagram {
    /// Puts a beacon into a datagram, and the loads that exceed its size into further ones. Each is
    /// valid without the others.
    pub fn of_beacon(mut beacon: Beacon) -> Vec<Datagram> {
        let mut loads = std::mem::take(&mut beacon.loads).into_iter().peekable();
        beacon.loads = take_loads(&mut loads, encoded_bytes(&beacon));
        let node = beacon.node.clone();
        let mut datagrams = vec![Datagram::Beacon(beacon)];
        for number in 1..=MAX_LOAD_PARTS {
            if loads.peek().is_none() {
                break;
            }
            let mut part = LoadPart { node: node.clone(), number, loads: Vec::new() };
            part.loads = take_loads(&mut loads, encoded_bytes(&part));
            datagrams.push(Datagram::LoadPart(part));
        }
        datagrams
    }
}

/// Takes the loads that fit into a datagram whose other content has `bytes`.
fn take_loads(
    loads: &mut std::iter::Peekable<impl Iterator<Item = BeaconLoad>>,
    bytes: usize,
) -> Vec<BeaconLoad> {
    let mut free = MAX_DATAGRAM_BYTES.saturating_sub(bytes + OVERHEAD_BYTES);
    let mut taken = Vec::new();
    while let Some(load) = loads.peek() {
        let Some(left) = free.checked_sub(encoded_bytes(load)) else { break };
        free = left;
        taken.extend(loads.next());
    }
    taken
}

/// Size of a value in a datagram. A value that cannot be encoded fits into none.
pub(crate) fn encoded_bytes(value: &impl Serialize) -> usize {
    let encoded = bincode::serde::encode_to_vec(value, bincode::config::standard());
    encoded.map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}
