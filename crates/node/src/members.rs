//! This node as a member of the fleet, and its choice of peers.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use fleet::{Fact, Member, MemberState};
use peers::PeerTarget;
use types::NodeName;

use crate::state::Node;

/// Nodes to which a node keeps a link. With the links that others open there are about six.
const PEERS: usize = 3;
/// Time for which a node tries to reach the same suspect node.
const SUSPECT_TURN: Duration = Duration::from_secs(15);

/// Tells the other nodes when this one begins to stop.
pub(crate) async fn leave_on_stop(node: Rc<Node>) {
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

    /// Enters this node in its own table. It spreads with the first links.
    pub(crate) fn join_fleet(&self) {
        let now = self.clock.unix_millis();
        self.fleet.borrow_mut().merge([Fact::Member(self.own_member())], now);
    }

    /// What this node says about itself while it runs.
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

    /// Forgets old facts and chooses the peers anew.
    pub(crate) fn maintain_members(&self) {
        self.fleet.borrow_mut().expire(self.clock.unix_millis());
        self.peers.set_targets(&self.choose_peers());
    }

    /// Refutes a suspicion of this process if there is one.
    pub(crate) fn refute(&self) {
        let now = self.clock.unix_millis();
        let fresh = self.fleet.borrow_mut().refute(&self.own_member(), now);
        if let Some(fresh) = fresh {
            self.refutations.set(fresh.refutations);
            self.member_since.set(fresh.since_millis);
            tracing::info!(refutations = fresh.refutations, "suspicion of this node is refuted");
            self.peers.push(vec![Fact::Member(fresh)]);
        }
    }

    /// Addresses of all other nodes that may be running. The list of VMs has precedence, because a
    /// node may listen on an address that others cannot reach.
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

    /// Address of a node, even if it is stopping.
    pub(crate) fn node_addr(&self, node: &NodeName) -> Option<SocketAddr> {
        let listed = self.listed_nodes.borrow().get(node).copied();
        listed.or_else(|| self.fleet.borrow().member(node).map(|member| member.addr))
    }

    /// The nodes to keep links to: some healthy ones, and one suspect one. Without the latter two
    /// regions that have lost contact would never find each other again, because each suspects
    /// all nodes of the other.
    fn choose_peers(&self) -> Vec<PeerTarget> {
        let nodes = self.other_nodes();
        let table = self.fleet.borrow();
        let (suspect, healthy): (Vec<_>, Vec<_>) = nodes.keys().partition(|node| {
            table.member(node).is_some_and(|member| member.state == MemberState::Suspect)
        });
        let own = &self.settings.name;
        let mut chosen = fleet::rendezvous_choose(own, healthy, PEERS);
        // A suspect node may be gone for good, so that another one is tried after a while.
        let turn = self.clock.unix_millis() / SUSPECT_TURN.as_millis() as u64;
        chosen.extend(fleet::rendezvous_choose(&format!("{own}/{turn}"), suspect, 1));
        let target = |node: NodeName| Some(PeerTarget { addr: *nodes.get(&node)?, node });
        chosen.into_iter().filter_map(target).collect()
    }
}
