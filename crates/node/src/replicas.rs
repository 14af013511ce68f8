//! Chooses among the replicas of plain services.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use clock::Timestamp;
use services::Service;
use types::{ServiceName, UpstreamName};

/// Time for which a replica that could not be reached gets no new calls if there are others.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// The replicas of the plain services.
#[derive(Default)]
pub(crate) struct Replicas {
    pub(crate) by_service: BTreeMap<ServiceName, BTreeMap<UpstreamName, Replica>>,
    /// Number of choices so far, for the rotation among replicas.
    rotation: usize,
}

/// One replica of a plain service.
pub(crate) struct Replica {
    pub(crate) client: Rc<dyn Service>,
    pub(crate) addr: std::net::SocketAddr,
    pub(crate) leaving: bool,
    pub(crate) suspect_until: Option<Timestamp>,
}

impl Replicas {
    /// Chooses a replica that is neither leaving nor in `tried`, by rotation. A suspect one is
    /// chosen only if there is no other.
    pub(crate) fn choose(
        &mut self,
        service: &ServiceName,
        tried: &[UpstreamName],
        now: Timestamp,
    ) -> Option<(UpstreamName, Rc<dyn Service>)> {
        let replicas = self.by_service.get(service)?;
        let eligible: Vec<_> = replicas
            .iter()
            .filter(|(name, replica)| !replica.leaving && !tried.contains(name))
            .collect();
        let healthy: Vec<_> =
            eligible.iter().filter(|(_, r)| r.suspect_until.is_none_or(|u| now >= u)).collect();
        self.rotation = self.rotation.wrapping_add(1);
        let (name, replica) = if healthy.is_empty() {
            eligible.get(self.rotation % eligible.len().max(1))?
        } else {
            healthy[self.rotation % healthy.len()]
        };
        Some(((*name).clone(), replica.client.clone()))
    }

    /// Marks a replica that could not be reached as suspect for [`SUSPECT_TIME`].
    pub(crate) fn mark_suspect(
        &mut self,
        service: &ServiceName,
        name: &UpstreamName,
        now: Timestamp,
    ) {
        let replica = self.by_service.get_mut(service).and_then(|all| all.get_mut(name));
        if let Some(replica) = replica {
            replica.suspect_until = Some(now + SUSPECT_TIME);
        }
    }
}
