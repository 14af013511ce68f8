use std::{rc::Rc, time::Duration};

use clock::{Timestamp, timeout};
use keyvalue::{
    KvError,
    api::{Entry, Expected, PutReply},
};
use types::{Digest, Failure, FailureKind, Verdict};

use crate::{
    Claim, ClaimId, ClaimKey, ClaimRecord, ClaimState, Claims, HolderStatus, StoredResponse,
    final_write,
};

/// Pause before the record is watched again after a watch has failed or ended without a change.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for a change of the record before the record is read and the holder of its claim is
/// asked again.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Attempts to write the claim record before the request is refused. Another attempt follows when a
/// record that conflicted with the write has been deleted.
const MAX_CLAIM_ATTEMPTS: u32 = 8;

/// A non-idempotent request that is to be claimed before it is sent.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Organisation and idempotency key of the request.
    pub key: ClaimKey,
    /// Digest of the request's content.
    pub digest: Digest,
    /// Deadline of the request.
    pub deadline: Timestamp,
    /// Whether the caller states that it has never sent a request with this key before.
    pub first_send: bool,
}

/// Outcome of claiming the idempotency key of a non-idempotent request.
pub enum ClaimOutcome {
    /// The request may be sent to an upstream once.
    Run(Claim),
    /// The request ran before. The caller gets this stored response.
    Replay(StoredResponse),
}

impl Claims {
    /// Claims a request, or finds the outcome of an earlier request with the same key.
    pub async fn claim_or_replay(
        self: &Rc<Self>,
        request: &ClaimRequest,
    ) -> Result<ClaimOutcome, Failure> {
        if let Some(decided) = self.admit_from_cache(request) {
            return decided;
        }
        let id = self.new_id();
        self.working.borrow_mut().insert(id.clone());
        let mut put_ambiguous = false;
        let admitted = self.claim(request, &id, &mut put_ambiguous).await;
        if matches!(admitted, Ok(ClaimOutcome::Run(_))) {
            return admitted;
        }
        self.relinquish(&id);
        if put_ambiguous {
            // A write that was not answered may still take effect. The request is not sent, so the
            // record is deleted once the key-value service can be reached.
            compio::runtime::spawn(final_write::release(self.clone(), request.key.clone(), id))
                .detach();
        }
        admitted
    }

    /// Decides from the cache, if this node has ended an earlier claim with the same key.
    fn admit_from_cache(&self, request: &ClaimRequest) -> Option<Result<ClaimOutcome, Failure>> {
        let record_cache = self.record_cache.borrow();
        let record = record_cache.records.get(&request.key)?;
        decide_from_record(record, request.digest)
    }

