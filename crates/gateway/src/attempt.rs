//! What one send led to, and whether another one may follow.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use transport::CallError;
use types::{UpstreamName, Verdict};
use upstreams::Answer;

use crate::{
    Gateway,
    admission::{Target, Wanted},
    lifecycle::{Run, may_rerun},
};

/// Sends of one request that upstreams may reject before it is given up.
const MAX_SENDS: u32 = 4;
/// Sends of one stream. Each loss of an engine on its path takes one.
const MAX_STREAM_SENDS: u32 = 6;
/// Time for which an engine that does not hold its part of a path is avoided: its entry in the
/// registry is older than its state.
const STALE_PAUSE: Duration = Duration::from_millis(400);
/// Time for which an upstream that has no place is avoided at first. One that goes on refusing may
/// be leaving while the registry cannot say so; it seems to have most room of all.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Time for which a plain service's replica is avoided after an answer that was lost or spoiled.
const SPOILED_PAUSE: Duration = Duration::from_millis(500);
/// Time after a broken connection at which its upstream is looked at.
const CRASH_CHECK: Duration = Duration::from_millis(20);

/// The sends of a request so far.
#[derive(Default)]
pub(crate) struct Sends {
    pub(crate) count: u32,
    /// Sends that may have run.
    pub(crate) ran: u32,
    /// Upstreams that failed the request, in order.
    pub(crate) failed: Vec<UpstreamName>,
    /// Upstreams through which the request may have run, each one once.
    pub(crate) entered: Vec<UpstreamName>,
}

impl Sends {
    /// Whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.ran > 0 { Verdict::MayHaveRun } else { Verdict::NotRun }
    }

    /// The only upstreams through which a further send may enter, once `attempts` of them have been
    /// entered, that of the present send included.
    pub(crate) fn entries(
        &self,
        attempts: u32,
        present: Option<&UpstreamName>,
    ) -> Vec<UpstreamName> {
        let mut entered = self.entered.clone();
        entered.extend(present.filter(|name| !self.entered.contains(name)).cloned());
        if entered.len() < attempts as usize { Vec::new() } else { entered }
    }

    /// What the next send of a request that is not resumed needs.
    pub(crate) fn wanted(&self) -> Wanted<'_> {
        Wanted { avoid: &self.failed, ..Wanted::default() }
    }
}

