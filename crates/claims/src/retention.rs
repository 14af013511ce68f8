use std::{collections::BTreeMap, time::Duration};

use clock::Timestamp;

use crate::Claims;

/// Time for which a lease is used for new records. Because records share leases, a node needs only
/// one grant per hour and retention time, and no calls to delete expired records.
const LEASE_REUSE_PERIOD: Duration = Duration::from_secs(3600);

/// The lease that new final records get, for each retention time, with the time at which it was
/// granted. A record is deleted when its lease ends.
pub(crate) type RetentionLeases = BTreeMap<Duration, (u64, Timestamp)>;

impl Claims {
    /// A lease that lasts for at least `retention` from now. Returns `None` if the key-value
    /// service does not grant one; a record that is written without a lease never expires.
    pub(crate) async fn retention_lease(&self, retention: Duration) -> Option<u64> {
        let now = self.clock.now();
        let cached = self.retention_leases.borrow().get(&retention).copied();
        if let Some((lease, granted_at)) = cached
            && now.since(granted_at) < LEASE_REUSE_PERIOD
        {
            return Some(lease);
        }
        let ttl = retention + LEASE_REUSE_PERIOD;
        let lease = self.store.grant(ttl.as_millis() as u64).await.ok()?;
        self.retention_leases.borrow_mut().insert(retention, (lease, now));
        Some(lease)
    }

    /// Stops using the current lease for `retention`, so that the next record gets a new one.
    pub(crate) fn forget_lease(&self, retention: Duration) {
        self.retention_leases.borrow_mut().remove(&retention);
    }
}
