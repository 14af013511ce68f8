//! Crashes of upstreams by the fingerprint of the request that they ran.

use std::{rc::Rc, sync::Arc};

use fleet::CrashId;
use types::{Digest, Stage, UpstreamName};

use crate::state::Node;

impl Node {
    /// Records that an incarnation of the engine crashed while it ran a request, and tells the other
    /// nodes.
    pub fn record_crash(&self, fingerprint: Digest, engine: &UpstreamName, ended: u64) {
        let number = self.next_crash.get() + 1;
        self.next_crash.set(number);
        let id = CrashId {
            at_millis: self.clock.unix_millis(),
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            number,
        };
        let fact = self.fleet.borrow_mut().record_crash(id, fingerprint, (engine.clone(), ended));
        self.broadcast(vec![fact]);
    }

    /// Clears the known crashes of a request after it succeeded, and tells the other nodes.
    pub fn clear_crashes(&self, fingerprint: Digest) {
        let facts = self.fleet.borrow_mut().clear_crashes(fingerprint);
        self.broadcast(facts);
    }

    /// Engines that crashed while they ran a request, seen by any node and not cleared.
    pub fn crash_count(&self, fingerprint: Digest) -> usize {
        self.fleet.borrow().crash_count(fingerprint)
    }

    /// Whether a request has a crash that is not cleared.
    pub fn is_crash_suspect(&self, fingerprint: Digest) -> bool {
        self.fleet.borrow().is_suspect_request(fingerprint)
    }

    /// Counts an attempt of a suspect as running on its route until the guard is dropped. `None`
    /// if the request is not a suspect.
    pub(crate) fn run_suspect(
        self: &Rc<Self>,
        fingerprint: Digest,
        route: &Arc<[Stage]>,
    ) -> Option<SuspectGuard> {
        if !self.is_crash_suspect(fingerprint) {
            return None;
        }
        self.suspect_runs.borrow_mut().push((fingerprint, route.clone()));
        Some(SuspectGuard { node: self.clone(), fingerprint, route: route.clone() })
    }

    /// Engines on which this node runs suspects other than this one.
    pub(crate) fn engines_of_suspects(&self, fingerprint: Digest) -> Vec<UpstreamName> {
        let runs = self.suspect_runs.borrow();
        let others = runs.iter().filter(|(other, _)| *other != fingerprint);
        others.flat_map(|(_, route)| route.iter().map(|stage| stage.engine.clone())).collect()
    }
}

/// Counts one attempt of a suspect.
pub(crate) struct SuspectGuard {
    node: Rc<Node>,
    fingerprint: Digest,
    route: Arc<[Stage]>,
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        let mut runs = self.node.suspect_runs.borrow_mut();
        let own = |run: &(Digest, Arc<[Stage]>)| {
            run.0 == self.fingerprint && Arc::ptr_eq(&run.1, &self.route)
        };
        if let Some(index) = runs.iter().position(own) {
            runs.swap_remove(index);
        }
    }
}
