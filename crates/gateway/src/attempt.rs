//! What one send led to, and whether another one may follow.

use std::time::Duration;

use http::StatusCode;
use transport::CallError;
use types::{UpstreamName, Verdict};
use upstreams::Answer;

use crate::{
    admission::Target,
    lifecycle::{Run, may_rerun},
};

/// Sends of one request that upstreams may reject before it is given up.
const MAX_SENDS: u32 = 4;
/// Time for which an engine that does not hold its part of a path is avoided: its entry in the
/// registry is older than its state.
const STALE_PAUSE: Duration = Duration::from_millis(400);
/// Time for which an upstream that has no place is avoided.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// The sends of a request so far.
#[derive(Default)]
pub(crate) struct Sends {
    pub(crate) count: u32,
    /// Upstreams on which the request may have run.
    pub(crate) ran_on: u32,
    pub(crate) failed: Vec<UpstreamName>,
}

impl Sends {
    /// Whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.ran_on > 0 { Verdict::MayHaveRun } else { Verdict::NotRun }
    }
}

impl Run {
    /// Notes a failed send. Returns whether the request may be sent again.
    pub(crate) fn note_failure(
        &self,
        sends: &mut Sends,
        target: &Target,
        cause: &str,
        verdict: Verdict,
    ) -> bool {
        let gateway = &self.gateway;
        self.log.failed(format!("{}: {cause}", target.upstream.name));
        if verdict != Verdict::NotRun {
            sends.ran_on += 1;
        }
        sends.failed.push(target.upstream.name.clone());
        let allowed = may_rerun(self.route.repeat, verdict)
            && sends.count < MAX_SENDS
            && sends.ran_on < self.route.attempts.max(1)
            && !self.left().is_zero();
        if !allowed {
            return false;
        }
        let now = gateway.clock.now();
        let granted = gateway.budget.borrow_mut().take(now, gateway.node_count());
        let label = if verdict == Verdict::NotRun { "not-run" } else { "rerun" };
        let label = if granted { label } else { "over-budget" };
        gateway.metrics.resends.with_label_values(&[label]).inc();
        if !granted {
            self.log.failed("the retry budget is used up".into());
        }
        granted
    }

    /// Draws conclusions on upstreams from a call that failed.
    pub(crate) fn blame_error(&self, target: &Target, error: &CallError) {
        if !matches!(error, CallError::Status(..) | CallError::Malformed(_)) {
            self.gateway.suspect(&target.upstream.name, &error.to_string());
        }
        // A connection that breaks is the sign of a crash. Two upstreams that crash while they run
        // the same request are no coincidence.
        if matches!(error, CallError::Broken(_)) {
            let now = self.gateway.clock.now();
            self.gateway.crashes.borrow_mut().count(self.fingerprint, now);
        }
    }

    /// Draws conclusions on upstreams from an answer that says that the call was not run.
    pub(crate) fn blame_refusal(&self, target: &Target, answer: &Answer) {
        let gateway = &self.gateway;
        let name = match answer.at_fault.and_then(|addr| gateway.upstream_at(addr)) {
            Some(name) => name,
            None => target.upstream.name.clone(),
        };
        let beliefs = gateway.beliefs.borrow();
        let Some(upstream) = beliefs.upstream(&name) else { return };
        let stale = answer.status == StatusCode::MISDIRECTED_REQUEST.as_u16();
        let pause = if stale { STALE_PAUSE } else { FULL_PAUSE };
        let now = gateway.clock.now();
        gateway.health.borrow_mut().avoid(&name, upstream.boot, now, pause);
        tracing::debug!(request = %self.id, upstream = %name, status = answer.status,
            "upstream refused a call");
    }
}
