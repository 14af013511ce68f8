use std::{rc::Rc, time::Duration};

use clock::{Clock, Timestamp};

use crate::{
    KeyValue, KvError,
    api::{Expected, PutReply},
};

/// A lock on a key that expires with a lease of the service: at most one process holds it at a
/// time.
///
/// The lock is an entry under the key that the service deletes when the lease ends.
pub struct Lease {
    store: Rc<dyn KeyValue>,
    clock: Rc<dyn Clock>,
    id: u64,
    /// Version of the entry; see [`Lease::token`].
    token: u64,
    ttl: Duration,
    /// Expiry by this process's clock. It is never later than the expiry by the service's clock.
    valid_until: Timestamp,
}

impl Lease {
    /// Tries to acquire the lease on `key` and stores `holder` as the value of the key's entry.
    /// Returns `None` if another process holds the lease.
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
                // If this call fails, the unused lease expires by itself.
                let _ = store.revoke(id).await;
                Ok(None)
            }
            Err(error) => {
                // The entry may have been written. Revoking the lease deletes it.
                let _ = store.revoke(id).await;
                Err(error)
            }
        }
    }

    /// Fencing token. It is larger than the token of every earlier holder.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether the lease stays valid for more than `margin` from now, by this process's clock.
    pub fn is_valid(&self, margin: Duration) -> bool {
        self.clock.now() + margin < self.valid_until
    }

    /// Renews the lease unless it has expired by this process's clock. Returns whether it is still
    /// held.
    pub async fn renew(&mut self) -> Result<bool, KvError> {
        let start = self.clock.now();
        if start >= self.valid_until {
            return Ok(false);
        }
        self.renew_even_if_expired().await
    }

    /// Renews the lease if it still exists at the service, even if it has expired by this process's
    /// clock: the service may not count the time during which it was down. Returns whether the
    /// lease is still held.
    pub async fn renew_even_if_expired(&mut self) -> Result<bool, KvError> {
        let start = self.clock.now();
        let held = self.store.renew(self.id).await?;
        self.valid_until = if held { start + self.ttl } else { start };
        Ok(held)
    }

    /// Releases the lease, so that another process can acquire it at once.
    pub async fn release(self) -> Result<(), KvError> {
        self.store.revoke(self.id).await
    }
}
