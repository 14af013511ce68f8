use std::{rc::Rc, time::Duration};

use clock::{Clock, Timestamp};

use crate::{
    KeyValue, KvError,
    api::{Expected, PutReply},
};

/// A lease on one key, which at most one holder has at a time.
pub struct Lease {
    store: Rc<dyn KeyValue>,
    clock: Rc<dyn Clock>,
    id: u64,
    token: u64,
    ttl: Duration,
    valid_until: Timestamp,
}

impl Lease {
    /// Tries to acquire the lease on `key`. `None` means that another holder has it.
    pub async fn acquire(
        store: Rc<dyn KeyValue>,
        clock: Rc<dyn Clock>,
        key: &str,
        holder: &str,
        ttl: Duration,
    ) -> Result<Option<Lease>, KvError> {
        if store.get(key).await?.is_some() {
            return Ok(None);
        }
        let start = clock.now();
        let id = store.grant(ttl.as_millis() as u64).await?;
        let put = store.put(key, Expected::Absent, holder.into(), Some(id)).await;
        match put {
            Ok(PutReply::Stored(token)) => {
                Ok(Some(Lease { store, clock, id, token, ttl, valid_until: start + ttl }))
            }
            Ok(PutReply::Conflict(_)) => {
                // The unused lease ends by itself if this call fails.
                let _ = store.revoke(id).await;
                Ok(None)
            }
            Err(error) => {
                // The entry may have been written; revoking the lease also deletes the entry.
                let _ = store.revoke(id).await;
                Err(error)
            }
        }
    }

    /// Fencing token: larger than that of every earlier holder.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether the lease is held for at least `margin` longer, by this process's own clock.
    pub fn is_valid(&self, margin: Duration) -> bool {
        self.clock.now() + margin < self.valid_until
    }

    /// Renews the lease. Returns whether it is still held.
    pub async fn renew(&mut self) -> Result<bool, KvError> {
        let start = self.clock.now();
        if start >= self.valid_until {
            return Ok(false);
        }
        self.renew_even_if_expired().await
    }

    /// Asks the service whether the lease still exists, also after its time by this process's own
    /// clock: a service that was away may have let leases pause. Renews it if it does.
    pub async fn renew_even_if_expired(&mut self) -> Result<bool, KvError> {
        let start = self.clock.now();
        let held = self.store.renew(self.id).await?;
        self.valid_until = if held { start + self.ttl } else { start };
        Ok(held)
    }

    /// Gives the lease back.
    pub async fn release(self) -> Result<(), KvError> {
        self.store.revoke(self.id).await
    }
}
