//! Membership: what this node announces about itself, and to which nodes it keeps links.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use fleet::{Fact, Member, MemberState};
use peers::PeerTarget;
use types::NodeName;

use crate::state::Node;

/// Number of healthy nodes to which a node keeps links. With the links that other nodes open to it,
/// it has about six.
const PEER_LINKS: usize = 3;
/// Time for which a node tries to reach one suspect node before it tries another.
const SUSPECT_PERIOD: Duration = Duration::from_secs(15);

/// Announces to the other nodes that this one has left, as soon as its graceful shutdown starts.
pub(crate) async fn announce_leave(node: Rc<Node>) {
    node.stop.raised().await;
    let left = Member { state: MemberState::Left, ..node.own_member() };
    let now = node.clock.unix_millis();
    let changes = node.fleet.borrow_mut().merge([Fact::Member(left)], now);
    node.broadcast(changes);
}

impl Node {
    /// Number of links to other nodes that are open now, in both directions.
    pub fn link_count(&self) -> usize {
        self.peers.link_count()
    }

    /// Enters this node in its own fleet table. Peers learn of it when the first links open.
    pub(crate) fn join_fleet(&self) {
        let now = self.clock.unix_millis();
        self.fleet.borrow_mut().merge([Fact::Member(self.own_member())], now);
    }

    /// The membership fact that this node announces about itself while it runs.
    pub(crate) fn own_member(&self) -> Member {
        Member {
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            refutations: self.refutations.get(),
            state: MemberState::Alive,
            since_millis: self.member_since.get(),
            addr: self.settings.listen.peers,
            region: self.settings.region.clone(),
        }
    }

    /// Removes expired facts from the fleet table and chooses anew to which nodes to keep links.
    pub(crate) fn maintain_members(&self) {
        self.fleet.borrow_mut().expire(self.clock.unix_millis());
        self.peers.set_targets(&self.choose_peers());
    }

    /// If another node suspects this process to be gone, refutes it and tells the peers.
    pub(crate) fn refute(&self) {
        let now = self.clock.unix_millis();
        let refuted = self.fleet.borrow_mut().refute(&self.own_member(), now);
        if let Some(refuted) = refuted {
            self.refutations.set(refuted.refutations);
            self.member_since.set(refuted.since_millis);
            tracing::info!(refutations = refuted.refutations, "suspicion of this node is refuted");
            self.peers.push(vec![Fact::Member(refuted)]);
        }
    }

    /// Addresses of all other nodes that may be running. The address on the list of VMs takes
    /// precedence, because a node may announce a listen address that others cannot reach.
    pub(crate) fn other_nodes(&self) -> BTreeMap<NodeName, SocketAddr> {
        let table = self.fleet.borrow();
        let mut nodes = self.listed_nodes.borrow().clone();
        for member in table.live_members() {
            nodes.entry(member.node.clone()).or_insert(member.addr);
        }
        nodes.remove(&self.settings.name);
        nodes.retain(|node, _| {
            table.member(node).is_none_or(|member| member.state != MemberState::Left)
        });
        nodes
    }

    /// Address of a node, also of one that has left: it still answers queries about its claims.
    pub(crate) fn node_addr(&self, node: &NodeName) -> Option<SocketAddr> {
        let listed = self.listed_nodes.borrow().get(node).copied();
        listed.or_else(|| self.fleet.borrow().member(node).map(|member| member.addr))
    }

    /// The nodes to keep links to: some healthy ones and one suspect one. Without the suspect one,
    /// two regions that lost contact would never find each other again, because each suspects all
    /// nodes of the other.
    fn choose_peers(&self) -> Vec<PeerTarget> {
        let nodes = self.other_nodes();
        let table = self.fleet.borrow();
        let (suspect, healthy): (Vec<_>, Vec<_>) = nodes.keys().partition(|node| {
            table.member(node).is_some_and(|member| member.state == MemberState::Suspect)
        });
        let own = &self.settings.name;
        let mut chosen = fleet::rendezvous_choose(own, healthy, PEER_LINKS);
        // A suspect node may be gone for good, so each period tries another one.
        let period = self.clock.unix_millis() / SUSPECT_PERIOD.as_millis() as u64;
        chosen.extend(fleet::rendezvous_choose(&format!("{own}/{period}"), suspect, 1));
        let target = |node: NodeName| Some(PeerTarget { addr: *nodes.get(&node)?, node });
        chosen.into_iter().filter_map(target).collect()
    }
}
