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

/// Messages that wait on one link. When it is full, further ones are dropped; the digests then
/// differ and a snapshot repairs the gap.
const MAX_OUTBOX: usize = 64;

/// The links of one node to others.
pub struct Peers {
    pub(crate) clock: Rc<dyn Clock>,
    handler: Weak<dyn PeerHandler>,
    links: RefCell<BTreeMap<LinkId, mpsc::Sender<Message>>>,
    next_link: Cell<LinkId>,
    targets: RefCell<BTreeMap<NodeName, (SocketAddr, StopSignal)>>,
    last_contact: RefCell<HashMap<NodeName, Timestamp>>,
    pub(crate) incoming: Rc<Cell<usize>>,
}

/// Number of a link within the process.
pub(crate) type LinkId = u64;

/// A node to keep a link to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Name of the node.
    pub node: NodeName,
    /// Address of its port for other nodes.
    pub addr: SocketAddr,
}

impl Peers {
    /// Creates the links of the node that `handler` stands for. They end with the handler.
    pub fn new(clock: Rc<dyn Clock>, handler: Weak<dyn PeerHandler>) -> Rc<Peers> {
        Rc::new(Peers {
            clock,
            handler,
            links: RefCell::default(),
            next_link: Cell::default(),
            targets: RefCell::default(),
            last_contact: RefCell::default(),
            incoming: Rc::default(),
        })
    }

    /// Sends facts and the revision of the configuration to all linked nodes at once.
    pub fn push(&self, facts: Vec<Fact>) {
        self.push_to_others(None, facts);
    }

    /// Keeps links to exactly these nodes, one task for each.
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

    /// Number of links that are open now, in both directions.
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

    /// Sends facts to all links but the one that they came from.
    pub(crate) fn push_to_others(&self, origin: Option<LinkId>, facts: Vec<Fact>) {
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

    /// Passes on facts if there are any.
    pub(crate) fn forward(&self, origin: Option<LinkId>, facts: Vec<Fact>) {
        if !facts.is_empty() {
            self.push_to_others(origin, facts);
        }
    }

    pub(crate) fn open_link(&self) -> (LinkId, mpsc::Receiver<Message>) {
        let id = self.next_link.get() + 1;
        self.next_link.set(id);
        let (sender, receiver) = mpsc::channel(MAX_OUTBOX);
        self.links.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    pub(crate) fn close_link(&self, id: LinkId) {
        self.links.borrow_mut().remove(&id);
    }

    pub(crate) fn record_contact(&self, node: &NodeName) {
        let now = self.clock.now();
        let mut heard = self.last_contact.borrow_mut();
        if heard.len() >= fleet::MAX_MEMBERS && !heard.contains_key(node) {
            heard.clear();
        }
        heard.insert(node.clone(), now);
    }

    pub(crate) fn last_contact(&self, node: &str) -> Option<Timestamp> {
        self.last_contact.borrow().get(node).copied()
    }
}
