//! Why an upstream gets no requests now.

use std::{collections::HashMap, time::Duration};

use catalog::{Phase, Upstream};
use types::ServiceName;

use crate::{Gateway, selection::SelectionQuery};

/// Least time between two lines that count the upstreams without requests.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why an upstream gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
pub(crate) enum UnusableReason {
    #[strum(serialize = "it is leaving")]
    Leaving,
    #[strum(serialize = "it has asked for a pause")]
    Paused,
    #[strum(serialize = "it has failed")]
    Failed,
    #[strum(serialize = "it has refused requests")]
    Refusing,
    #[strum(serialize = "it gave a bad answer, or another node reports that it fails")]
    Avoided,
}

impl Gateway {
    /// The first reason for which an upstream gets no request now; `None` if it may get one.
    pub(crate) fn unusable_reason(
        &self,
        upstream: &Upstream,
        query: SelectionQuery<'_>,
    ) -> Option<UnusableReason> {
        let may_be_used =
            self.is_usable(upstream) || (query.with_leaving && self.is_in_last_use(upstream));
        if may_be_used {
            return None;
        }
        if upstream.phase == Phase::Leaving {
            return Some(UnusableReason::Leaving);
        }
        if self.is_paused(upstream) {
            return Some(UnusableReason::Paused);
        }
        let (health, now) = (self.health.borrow(), self.clock.now());
        let (name, incarnation) = (&upstream.name, upstream.incarnation);
        if health.failing_for(name, incarnation, now).is_some() {
            return Some(UnusableReason::Failed);
        }
        if health.refusing_until(name, incarnation, now).is_some() {
            return Some(UnusableReason::Refusing);
        }
        Some(UnusableReason::Avoided)
    }

    /// Logs how many upstreams of `service` get no requests for each reason, at most once per
    /// interval.
    pub(crate) fn log_unusable_upstreams(&self, service: &ServiceName) {
        let now = self.clock.now();
        if self.unusable_logged.get().is_some_and(|last| now.since(last) < LOG_INTERVAL) {
            return;
        }
        self.unusable_logged.set(Some(now));
        let catalog = self.catalog.borrow();
        let mut counts: HashMap<UnusableReason, usize> = HashMap::new();
        let mut total = 0;
        for upstream in catalog.upstreams().filter(|upstream| upstream.service == *service) {
            total += 1;
            if let Some(reason) = self.unusable_reason(upstream, SelectionQuery::default()) {
                *counts.entry(reason).or_default() += 1;
            }
        }
        let count = |reason| counts.get(&reason).copied().unwrap_or_default();
        tracing::info!(%service, total, leaving = count(UnusableReason::Leaving),
            paused = count(UnusableReason::Paused), failed = count(UnusableReason::Failed),
            refusing = count(UnusableReason::Refusing), avoided = count(UnusableReason::Avoided),
            "too few upstreams of a service can be used");
    }
}
