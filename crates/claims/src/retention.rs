use std::{collections::BTreeMap, time::Duration};

use clock::Timestamp;

use crate::Claims;

/// Time for which one lease is given to finished records. Sharing it makes the end of the records
/// cost one grant an hour and node, and no deletions.
const SHARE_TIME: Duration = Duration::from_secs(3600);

/// The leases with which finished records end, by the time for which they are kept.
pub(crate) type RetentionLeases = BTreeMap<Duration, (u64, Timestamp)>;

impl Claims {
    /// A lease that keeps a record for at least `retention` from now. Without one, for example
    /// while the service is slow, the record is kept without an end.
    pub(crate) async fn retention_lease(&self, retention: Duration) -> Option<u64> {
        let now = self.clock.now();
        let known = self.leases.borrow().get(&retention).copied();
        if let Some((lease, granted)) = known
            && now.since(granted) < SHARE_TIME
        {
            return Some(lease);
        }
        let ttl = retention + SHARE_TIME;
        let lease = self.store.grant(ttl.as_millis() as u64).await.ok()?;
        self.leases.borrow_mut().insert(retention, (lease, now));
        Some(lease)
    }

    /// Forgets a lease, so that the next record gets a new one.
    pub(crate) fn forget_lease(&self, retention: Duration) {
        self.leases.borrow_mut().remove(&retention);
    }
}
