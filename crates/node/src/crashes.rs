//! Crashes of upstreams by the fingerprint of the request that they ran.

use fleet::CrashId;
use types::{Digest, UpstreamName};

use crate::state::Node;

impl Node {
    /// Records that the engine crashed while it ran a request, and tells the other nodes.
    pub fn record_crash(&self, fingerprint: Digest, engine: &UpstreamName) {
        let number = self.next_crash.get() + 1;
        self.next_crash.set(number);
        let id = CrashId {
            at_millis: self.clock.unix_millis(),
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            number,
        };
        let fact = self.fleet.borrow_mut().record_crash(id, fingerprint, engine.clone());
        self.spread(vec![fact]);
    }

    /// Clears the known crashes of a request after it succeeded, and tells the other nodes.
    pub fn clear_crashes(&self, fingerprint: Digest) {
        let facts = self.fleet.borrow_mut().clear_crashes(fingerprint);
        self.spread(facts);
    }

    /// Crashes of a request, seen by any node, that are not cleared.
    pub fn crash_count(&self, fingerprint: Digest) -> usize {
        self.fleet.borrow().crash_count(fingerprint)
    }

    /// Whether a request has a crash that is not cleared.
    pub fn is_crash_suspect(&self, fingerprint: Digest) -> bool {
        self.fleet.borrow().is_suspect(fingerprint)
    }
}
