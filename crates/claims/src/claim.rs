use std::{rc::Rc, time::Duration};

use types::Digest;

use crate::{ClaimId, ClaimKey, ClaimRecord, ClaimState, Claims, StoredResponse, final_write};

/// The right to send a non-idempotent request once.
///
/// The holder must call [`Claim::finish`], [`Claim::finish_unknown`] or [`Claim::release`]. If the claim
/// is dropped instead, its record stays unfinished, and later requests with the same key fail with
/// the verdict that the request may have run.
#[must_use]
pub struct Claim {
    pub(crate) claims: Rc<Claims>,
    pub(crate) key: ClaimKey,
    pub(crate) id: ClaimId,
    pub(crate) digest: Digest,
    /// Version of the claim's record in the key-value service.
    pub(crate) version: u64,
}

impl Claim {
    /// Records that the request ran with this response. The record is kept for `retention`.
    pub async fn finish(self, response: StoredResponse, retention: Duration) {
        self.write_final_record(ClaimState::Done(response.bounded()), Some(retention)).await;
    }

    /// Records that the request was sent and that its outcome is unknown. The record never expires,
    /// because the request must never be sent again.
    pub async fn finish_unknown(self) {
        self.write_final_record(ClaimState::Unknown, None).await;
    }

    /// Deletes the record, so that the request can be claimed again. The caller must not have sent
    /// any byte of the request.
    pub async fn release(self) {
        self.claims.relinquish(&self.id);
        final_write::release(self.claims.clone(), self.key.clone(), self.id.clone()).await;
    }

    async fn write_final_record(self, state: ClaimState, retention: Option<Duration>) {
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
