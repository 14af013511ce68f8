//! At-most-once execution of non-idempotent requests.
//!
//! A claim is the right to send a request. It is stored as a record in the key-value service, under
//! the request's idempotency key. The node that creates the record holds the claim; it creates the
//! record before it sends the first byte of the request to an upstream.
//!
//! Invariants: only the node that holds a claim may send the request, and only once. The record of
//! an unfinished claim is deleted only by its holder, or by another node after the holder has
//! answered that it has not sent the request and never will. A failure has the verdict
//! [`Verdict::NotRun`](types::Verdict::NotRun) only if no node has sent the request. This crate
//! must not know what is sent to which upstream.

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

pub use admit::{ClaimOutcome, ClaimRequest};
pub use claim::Claim;
pub use record::{ClaimId, ClaimKey, ClaimRecord, ClaimState, StoredResponse};

/// Largest number of final records that a node caches. From the cache it answers repeated requests
/// while the key-value service is down.
const MAX_CACHED_RECORDS: usize = 1024;
/// Largest number of claims with [`HolderStatus::Relinquished`] that a node remembers, to answer
/// other nodes' queries.
const MAX_RELINQUISHED: usize = 4096;

/// Answer of a claim's holder to another node that asks about the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderStatus {
    /// The holder has not sent the request and never will.
    Relinquished,
    /// The holder is still processing the request.
    Working,
    /// The holder's node has restarted since, so the claim will never be finished.
    Gone,
    /// The holder does not know the claim, or did not answer.
    Unknown,
}

/// Sends queries about claims to the nodes that hold them.
pub trait HolderQuery {
    /// Asks the node that holds the claim `id` for the claim's status.
    fn ask(&self, id: &ClaimId) -> LocalBoxFuture<'_, HolderStatus>;
}

/// Claims requests for one node and reports the status of its claims.
pub struct Claims {
    pub(crate) store: Rc<dyn KeyValue>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) holder_query: Rc<dyn HolderQuery>,
    pub(crate) node: NodeName,
    pub(crate) incarnation: u64,
    /// Longest time that a request waits for an earlier request with the same key to finish.
    pub(crate) holder_wait: Duration,
    /// Number of the claim that was created last.
    pub(crate) last_number: Cell<u64>,
    /// Claims of this node whose requests are being processed.
    pub(crate) working: RefCell<HashSet<ClaimId>>,
    /// Claims of this node whose requests were not sent and never will be, oldest first.
    pub(crate) relinquished: RefCell<VecDeque<ClaimId>>,
    pub(crate) record_cache: RefCell<RecordCache>,
    pub(crate) retention_leases: RefCell<RetentionLeases>,
}

/// Cache of the final records that this node has written.
#[derive(Default)]
pub(crate) struct RecordCache {
    pub(crate) records: HashMap<ClaimKey, ClaimRecord>,
    /// Keys of `records`, oldest first.
    pub(crate) order: VecDeque<ClaimKey>,
}

impl Claims {
    /// Creates the state for the claims of the node `node`. The incarnation must differ from that
    /// of every earlier process of the node.
    pub fn new(
        store: Rc<dyn KeyValue>,
        clock: Rc<dyn Clock>,
        holder_query: Rc<dyn HolderQuery>,
        (node, incarnation): (NodeName, u64),
        holder_wait: Duration,
    ) -> Claims {
        Claims {
            store,
            clock,
            holder_query,
            node,
            incarnation,
            holder_wait,
            last_number: Cell::new(0),
            working: RefCell::default(),
            relinquished: RefCell::default(),
            record_cache: RefCell::default(),
            retention_leases: RefCell::default(),
        }
    }

    /// Status of a claim of this node, as the answer to another node's query.
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
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
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
        if record_cache.order.len() > MAX_CACHED_RECORDS
            && let Some(oldest) = record_cache.order.pop_front()
        {
            record_cache.records.remove(&oldest);
        }
    }
}
