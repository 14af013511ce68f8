use std::{rc::Rc, time::Duration};

use types::Digest;

use crate::{ClaimId, ClaimKey, ClaimRecord, ClaimState, Claims, StoredResponse, final_write};

/// The right to send a non-idempotent request once.
///
/// A claim must end in one of its methods. If it is dropped, the record stays as it is, and the
/// request counts as one that may have run.
#[must_use]
pub struct Claim {
    pub(crate) claims: Rc<Claims>,
    pub(crate) key: ClaimKey,
    pub(crate) id: ClaimId,
    pub(crate) digest: Digest,
    pub(crate) version: u64,
}

impl Claim {
    /// Records that the request ran with this answer. The record is kept for `retention`.
    pub async fn finish(self, answer: StoredResponse, retention: Duration) {
        self.conclude(ClaimState::Done(answer.bounded()), Some(retention)).await;
    }

    /// Records that the request was sent and that its outcome is unknown. The record is kept
    /// without an end, since the request may not be sent again at any time.
    pub async fn abandon(self) {
        self.conclude(ClaimState::Unknown, None).await;
    }

    /// Gives the claim back. The caller must not have sent any byte of the request.
    pub async fn release(self) {
        self.claims.relinquish(&self.id);
        final_write::release(self.claims.clone(), self.key.clone(), self.id.clone()).await;
    }

    async fn conclude(self, state: ClaimState, retention: Option<Duration>) {
        let record = ClaimRecord {
            id: self.id.clone(),
            digest: self.digest,
            at_millis: self.claims.clock.unix_millis(),
            state,
        };
        self.claims.cache_record(&self.key, &record);
        let write = final_write::FinalWrite {
            key: self.key.clone(),
            record,
            version: self.version,
            retention,
        };
        final_write::write(self.claims.clone(), write).await;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.claims.working.borrow_mut().remove(&self.id);
    }
}
