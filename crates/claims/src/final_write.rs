//! Writes the end of a claim. A write that fails is tried again in the background until the
//! key-value service takes it.

use std::{rc::Rc, time::Duration};

use keyvalue::{
    KvError,
    api::{Expected, PutReply},
};

use crate::{ClaimId, ClaimKey, ClaimRecord, Claims};

/// First pause before a failed write is tried again.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between tries. It bounds the writes that many waiting claims cost.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// Tries before a claim is left as it is; with the pauses this is about an hour.
const MAX_TRIES: u32 = 360;

/// Looks that find no record before a release ends. With the pauses they cover about 20 s, in
/// which a write whose answer was lost may still take effect.
const ABSENT_CHECKS: u32 = 8;

/// The last write of a claim's record.
pub(crate) struct FinalWrite {
    pub(crate) key: ClaimKey,
    pub(crate) record: ClaimRecord,
    /// Version of the record when it was claimed.
    pub(crate) version: u64,
    /// Time for which the record is kept; without an end if absent.
    pub(crate) retention: Option<Duration>,
}

/// Writes the final record of a claim. Returns after the first try; further ones go on in the
/// background.
pub(crate) async fn write(claims: Rc<Claims>, write: FinalWrite) {
    if write_once(&claims, &write).await.is_ok() {
        return;
    }
    compio::runtime::spawn(async move {
        let mut pause = FIRST_PAUSE;
        for _ in 0..MAX_TRIES {
            claims.clock.sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            if write_once(&claims, &write).await.is_ok() {
                return;
            }
        }
        tracing::error!(key = %write.key.key, "final record of a claim could not be written");
    })
    .detach();
}

/// Deletes the record of a claim that was given up. Returns after the first try; further ones go
/// on in the background.
pub(crate) async fn release(claims: Rc<Claims>, key: ClaimKey, id: ClaimId) {
    if release_once(&claims, &key, &id).await == Ok(true) {
        return;
    }
    compio::runtime::spawn(async move {
        let mut pause = FIRST_PAUSE;
        // A write whose answer was lost may still take effect a little later, so an absent
        // record is looked for again.
        let mut absent = 0;
        for _ in 0..MAX_TRIES {
            claims.clock.sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            match release_once(&claims, &key, &id).await {
                Ok(true) => return,
                Ok(false) => absent += 1,
                Err(_) => {}
            }
            if absent == ABSENT_CHECKS {
                return;
            }
        }
    })
    .detach();
}

async fn write_once(claims: &Claims, write: &FinalWrite) -> Result<(), KvError> {
    let lease = match write.retention {
        Some(retention) => claims.retention_lease(retention).await,
        None => None,
    };
    let (store_key, expected) = (write.key.store_key(), Expected::Version(write.version));
    let put = claims.store.put(&store_key, expected, write.record.encode(), lease).await;
    if put.is_err()
        && let Some(retention) = write.retention
    {
        // The service also refuses a lease that it no longer knows.
        claims.forget_lease(retention);
    }
    if let PutReply::Conflict(found) = put? {
        let found = found.and_then(|entry| ClaimRecord::decode(&entry.value));
        // An earlier try may have taken effect although its answer was lost.
        if found.as_ref() != Some(&write.record) {
            tracing::error!(key = %write.key.key, ?found, "claim was changed by somebody else");
        }
    }
    Ok(())
}

/// Returns whether the record of the claim was there and is deleted.
async fn release_once(claims: &Claims, key: &ClaimKey, id: &ClaimId) -> Result<bool, KvError> {
    let store_key = key.store_key();
    let Some(entry) = claims.store.get(&store_key).await? else { return Ok(false) };
    let ours = ClaimRecord::decode(&entry.value).is_some_and(|record| record.id == *id);
    if !ours {
        return Ok(false);
    }
    claims.store.delete(&store_key, entry.version).await
}