/// Counts a crash during a request if its upstream cannot be reached any more. A broken connection
/// alone is no crash: links break too, and different requests may look the same.
async fn confirm_crash(
    gateway: Rc<Gateway>,
    name: UpstreamName,
    client: Rc<dyn upstreams::Upstream>,
    fingerprint: u64,
) {
    gateway.clock.sleep(CRASH_CHECK).await;
    if let Err(error) = client.reach().await {
        gateway.suspect(&name, &error.to_string());
        let now = gateway.clock.now();
        gateway.crashes.borrow_mut().count(fingerprint, now);
        tracing::info!(fingerprint, %error, "upstream crashed while it ran a request");
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
        self.log.failed(format!("{}: {cause}", target.upstream.name));
        if verdict != Verdict::NotRun {
            sends.ran += 1;
        }
        sends.failed.push(target.upstream.name.clone());
        let has_attempt = sends.ran < self.route.max_attempts.max(1) && sends.count < MAX_SENDS;
        has_attempt && self.may_send_again(verdict)
    }

    /// Notes a failed send of a stream that can be resumed. An engine behind the first one may have
    /// failed, and then the first one may be used again. Returns whether the stream may be sent
    /// again.
    pub(crate) fn note_break(
        &self,
        sends: &mut Sends,
        target: &Target,
        cause: &str,
        entry_failed: bool,
    ) -> bool {
        let name = &target.upstream.name;
        self.log.failed(format!("{name}: {cause}"));
        sends.ran += 1;
        if entry_failed {
            sends.failed.push(name.clone());
        }
        // Upstreams that have ended do not count against the route's limit. One that is only
        // suspected may still be at work.
        let catalog = self.gateway.catalog.borrow();
        sends.entered.retain(|name| catalog.upstream(name).is_some());
        drop(catalog);
        if !sends.entered.contains(name) {
            sends.entered.push(name.clone());
        }
        sends.count < MAX_STREAM_SENDS && self.may_send_again(Verdict::MayHaveRun)
    }

    /// Whether a request with a failed send may be sent again; takes a repeat from the budget.
    fn may_send_again(&self, verdict: Verdict) -> bool {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let crashes = gateway.crashes.borrow().is_refused(self.fingerprint, now);
        let allowed = !crashes && may_rerun(self.route.retry, verdict) && !self.left().is_zero();
        if !allowed {
            return false;
        }
        let granted = gateway.budget(&self.service).take(now, gateway.node_count());
        let label = if verdict == Verdict::NotRun { "not-run" } else { "rerun" };
        let label = if granted { label } else { "over-budget" };
        gateway.metrics.resends.with_label_values(&[label]).inc();
        if !granted {
            self.log.failed("the retry budget is used up".into());
        }
        granted
    }

    /// Notes that an upstream answered the request.
    pub(crate) fn note_success(&self, target: &Target) {
        self.gateway.health.borrow_mut().succeed(&target.upstream.name);
        self.gateway.crashes.borrow_mut().clear(self.fingerprint);
    }

    /// Notes that the engines of a path have taken the request.
    pub(crate) fn note_path(&self, target: &Target) {
        let mut health = self.gateway.health.borrow_mut();
        for stage in &target.stages {
            health.accept(&stage.engine);
        }
    }

    /// Draws conclusions on upstreams from a call that failed.
    pub(crate) fn blame_error(&self, target: &Target, error: &CallError) {
        let gateway = &self.gateway;
        let upstream = &target.upstream;
        match error {
            CallError::Refused => gateway.report_failure(&upstream.name, &error.to_string()),
            CallError::Connect(_) | CallError::ConnectTimeout => {
                gateway.suspect(&upstream.name, &error.to_string());
            }
            // One spoiled answer among many says little of an engine: streams through it go on.
            CallError::Broken(_) | CallError::Malformed(_) | CallError::Timeout
                if target.stages.is_empty() =>
            {
                let now = gateway.clock.now();
                gateway.health.borrow_mut().avoid(
                    &upstream.name,
                    upstream.incarnation,
                    now,
                    SPOILED_PAUSE,
                );
            }
            _ => {}
        }
        if matches!(error, CallError::Broken(_)) {
            let confirm = confirm_crash(
                gateway.clone(),
                upstream.name.clone(),
                target.client.clone(),
                self.fingerprint,
            );
            compio::runtime::spawn(confirm).detach();
        }
    }

    /// Draws conclusions on upstreams from an answer that says that the call was not run.
    pub(crate) fn blame_refusal(&self, target: &Target, answer: &Answer) {
        let gateway = &self.gateway;
        let name = match answer.at_fault.and_then(|addr| gateway.upstream_at(addr)) {
            Some(name) => name,
            None => target.upstream.name.clone(),
        };
        let catalog = gateway.catalog.borrow();
        let Some(upstream) = catalog.upstream(&name) else { return };
        let stale = answer.status == StatusCode::MISDIRECTED_REQUEST.as_u16();
        let pause = if stale { STALE_PAUSE } else { FULL_PAUSE };
        let now = gateway.clock.now();
        let longer = gateway.health.borrow_mut().refuse(&name, upstream.incarnation, now, pause);
        let pause_ms = longer.as_millis() as u64;
        let status = answer.status;
        if longer > pause {
            tracing::info!(request = %self.id, upstream = %name, status, pause_ms,
                "upstream goes on refusing calls");
        } else {
            tracing::debug!(request = %self.id, upstream = %name, status, pause_ms,
                "upstream refused a call");
        }
    }
}
