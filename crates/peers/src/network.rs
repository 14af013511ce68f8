use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::{Rc, Weak},
};

use clock::{Clock, Timestamp};
use fleet::Fact;
use futures_channel::mpsc;
use transport::StopSignal;
use types::NodeName;

use crate::{Deltas, Direction, Kind, MAX_DELTA_FACTS, Message, PeerHandler, outgoing};

/// Largest number of messages that are queued for one link. If the queue is full, further messages
/// are dropped. The digests in the next heartbeats then differ, and the other node asks for a
/// snapshot.
const MAX_QUEUED_MESSAGES: usize = 64;

/// The connections of one node to other nodes.
pub struct Peers {
    pub(crate) clock: Rc<dyn Clock>,
    handler: Weak<dyn PeerHandler>,
    /// Queues of all open links, whichever node has opened them.
    links: RefCell<BTreeMap<LinkId, mpsc::Sender<Message>>>,
    last_link_id: Cell<LinkId>,
    /// The nodes to which this node keeps links, each with its address and the signal that stops
    /// the task of the link.
    targets: RefCell<BTreeMap<NodeName, (SocketAddr, StopSignal)>>,
    /// Time of the last heartbeat or heartbeat answer from each node.
    last_contact: RefCell<HashMap<NodeName, Timestamp>>,
    /// Number of incoming connections.
    pub(crate) incoming_count: Rc<Cell<usize>>,
}

/// Number of a link, unique within the process.
pub(crate) type LinkId = u64;

/// A node to which a link is to be kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Name of the node.
    pub node: NodeName,
    /// Address at which it listens for other nodes.
    pub addr: SocketAddr,
}

impl Peers {
    /// Creates the state for the connections of a node, which `handler` represents. The links are
    /// closed when the handler is dropped.
    pub fn new(clock: Rc<dyn Clock>, handler: Weak<dyn PeerHandler>) -> Rc<Peers> {
        Rc::new(Peers {
            clock,
            handler,
            links: RefCell::default(),
            last_link_id: Cell::default(),
            targets: RefCell::default(),
            last_contact: RefCell::default(),
            incoming_count: Rc::default(),
        })
    }

    /// Sends facts and the revision of the configuration over all links.
    pub fn push(&self, facts: Vec<Fact>) {
        self.broadcast_except(None, facts);
    }

    /// Sets the nodes to which links are kept. Stops the tasks of nodes that are not in `wanted` or
    /// have another address there, and starts a task for each node that has none.
    pub fn set_targets(self: &Rc<Self>, wanted: &[PeerTarget]) {
        let mut targets = self.targets.borrow_mut();
        targets.retain(|node, (addr, stop)| {
            let keep = wanted.iter().any(|target| target.node == *node && target.addr == *addr);
            if !keep {
                stop.raise();
            }
            keep
        });
        for target in wanted {
            if !targets.contains_key(&target.node) {
                let stop = StopSignal::new();
                targets.insert(target.node.clone(), (target.addr, stop.clone()));
                let task = outgoing::maintain_link(self.clone(), target.clone(), stop);
                compio::runtime::spawn(task).detach();
            }
        }
    }

    /// Number of open links, whichever node has opened them.
    pub fn link_count(&self) -> usize {
        self.links.borrow().len()
    }

    pub(crate) fn handler(&self) -> Option<Rc<dyn PeerHandler>> {
        self.handler.upgrade()
    }

    pub(crate) fn count_bytes(&self, kind: Kind, direction: Direction, bytes: usize) {
        if let Some(handler) = self.handler() {
            handler.count_bytes(kind, direction, bytes);
        }
    }

    /// Queues facts and the revision of the configuration on all links except `origin`, from which
    /// the facts were received.
    pub(crate) fn broadcast_except(&self, origin: Option<LinkId>, facts: Vec<Fact>) {
        let Some(handler) = self.handler() else { return };
        let revision = handler.heartbeat().revision;
        let mut parts: Vec<Vec<Fact>> = facts.chunks(MAX_DELTA_FACTS).map(<[_]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        for (id, link) in self.links.borrow_mut().iter_mut() {
            if Some(*id) == origin {
                continue;
            }
            for facts in &parts {
                let deltas = Message::Deltas(Deltas { revision, facts: facts.clone() });
                if let Err(error) = link.try_send(deltas) {
                    tracing::debug!(link = id, %error, "deltas were dropped");
                }
            }
        }
    }

    /// Queues facts on all links except `origin`, if there are any facts.
    pub(crate) fn forward(&self, origin: Option<LinkId>, facts: Vec<Fact>) {
        if !facts.is_empty() {
            self.broadcast_except(origin, facts);
        }
    }

    /// Adds an open link. Returns its number and the receiving end of its queue.
    pub(crate) fn register_link(&self) -> (LinkId, mpsc::Receiver<Message>) {
        let id = self.last_link_id.get() + 1;
        self.last_link_id.set(id);
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.links.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    pub(crate) fn unregister_link(&self, id: LinkId) {
        self.links.borrow_mut().remove(&id);
    }

    /// Records that a heartbeat or a heartbeat answer of `node` was received now.
    pub(crate) fn record_contact(&self, node: &NodeName) {
        let now = self.clock.now();
        let mut last_contact = self.last_contact.borrow_mut();
        if last_contact.len() >= fleet::MAX_MEMBERS && !last_contact.contains_key(node) {
            last_contact.clear();
        }
        last_contact.insert(node.clone(), now);
    }

    pub(crate) fn last_contact(&self, node: &str) -> Option<Timestamp> {
        self.last_contact.borrow().get(node).copied()
    }
}
