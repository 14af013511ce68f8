//! The other nodes: those with an entry in the key-value service, and those that lost theirs lately.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::Timestamp;
use compio::runtime::spawn;
use types::{Domain, NodeName};

use crate::{Gateway, peering::LEASE_TTL, store::LAPSE_GRACE};

/// Another node, as described by its entry in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    /// Address at which it receives datagrams.
    pub(crate) addr: SocketAddr,
    /// Failure domain.
    pub(crate) domain: Domain,
}

impl Member {
    /// Decodes the value of an entry: address and failure domain, separated by a space.
    fn decode(value: &[u8]) -> Option<Member> {
        let (addr, domain) = std::str::from_utf8(value).ok()?.split_once(' ')?;
        Some(Member { addr: addr.parse().ok()?, domain: domain.into() })
    }

    /// Encodes the value that [`Member::decode`] reads.
    pub(crate) fn encode(&self) -> String {
        format!("{} {}", self.addr, self.domain)
    }
}

/// The other nodes that this node knows.
///
/// Datagrams go to those with an entry. The others only count among the nodes that share a budget.
#[derive(Default)]
pub(crate) struct MemberTable {
    registered: BTreeMap<NodeName, RegisteredMember>,
    /// Nodes without an entry, and when they last had one or were heard from.
    unregistered: HashMap<NodeName, Timestamp>,
}

struct RegisteredMember {
    member: Member,
    /// Revision of the key-value service at which its entry was written.
    revision: u64,
}

impl MemberTable {
    /// Names of the nodes with an entry.
    pub(crate) fn names(&self) -> impl Iterator<Item = &NodeName> {
        self.registered.keys()
    }

    /// The nodes with an entry, and their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&NodeName, &Member)> {
        self.registered.iter().map(|(name, registered)| (name, &registered.member))
    }

    /// The nodes with an entry.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Member> {
        self.registered.values().map(|registered| &registered.member)
    }

    /// Number of nodes with an entry.
    pub(crate) fn len(&self) -> usize {
        self.registered.len()
    }

    /// Number of nodes with an entry whose names come before `name`.
    pub(crate) fn rank(&self, name: &NodeName) -> usize {
        self.registered.range(..name.clone()).count()
    }

    /// Applies an entry. Returns whether it is new or has changed.
    fn insert(&mut self, name: NodeName, member: Member, revision: u64) -> bool {
        self.unregistered.remove(&name);
        let registered = RegisteredMember { member: member.clone(), revision };
        let before = self.registered.insert(name, registered);
        before.is_none_or(|before| before.member != member)
    }

    /// Removes a node whose entry is gone. Returns whether it had one.
    fn remove(&mut self, name: &str, now: Timestamp) -> bool {
        let Some((name, _)) = self.registered.remove_entry(name) else { return false };
        self.unregistered.insert(name, now);
        true
    }

    /// The nodes that have an entry according to this table, but not according to a list that was
    /// read at `revision`.
    fn missing_from(&self, listed: &[NodeName], revision: u64) -> Vec<(NodeName, u64)> {
        let missing = self
            .registered
            .iter()
            .filter(|(name, registered)| registered.revision <= revision && !listed.contains(name));
        missing.map(|(name, registered)| (name.clone(), registered.revision)).collect()
    }

    /// Removes nodes that a list did not contain, unless their entry was written since.
    fn remove_missing(&mut self, missing: &[(NodeName, u64)], now: Timestamp) {
        for (name, revision) in missing {
            let known = self.registered.get(name);
            if known.is_some_and(|known| known.revision == *revision) {
                self.remove(name, now);
                tracing::info!(node = %name, "node has left");
            }
        }
    }

    /// Records that a message of a node has arrived.
    fn record_contact(&mut self, name: &NodeName, now: Timestamp) {
        if !self.registered.contains_key(name) {
            self.unregistered.insert(name.clone(), now);
        }
    }

    /// Number of nodes that have an entry, or had one or were heard from within `lifetime`.
    fn count_recent(&mut self, now: Timestamp, lifetime: Duration) -> usize {
        self.unregistered.retain(|_, last| now.since(*last) <= lifetime);
        self.registered.len() + self.unregistered.len()
    }
}

impl Gateway {
    /// Number of nodes with an entry in the key-value service, including this one.
    pub(crate) fn node_count(&self) -> usize {
        self.members.borrow().len() + 1
    }

    /// Number of nodes that share what the whole fleet may use, including this one. A node whose entry
    /// is gone counts for a while: its entry may have lapsed while it runs on, and what it has used
    /// counts until the end of the window.
    pub(crate) fn sharing_nodes(&self) -> usize {
        let lifetime = LEASE_TTL.max(Duration::from_secs_f64(self.settings.retry_window_s));
        self.members.borrow_mut().count_recent(self.clock.now(), lifetime) + 1
    }

    /// Applies a change of another node's entry, made at `revision`.
    pub(crate) fn apply_member(&self, name: &str, value: Option<&[u8]>, revision: u64) {
        if name == self.settings.name.as_str() {
            return;
        }
        let member = value.and_then(Member::decode);
        if member.is_none() && value.is_some() {
            tracing::warn!(node = name, "entry of a node is not usable");
        }
        let mut members = self.members.borrow_mut();
        match member {
            Some(member) => {
                let Member { addr, domain } = member.clone();
                if members.insert(name.into(), member, revision) {
                    tracing::info!(node = name, %addr, %domain, "node has joined");
                }
            }
            None => {
                if members.remove(name, self.clock.now()) {
                    tracing::info!(node = name, "node has left");
                }
            }
        }
    }

    /// Removes the nodes that are missing from a list of all entries, read at `revision`. After an
    /// outage, nodes whose entries have lapsed have time to register again.
    pub(crate) fn apply_member_list(
        self: &Rc<Self>,
        listed: &[NodeName],
        revision: u64,
        was_outage: bool,
    ) {
        let missing = self.members.borrow().missing_from(listed, revision);
        if missing.is_empty() {
            return;
        }
        if !was_outage {
            self.members.borrow_mut().remove_missing(&missing, self.clock.now());
            return;
        }
        let gateway = self.clone();
        spawn(async move {
            gateway.clock.sleep(LAPSE_GRACE).await;
            gateway.members.borrow_mut().remove_missing(&missing, gateway.clock.now());
        })
        .detach();
    }

    /// Records that a message of another node has arrived.
    pub(crate) fn record_contact(&self, node: &NodeName) {
        self.members.borrow_mut().record_contact(node, self.clock.now());
    }
}
