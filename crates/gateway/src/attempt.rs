//! What one attempt led to, and whether another one may follow.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use transport::CallError;
use types::{UpstreamName, Verdict};
use upstreams::UpstreamResponse;

use crate::{
    Gateway,
    admission::{Target, TargetQuery},
    lifecycle::{RequestRun, is_retry_safe},
};

/// Attempts of one request that upstreams may reject before it is given up.
const MAX_ATTEMPTS: u32 = 4;
/// Attempts of one stream. Each loss of an engine on its path takes one.
const MAX_STREAM_ATTEMPTS: u32 = 6;
/// Time for which an engine that does not hold its part of a path is avoided: its entry in the
/// registry is older than its state.
const AVOID_AFTER_MISDIRECTED: Duration = Duration::from_millis(400);
/// Time for which an upstream that has no place is avoided at first. One that goes on refusing may
/// be leaving while the registry cannot say so; it seems to have most room of all.
const AVOID_AFTER_OVERLOAD: Duration = Duration::from_millis(150);

/// Time for which a plain service's replica is avoided after an answer that was lost or spoiled.
const AVOID_AFTER_BAD_RESPONSE: Duration = Duration::from_millis(500);
/// Time after a broken connection at which its upstream is looked at.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);

/// The attempts of a request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    pub(crate) count: u32,
    /// Attempts that may have run.
    pub(crate) possibly_run: u32,
    /// Upstreams that failed the request, in order.
    pub(crate) failed: Vec<UpstreamName>,
    /// Upstreams through which the request may have run, each one once.
    pub(crate) entered: Vec<UpstreamName>,
}

impl Attempts {
    /// Whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.possibly_run > 0 { Verdict::MayHaveRun } else { Verdict::NotRun }
    }

    /// The only upstreams through which a further attempt may enter, once `max_attempts` of them have been
    /// entered, that of the present attempt included.
    pub(crate) fn allowed_entries(
        &self,
        max_attempts: u32,
        current: Option<&UpstreamName>,
    ) -> Vec<UpstreamName> {
        let mut entered = self.entered.clone();
        entered.extend(current.filter(|name| !self.entered.contains(name)).cloned());
        if entered.len() < max_attempts as usize { Vec::new() } else { entered }
    }

    /// What the next attempt of a request that is not resumed needs.
    pub(crate) fn target_query(&self) -> TargetQuery<'_> {
        TargetQuery { avoid: &self.failed, ..TargetQuery::default() }
    }
}

/// Counts a crash during a request if its upstream cannot be reached any more. A broken connection
/// alone is no crash: links break too, and different requests may look the same.
async fn confirm_crash(
    gateway: Rc<Gateway>,
    name: UpstreamName,
    client: Rc<dyn upstreams::UpstreamClient>,
    fingerprint: u64,
) {
    gateway.clock.sleep(CRASH_CHECK_DELAY).await;
    if let Err(error) = client.probe().await {
        gateway.suspect(&name, &error.to_string());
        let now = gateway.clock.now();
        gateway.crashes.borrow_mut().record_crash(fingerprint, now);
        tracing::info!(fingerprint, %error, "upstream crashed while it ran a request");
    }
}

impl RequestRun {
    /// Notes a failed attempt. Returns whether the request may be sent again.
    pub(crate) fn record_failure(
        &self,
        attempts: &mut Attempts,
        target: &Target,
        cause: &str,
        verdict: Verdict,
    ) -> bool {
        self.log.add_cause(format!("{}: {cause}", target.upstream.name));
        if verdict != Verdict::NotRun {
            attempts.possibly_run += 1;
        }
        attempts.failed.push(target.upstream.name.clone());
        let has_attempts_left =
            attempts.possibly_run < self.route.max_attempts.max(1) && attempts.count < MAX_ATTEMPTS;
        has_attempts_left && self.may_retry(verdict)
    }

    /// Notes a failed attempt of a stream that can be resumed. An engine behind the first one may have
    /// failed, and then the first one may be used again. Returns whether the stream may be sent
    /// again.
    pub(crate) fn record_resumable_failure(
        &self,
        attempts: &mut Attempts,
        target: &Target,
        cause: &str,
        entry_failed: bool,
    ) -> bool {
        let name = &target.upstream.name;
        self.log.add_cause(format!("{name}: {cause}"));
        attempts.possibly_run += 1;
        if entry_failed {
            attempts.failed.push(name.clone());
        }
        // Upstreams that have ended do not count against the route's limit. One that is only
        // suspected may still be at work.
        let catalog = self.gateway.catalog.borrow();
        attempts.entered.retain(|name| catalog.upstream(name).is_some());
        drop(catalog);
        if !attempts.entered.contains(name) {
            attempts.entered.push(name.clone());
        }
        attempts.count < MAX_STREAM_ATTEMPTS && self.may_retry(Verdict::MayHaveRun)
    }

    /// Whether a request with a failed attempt may be sent again; takes a retry from the budget.
    fn may_retry(&self, verdict: Verdict) -> bool {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let is_poison = gateway.crashes.borrow().is_poison(self.fingerprint, now);
        let allowed =
            !is_poison && is_retry_safe(self.route.retry, verdict) && !self.time_left().is_zero();
        if !allowed {
            return false;
        }
        let granted = gateway.retry_budget(&self.service).take(now, gateway.node_count());
        let label = if verdict == Verdict::NotRun { "not-run" } else { "rerun" };
        let label = if granted { label } else { "over-budget" };
        gateway.metrics.resends.with_label_values(&[label]).inc();
        if !granted {
            self.log.add_cause("the retry budget is used up".into());
        }
        granted
    }

    /// Notes that an upstream answered the request.
    pub(crate) fn record_success(&self, target: &Target) {
        self.gateway.health.borrow_mut().record_success(&target.upstream.name);
        self.gateway.crashes.borrow_mut().clear(self.fingerprint);
    }

    /// Notes that the engines of a path have taken the request.
    pub(crate) fn record_path_acceptance(&self, target: &Target) {
        let mut health = self.gateway.health.borrow_mut();
        for stage in &target.stages {
            health.record_acceptance(&stage.engine);
        }
    }

    /// Draws conclusions on upstreams from a call that failed.
    pub(crate) fn suspect_after_error(&self, target: &Target, error: &CallError) {
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
                    AVOID_AFTER_BAD_RESPONSE,
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
    pub(crate) fn suspect_after_refusal(&self, target: &Target, response: &UpstreamResponse) {
        let gateway = &self.gateway;
        let name = match response.failed_engine.and_then(|addr| gateway.upstream_at(addr)) {
            Some(name) => name,
            None => target.upstream.name.clone(),
        };
        let catalog = gateway.catalog.borrow();
        let Some(upstream) = catalog.upstream(&name) else { return };
        let is_misdirected = response.status == StatusCode::MISDIRECTED_REQUEST.as_u16();
        let pause = if is_misdirected { AVOID_AFTER_MISDIRECTED } else { AVOID_AFTER_OVERLOAD };
        let now = gateway.clock.now();
        let applied_pause =
            gateway.health.borrow_mut().record_refusal(&name, upstream.incarnation, now, pause);
        let pause_ms = applied_pause.as_millis() as u64;
        let status = response.status;
        if applied_pause > pause {
            tracing::info!(request = %self.id, upstream = %name, status, pause_ms,
                "upstream goes on refusing calls");
        } else {
            tracing::debug!(request = %self.id, upstream = %name, status, pause_ms,
                "upstream refused a call");
        }
    }
}
