//! Records crashes of engines under the fingerprint of the request that they ran. A request with a
//! crash that is not cleared is a suspect request.

use std::{rc::Rc, sync::Arc, time::Duration};

use fleet::CrashId;
use types::{Digest, Stage, UpstreamName};

use crate::state::Node;

/// Time within which the reports of a crash from all nodes arrive. A failed attempt is reported
/// after its engines were probed.
const REPORT_TIME: Duration = Duration::from_millis(250);

impl Node {
    /// Records that an incarnation of an engine crashed when it had run a request for `run_time`,
    /// and tells the other nodes.
    pub fn record_crash(
        &self,
        fingerprint: Digest,
        engine: &UpstreamName,
        crashed_incarnation: u64,
        run_time: Duration,
    ) {
        let number = self.crash_number.get() + 1;
        self.crash_number.set(number);
        let id = CrashId {
            at_millis: self.clock.unix_millis(),
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            number,
        };
        let mut fleet = self.fleet.borrow_mut();
        let process = (engine.clone(), crashed_incarnation);
        let crash = fleet.record_crash(id.clone(), fingerprint, process);
        let run_time = fleet.record_run_time(id, run_time);
        drop(fleet);
        self.broadcast(vec![crash, run_time]);
    }

    /// Clears the recorded crashes of a request after it succeeded, and tells the other nodes.
    pub fn clear_crashes(&self, fingerprint: Digest) {
        let facts = self.fleet.borrow_mut().clear_crashes(fingerprint);
        self.broadcast(facts);
    }

    /// Number of engine crashes that any node recorded for a request and that are not cleared.
    pub fn crash_count(&self, fingerprint: Digest) -> usize {
        self.fleet.borrow().crash_count(fingerprint)
    }

    /// Whether a request is to be refused because of the crashes that any node recorded for it,
    /// with the policy's limit of crashes.
    pub(crate) fn is_poison(&self, fingerprint: Digest, crash_limit: u64) -> bool {
        let limit = usize::try_from(crash_limit).unwrap_or(usize::MAX);
        self.fleet.borrow().is_poison(fingerprint, limit)
    }

    /// Time until the other nodes' reports of the crashes that this request shared with others have
    /// arrived.
    pub(crate) fn time_until_reported(&self, fingerprint: Digest) -> Duration {
        let fleet = self.fleet.borrow();
        let Some(newest) = fleet.last_crash_millis(fingerprint) else { return Duration::ZERO };
        if !fleet.shares_crash(fingerprint) {
            return Duration::ZERO;
        }
        let age = Duration::from_millis(self.clock.unix_millis().saturating_sub(newest));
        REPORT_TIME.saturating_sub(age)
    }

    /// Whether a request is a suspect request, which has a crash that is not cleared.
    pub fn is_crash_suspect(&self, fingerprint: Digest) -> bool {
        self.fleet.borrow().is_suspect_request(fingerprint)
    }

    /// Counts an attempt of a suspect request as running on its route until the guard is dropped.
    /// Returns `None` if the request is not a suspect request.
    pub(crate) fn start_suspect_attempt(
        self: &Rc<Self>,
        fingerprint: Digest,
        route: &Arc<[Stage]>,
    ) -> Option<SuspectGuard> {
        if !self.is_crash_suspect(fingerprint) {
            return None;
        }
        self.suspect_attempts.borrow_mut().push((fingerprint, route.clone()));
        Some(SuspectGuard { node: self.clone(), fingerprint, route: route.clone() })
    }

    /// Engines on which this node runs suspect requests with another fingerprint.
    pub(crate) fn engines_of_suspects(&self, fingerprint: Digest) -> Vec<UpstreamName> {
        let runs = self.suspect_attempts.borrow();
        let others = runs.iter().filter(|(other, _)| *other != fingerprint);
        others.flat_map(|(_, route)| route.iter().map(|stage| stage.engine.clone())).collect()
    }
}

/// Counts one attempt of a suspect request as running until it is dropped.
pub(crate) struct SuspectGuard {
    node: Rc<Node>,
    fingerprint: Digest,
    route: Arc<[Stage]>,
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        let mut runs = self.node.suspect_attempts.borrow_mut();
        let own = |run: &(Digest, Arc<[Stage]>)| {
            run.0 == self.fingerprint && Arc::ptr_eq(&run.1, &self.route)
        };
        if let Some(index) = runs.iter().position(own) {
            runs.swap_remove(index);
        }
    }
}
