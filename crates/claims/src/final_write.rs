//! Ends a claim in the key-value service: writes its final record, or deletes the record of a
//! relinquished claim. A call that fails is repeated in the background.

use std::{rc::Rc, time::Duration};

use keyvalue::{
    KvError,
    api::{Expected, PutReply},
};

use crate::{ClaimId, ClaimKey, ClaimRecord, Claims};

/// Pause before the first retry. It doubles with each further retry.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two retries. It bounds the load of many pending writes on the service.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(10);
/// Retries before the record is left as it is. With the pauses they take about an hour.
const MAX_RETRIES: u32 = 360;

/// Retries that must find no record of this claim before a release ends: none at all, that of
/// another claim, or one that changed before it could be deleted. With the pauses they take about
/// 20 s, in which a write that was not answered may still take effect.
const REQUIRED_NOT_OWN_READS: u32 = 8;

/// The write of a claim's final record.
pub(crate) struct FinalWrite {
    pub(crate) key: ClaimKey,
    pub(crate) record: ClaimRecord,
    /// Version of the record when it was claimed.
    pub(crate) version: u64,
    /// Time for which the record is kept; `None` if it never expires.
    pub(crate) retention: Option<Duration>,
}

/// Writes the final record of a claim. Returns after the first attempt; retries run in the
/// background.
pub(crate) async fn write(claims: Rc<Claims>, write: FinalWrite) {
    if try_write(&claims, &write).await.is_ok() {
        return;
    }
    compio::runtime::spawn(async move {
        let mut pause = MIN_RETRY_PAUSE;
        for _ in 0..MAX_RETRIES {
            claims.clock.sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
            if try_write(&claims, &write).await.is_ok() {
                return;
            }
        }
        tracing::error!(key = %write.key.key, "final record of a claim could not be written");
    })
    .detach();
}

/// Deletes the record of a relinquished claim. Returns after the first attempt; retries run in the
/// background.
pub(crate) async fn release(claims: Rc<Claims>, key: ClaimKey, id: ClaimId) {
    if try_release(&claims, &key, &id).await == Ok(true) {
        return;
    }
    compio::runtime::spawn(async move {
        let mut pause = MIN_RETRY_PAUSE;
        // If there is no record of this claim, a write that was not answered may still create it a
        // little later, so several reads must find none.
        let mut not_own_reads = 0;
        for _ in 0..MAX_RETRIES {
            claims.clock.sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
            match try_release(&claims, &key, &id).await {
                Ok(true) => return,
                Ok(false) => not_own_reads += 1,
                Err(_) => {}
            }
            if not_own_reads == REQUIRED_NOT_OWN_READS {
                return;
            }
        }
    })
    .detach();
}

async fn try_write(claims: &Claims, write: &FinalWrite) -> Result<(), KvError> {
    let lease = match write.retention {
        Some(retention) => claims.retention_lease(retention).await,
        None => None,
    };
    let (store_key, expected) = (write.key.store_key(), Expected::Version(write.version));
    let put = claims.store.put(&store_key, expected, write.record.encode(), lease).await;
    if put.is_err()
        && let Some(retention) = write.retention
    {
        // The service also refuses writes with a lease that has expired. The next record gets a new
        // lease.
        claims.forget_lease(retention);
    }
    if let PutReply::Conflict(found) = put? {
        let found = found.and_then(|entry| ClaimRecord::decode(&entry.value));
        // The conflict may be with an earlier attempt of this write that took effect but was not
        // answered.
        if found.as_ref() != Some(&write.record) {
            tracing::error!(key = %write.key.key, ?found, "record of a claim was changed or deleted by another writer");
        }
    }
    Ok(())
}

/// Deletes the record of the claim. Returns `false` if there was no such record to delete.
async fn try_release(claims: &Claims, key: &ClaimKey, id: &ClaimId) -> Result<bool, KvError> {
    let store_key = key.store_key();
    let Some(entry) = claims.store.get(&store_key).await? else { return Ok(false) };
    let is_own = ClaimRecord::decode(&entry.value).is_some_and(|record| record.id == *id);
    if !is_own {
        return Ok(false);
    }
    claims.store.delete(&store_key, entry.version).await
}
