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

/// Pause before a failed watch is tried again.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which the holder of a claim is asked again and its record is read.
const HOLDER_POLL: Duration = Duration::from_millis(250);
/// Rounds of claiming and conflicting before the request is refused.
const MAX_ROUNDS: u32 = 8;

/// A non-idempotent request that asks to run.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Key of the request.
    pub key: ClaimKey,
    /// Digest of the request's content.
    pub digest: Digest,
    /// Time until which an answer is useful.
    pub deadline: Timestamp,
    /// Whether the caller states that it has never sent this key before.
    pub first_send: bool,
}

/// What is to happen with a non-idempotent request.
pub enum Admission {
    /// The request may be sent once.
    Run(Claim),
    /// The request ran before; this is its answer.
    Replay(StoredResponse),
}

impl Claims {
    /// Claims a request, or finds out what became of it.
    pub async fn admit(self: &Rc<Self>, request: &ClaimRequest) -> Result<Admission, Failure> {
        if let Some(decided) = self.recall(request) {
            return decided;
        }
        let id = self.new_id();
        self.working.borrow_mut().insert(id.clone());
        let mut ambiguous = false;
        let admitted = self.claim(request, &id, &mut ambiguous).await;
        if matches!(admitted, Ok(Admission::Run(_))) {
            return admitted;
        }
        self.relinquish(&id);
        if ambiguous {
            // A write whose answer was lost may still take effect. The claim is never sent, and
            // its record is deleted when the service can be reached.
            compio::runtime::spawn(final_write::release(self.clone(), request.key.clone(), id))
                .detach();
        }
        admitted
    }

    /// Answers from memory if this node finished the request.
    fn recall(&self, request: &ClaimRequest) -> Option<Result<Admission, Failure>> {
        let record_cache = self.record_cache.borrow();
        let record = record_cache.records.get(&request.key)?;
        decide(record, request.digest)
    }

    async fn claim(
        self: &Rc<Self>,
        request: &ClaimRequest,
        id: &ClaimId,
        ambiguous: &mut bool,
    ) -> Result<Admission, Failure> {
        let record = ClaimRecord {
            id: id.clone(),
            digest: request.digest,
            at_millis: self.clock.unix_millis(),
            state: ClaimState::Claimed,
        };
        let store_key = request.key.store_key();
        for _ in 0..MAX_ROUNDS {
            let put = self.store.put(&store_key, Expected::Absent, record.encode(), None).await;
            let found = match put {
                Ok(PutReply::Stored(version)) => return Ok(self.granted(request, id, version)),
                Ok(PutReply::Conflict(found)) => found,
                Err(KvError::Unavailable) => return Err(unreachable_store(request)),
                // The write may have taken effect; only the record can tell.
                Err(KvError::Unknown) => {
                    *ambiguous = true;
                    let found = self.store.get(&store_key).await;
                    found.map_err(|_| unreachable_store(request))?
                }
            };
            // Absent again: a released claim, or our write that took no effect.
            let Some(entry) = found else { continue };
            let Some(found) = ClaimRecord::decode(&entry.value) else {
                return Err(unknown("the record of this idempotency key cannot be read"));
            };
            if found.id == *id {
                return Ok(self.granted(request, id, entry.version));
            }
            if let Some(decided) = decide(&found, request.digest) {
                return decided;
            }
            if let Some(decided) = self.await_holder(request, &found, &entry).await {
                return decided;
            }
        }
        Err(unreachable_store(request))
    }

    fn granted(self: &Rc<Self>, request: &ClaimRequest, id: &ClaimId, version: u64) -> Admission {
        Admission::Run(Claim {
            claims: self.clone(),
            key: request.key.clone(),
            id: id.clone(),
            digest: request.digest,
            version,
        })
    }

    /// Waits for the holder of a claim. `None` means that the record is gone and the request can
    /// be claimed again.
    async fn await_holder(
        &self,
        request: &ClaimRequest,
        found: &ClaimRecord,
        entry: &Entry,
    ) -> Option<Result<Admission, Failure>> {
        let limit = request.deadline.min(self.clock.now() + self.wait);
        loop {
            let holder_status = if found.id.node == self.node {
                self.holder_status(&found.id)
            } else {
                self.holders.ask(&found.id).await
            };
            if holder_status == HolderStatus::Relinquished {
                // If the record has changed, the next round sees how.
                let _ = self.store.delete(&entry.key, entry.version).await;
                return None;
            }
            let now = self.clock.now();
            if now >= limit || holder_status == HolderStatus::Gone {
                return Some(Err(unknown(
                    "an earlier send of this idempotency key has not finished",
                )));
            }
            let left = limit.since(now).min(HOLDER_POLL);
            let watch = self.store.watch(&entry.key, entry.version);
            match timeout(&*self.clock, left, watch).await {
                Ok(Ok(Some(changed))) => {
                    let changed = ClaimRecord::decode(&changed.value)?;
                    return decide(&changed, request.digest);
                }
                // A watch does not report that the record was deleted.
                Ok(Ok(None)) | Err(_) => match self.store.get(&entry.key).await {
                    Ok(None) => return None,
                    // A slow service answers no watch within the interval.
                    Ok(Some(read)) if read.version != entry.version => {
                        let changed = ClaimRecord::decode(&read.value)?;
                        return decide(&changed, request.digest);
                    }
                    Ok(Some(_)) | Err(_) => self.clock.sleep(WATCH_PAUSE).await,
                },
                Ok(Err(_)) => self.clock.sleep(WATCH_PAUSE).await,
            }
        }
    }
}

/// Decides from a record that is final or that belongs to another request.
fn decide(record: &ClaimRecord, digest: Digest) -> Option<Result<Admission, Failure>> {
    if record.digest != digest {
        return Some(Err(Failure::not_run(
            FailureKind::KeyMismatch,
            "this idempotency key was used with another request",
        )));
    }
    match &record.state {
        ClaimState::Claimed => None,
        ClaimState::Done(answer) => Some(Ok(Admission::Replay(answer.clone()))),
        ClaimState::Unknown => {
            Some(Err(unknown("an earlier send of this idempotency key was not answered")))
        }
    }
}

fn unknown(message: &str) -> Failure {
    Failure::new(FailureKind::OutcomeUnknown, Verdict::MayHaveRun, message)
}

/// This send did not run. An earlier one with the same key may have run, which only the record
/// could tell, unless the caller states that there was none.
fn unreachable_store(request: &ClaimRequest) -> Failure {
    let verdict = if request.first_send { Verdict::NotRun } else { Verdict::MayHaveRun };
    Failure::new(
        FailureKind::StoreUnavailable,
        verdict,
        "the request was refused because its idempotency key cannot be recorded now; send it again with the same key",
    )
}
