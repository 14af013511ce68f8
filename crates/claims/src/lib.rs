//! At-most-once execution of non-idempotent requests.
//!
//! A claim is a record in the key-value service under the request's idempotency key. It is
//! written, if absent, before the first byte of the request goes to an upstream.
//!
//! Invariants: only the holder named in a claim may send the request, and only once; a claim is
//! released only by its holder, or by another node that has the holder's statement that it has
//! not sent and never will; a failure says [`Verdict::NotRun`](types::Verdict::NotRun) only if
//! no node has sent the request. This crate must not know what is sent to which upstream.

mod admit;
mod claim;
mod final_write;
mod record;
mod retention;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet, VecDeque},
    rc::Rc,
    time::Duration,
};

use clock::Clock;
use futures_util::future::LocalBoxFuture;
use keyvalue::KeyValue;
use serde::{Deserialize, Serialize};
use types::NodeName;

use crate::retention::RetentionLeases;

pub use admit::{Admission, ClaimRequest};
pub use claim::Claim;
pub use record::{ClaimId, ClaimKey, ClaimRecord, ClaimState, StoredResponse};

/// Finished answers that a node remembers, so that it can replay them while the key-value
/// service is down.
const MAX_REMEMBERED: usize = 1024;
/// Claims that were given up and that a node remembers.
const MAX_RELINQUISHED: usize = 4096;

/// What the holder of a claim says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderStatus {
    /// The holder has not sent the request and never will.
    Relinquished,
    /// The holder is working on the request.
    Working,
    /// The process that held the claim has ended, so nobody will finish it.
    Gone,
    /// The holder does not know the claim or could not be asked.
    Unknown,
}

/// Asks other nodes about their claims.
pub trait HolderQuery {
    /// Asks the node that holds a claim about it.
    fn ask(&self, id: &ClaimId) -> LocalBoxFuture<'_, HolderStatus>;
}

/// The claims of one node.
pub struct Claims {
    pub(crate) store: Rc<dyn KeyValue>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) holders: Rc<dyn HolderQuery>,
    pub(crate) node: NodeName,
    pub(crate) incarnation: u64,
    /// Longest wait for the holder of a claim to finish.
    pub(crate) wait: Duration,
    pub(crate) next_number: Cell<u64>,
    pub(crate) working: RefCell<HashSet<ClaimId>>,
    pub(crate) relinquished: RefCell<VecDeque<ClaimId>>,
    pub(crate) record_cache: RefCell<RecordCache>,
    pub(crate) leases: RefCell<RetentionLeases>,
}

/// Finished claims, oldest first.
#[derive(Default)]
pub(crate) struct RecordCache {
    pub(crate) records: HashMap<ClaimKey, ClaimRecord>,
    pub(crate) order: VecDeque<ClaimKey>,
}

impl Claims {
    /// Creates the claims of the node `node`, whose incarnation differs from that of every
    /// earlier process of this name.
    pub fn new(
        store: Rc<dyn KeyValue>,
        clock: Rc<dyn Clock>,
        holders: Rc<dyn HolderQuery>,
        (node, incarnation): (NodeName, u64),
        wait: Duration,
    ) -> Claims {
        Claims {
            store,
            clock,
            holders,
            node,
            incarnation,
            wait,
            next_number: Cell::new(0),
            working: RefCell::default(),
            relinquished: RefCell::default(),
            record_cache: RefCell::default(),
            leases: RefCell::default(),
        }
    }

    /// Answers another node's question about a claim of this node.
    pub fn holder_status(&self, id: &ClaimId) -> HolderStatus {
        if id.node != self.node {
            return HolderStatus::Unknown;
        }
        if id.incarnation != self.incarnation {
            return HolderStatus::Gone;
        }
        if self.relinquished.borrow().contains(id) {
            return HolderStatus::Relinquished;
        }
        if self.working.borrow().contains(id) {
            return HolderStatus::Working;
        }
        HolderStatus::Unknown
    }

    pub(crate) fn new_id(&self) -> ClaimId {
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        ClaimId { node: self.node.clone(), incarnation: self.incarnation, number }
    }

    pub(crate) fn relinquish(&self, id: &ClaimId) {
        self.working.borrow_mut().remove(id);
        let mut relinquished = self.relinquished.borrow_mut();
        relinquished.push_back(id.clone());
        if relinquished.len() > MAX_RELINQUISHED {
            relinquished.pop_front();
        }
    }

    pub(crate) fn cache_record(&self, key: &ClaimKey, record: &ClaimRecord) {
        let mut record_cache = self.record_cache.borrow_mut();
        if record_cache.records.insert(key.clone(), record.clone()).is_none() {
            record_cache.order.push_back(key.clone());
        }
        if record_cache.order.len() > MAX_REMEMBERED
            && let Some(oldest) = record_cache.order.pop_front()
        {
            record_cache.records.remove(&oldest);
        }
    }
}
