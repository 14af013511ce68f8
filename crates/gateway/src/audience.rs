//! Chooses which nodes a datagram is sent to, so that it reaches all of them. Nodes of the sender's
//! failure domain get it directly. Of each other domain a few nodes get it and pass it on within
//! their domain, since traffic between domains is charged for and grows with the square of the
//! number of nodes if each node sends to all others.

use std::{collections::BTreeMap, net::SocketAddr};

use peers::{Datagram, DatagramSocket};
use rand::seq::IteratorRandom;
use types::Domain;

use crate::Gateway;

/// Largest number of nodes of another domain that get each datagram directly. Passing it on costs a
/// delay and may fail, which is not worth it for a few nodes.
const MAX_DIRECT: usize = 8;
/// Nodes of another domain to which an update is sent. One of them may have stopped without the
/// others knowing it yet.
pub(crate) const UPDATE_RELAYS: usize = 2;
/// Nodes of another domain to which a beacon is sent. The next beacon replaces a lost one.
pub(crate) const BEACON_RELAYS: usize = 1;

/// The receivers of a datagram.
pub(crate) struct Audience {
    /// Nodes that get it for themselves.
    direct: Vec<SocketAddr>,
    /// Nodes that pass it on to the nodes of their domain.
    relays: Vec<SocketAddr>,
}

impl Audience {
    /// Number of nodes that get the datagram from the sender.
    pub(crate) fn len(&self) -> usize {
        self.direct.len() + self.relays.len()
    }

    /// Sends a datagram to all receivers. Returns the number of those to which it could not be
    /// sent.
    pub(crate) async fn send(&self, socket: &DatagramSocket, datagram: Datagram) -> usize {
        let failed = socket.send(&datagram, &self.direct).await;
        if self.relays.is_empty() {
            return failed;
        }
        failed + socket.send(&datagram.for_relay(), &self.relays).await
    }
}

impl Gateway {
    /// All other nodes, those of each large other domain through `relays` of them.
    pub(crate) fn all_nodes(&self, relays: usize) -> Audience {
        let mut audience = self.own_domain();
        let members = self.members.borrow();
        let mut domains: BTreeMap<&Domain, Vec<SocketAddr>> = BTreeMap::new();
        for member in members.values().filter(|member| member.domain != self.settings.domain) {
            domains.entry(&member.domain).or_default().push(member.addr);
        }
        for addrs in domains.into_values() {
            if addrs.len() <= MAX_DIRECT {
                audience.direct.extend(addrs);
            } else {
                audience.relays.extend(addrs.into_iter().choose_multiple(&mut rand::rng(), relays));
            }
        }
        audience
    }

    /// All other nodes, each directly.
    pub(crate) fn all_nodes_directly(&self) -> Audience {
        let members = self.members.borrow();
        Audience {
            direct: members.values().map(|member| member.addr).collect(),
            relays: Vec::new(),
        }
    }

    /// Up to `count` other nodes, chosen at random.
    pub(crate) fn random_nodes(&self, count: usize) -> Audience {
        let members = self.members.borrow();
        let addrs = members.values().map(|member| member.addr);
        Audience { direct: addrs.choose_multiple(&mut rand::rng(), count), relays: Vec::new() }
    }

    /// The other nodes of this node's failure domain.
    pub(crate) fn own_domain(&self) -> Audience {
        let members = self.members.borrow();
        let own = members.values().filter(|member| member.domain == self.settings.domain);
        Audience { direct: own.map(|member| member.addr).collect(), relays: Vec::new() }
    }
}