    /// Writes the claim record unless there is one. If there is, waits for the outcome of the claim
    /// that it records. Sets `put_ambiguous` if a write was not answered, so that it may have taken
    /// effect.
    async fn claim(
        self: &Rc<Self>,
        request: &ClaimRequest,
        id: &ClaimId,
        put_ambiguous: &mut bool,
    ) -> Result<ClaimOutcome, Failure> {
        let record = ClaimRecord {
            id: id.clone(),
            digest: request.digest,
            at_millis: self.clock.unix_millis(),
            state: ClaimState::Claimed,
        };
        let store_key = request.key.store_key();
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let put = self.store.put(&store_key, Expected::Absent, record.encode(), None).await;
            let found = match put {
                Ok(PutReply::Stored(version)) => {
                    return Ok(self.run_admission(request, id, version));
                }
                Ok(PutReply::Conflict(found)) => found,
                Err(KvError::Unavailable) => return Err(store_unavailable(request)),
                // The write may have taken effect. Reading the record shows whether it has.
                Err(KvError::Unknown) => {
                    *put_ambiguous = true;
                    let found = self.store.get(&store_key).await;
                    found.map_err(|_| store_unavailable(request))?
                }
            };
            // There is no record: the conflicting claim was released, or the unanswered write has
            // not taken effect.
            let Some(entry) = found else { continue };
            let Some(found) = ClaimRecord::decode(&entry.value) else {
                return Err(outcome_unknown("the record of this idempotency key cannot be read"));
            };
            if found.id == *id {
                return Ok(self.run_admission(request, id, entry.version));
            }
            if let Some(decided) = decide_from_record(&found, request.digest) {
                return decided;
            }
            if let Some(decided) = self.await_holder(request, &found, &entry).await {
                return decided;
            }
        }
        Err(store_unavailable(request))
    }

    fn run_admission(
        self: &Rc<Self>,
        request: &ClaimRequest,
        id: &ClaimId,
        version: u64,
    ) -> ClaimOutcome {
        ClaimOutcome::Run(Claim {
            claims: self.clone(),
            key: request.key.clone(),
            id: id.clone(),
            digest: request.digest,
            version,
        })
    }

    /// Waits until the record `found` of another claim with the same key is final or deleted, at
    /// most until the deadline. Returns `None` if the caller has to try again to write its own
    /// record, because `found` was deleted or was replaced by another record that is not final.
    async fn await_holder(
        &self,
        request: &ClaimRequest,
        found: &ClaimRecord,
        entry: &Entry,
    ) -> Option<Result<ClaimOutcome, Failure>> {
        let deadline = request.deadline.min(self.clock.now() + self.holder_wait);
        loop {
            let holder_status = if found.id.node == self.node {
                self.holder_status(&found.id)
            } else {
                self.holder_query.ask(&found.id).await
            };
            if holder_status == HolderStatus::Relinquished {
                // The deletion fails if the record has changed. The next attempt to claim the
                // request then finds the changed record.
                let _ = self.store.delete(&entry.key, entry.version).await;
                return None;
            }
            let now = self.clock.now();
            if now >= deadline || holder_status == HolderStatus::Gone {
                return Some(Err(outcome_unknown(
                    "an earlier request with this idempotency key has not finished",
                )));
            }
            let left = deadline.since(now).min(HOLDER_POLL_INTERVAL);
            let watch = self.store.watch(&entry.key, entry.version);
            match timeout(&*self.clock, left, watch).await {
                Ok(Ok(Some(changed))) => {
                    let changed = ClaimRecord::decode(&changed.value)?;
                    return decide_from_record(&changed, request.digest);
                }
                // A watch does not report that the record was deleted.
                Ok(Ok(None)) | Err(_) => match self.store.get(&entry.key).await {
                    Ok(None) => return None,
                    // The record has changed, but a slow service has not answered the watch yet.
                    Ok(Some(read)) if read.version != entry.version => {
                        let changed = ClaimRecord::decode(&read.value)?;
                        return decide_from_record(&changed, request.digest);
                    }
                    Ok(Some(_)) | Err(_) => self.clock.sleep(WATCH_RETRY_PAUSE).await,
                },
                Ok(Err(_)) => self.clock.sleep(WATCH_RETRY_PAUSE).await,
            }
        }
    }
}

/// Decides by the record that was found under the request's key. Returns `None` if the record is of
/// the same request and its claim is unfinished.
fn decide_from_record(
    record: &ClaimRecord,
    digest: Digest,
) -> Option<Result<ClaimOutcome, Failure>> {
    if record.digest != digest {
        return Some(Err(Failure::not_run(
            FailureKind::KeyMismatch,
            "this idempotency key was used for another request",
        )));
    }
    match &record.state {
        ClaimState::Claimed => None,
        ClaimState::Done(response) => Some(Ok(ClaimOutcome::Replay(response.clone()))),
        ClaimState::Unknown => Some(Err(outcome_unknown(
            "an earlier request with this idempotency key was not answered",
        ))),
    }
}

fn outcome_unknown(message: &str) -> Failure {
    Failure::new(FailureKind::OutcomeUnknown, Verdict::MayHaveRun, message)
}

/// The failure for a request whose record cannot be read or written. The request itself was not
/// sent. Unless the caller states that this is its first request with the key, an earlier one may
/// have run, which only the record could show.
fn store_unavailable(request: &ClaimRequest) -> Failure {
    let verdict = if request.first_send { Verdict::NotRun } else { Verdict::MayHaveRun };
    Failure::new(
        FailureKind::StoreUnavailable,
        verdict,
        "the request was refused because its idempotency key cannot be recorded now; repeat it with the same key",
    )
}
