//! The result of an attempt, and whether the request may be retried.

use std::time::Duration;

use http::StatusCode;
use peers::relay::EntryProcess;
use transport::CallError;
use types::{UpstreamName, Verdict};
use upstreams::UpstreamResponse;

use crate::{
    lifecycle::{ActiveRequest, is_retry_safe},
    node::FailureEvidence,
    relay::Relay,
    selection::{Selection, SelectionQuery},
};

/// Attempts after which a request is given up, whatever its route allows, including those that an
/// upstream refused without running them.
const MAX_ATTEMPTS: u32 = 4;
/// Attempts after which a resumable stream is given up. Each loss of an engine on its path uses up
/// one.
const MAX_STREAM_ATTEMPTS: u32 = 6;
/// Time for which an engine is avoided after it answered that it does not hold the layers of its
/// stage. Its entry in the key-value service is then out of date.
const AVOID_AFTER_MISDIRECTED: Duration = Duration::from_millis(400);
/// Time for which an upstream that refused a call for lack of capacity is avoided at first.
/// Repeated refusals lengthen it: such an upstream may be leaving without its entry showing that,
/// and as it runs no requests it appears to have the most free capacity.
const AVOID_AFTER_OVERLOAD: Duration = Duration::from_millis(150);

/// Time for which a replica of a plain service is avoided after its response was lost or malformed.
const AVOID_AFTER_BAD_RESPONSE: Duration = Duration::from_millis(500);

/// The attempts of a request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    pub(crate) count: u32,
    /// Number of attempts that may have run.
    pub(crate) possibly_run: u32,
    /// Entry upstreams that further attempts avoid, in the order of the failures. Those of attempts
    /// at a stream that were refused, or that failed at a later engine of the path, are not
    /// included.
    pub(crate) avoided: Vec<UpstreamName>,
    /// Entry upstreams on which a resumable stream may still run, without duplicates: those of
    /// failed attempts that may have run, without those that other processes had replaced at the last
    /// failure. Empty for other requests.
    pub(crate) live_entries: Vec<EntryProcess>,
    /// Number of attempts of other nodes that may have run on an entry upstream which is not known.
    pub(crate) unknown_entries: u32,
    /// Entry upstreams of attempts at a stream that were refused.
    pub(crate) refusing_entries: Vec<UpstreamName>,
}

impl Attempts {
    /// The attempts of a request that another node has passed on and that may have run on `entries`.
    pub(crate) fn continued(entries: Vec<EntryProcess>) -> Attempts {
        let possibly_run = entries.len() as u32;
        Attempts { possibly_run, live_entries: entries, ..Attempts::default() }
    }

    /// The verdict on all attempts together.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.possibly_run > 0 { Verdict::MayHaveRun } else { Verdict::NotRun }
    }

    /// The constraints on the next attempt of a request that is not resumed.
    pub(crate) fn selection_query(&self) -> SelectionQuery<'_> {
        SelectionQuery { avoid: &self.avoided, ..SelectionQuery::default() }
    }
}

impl ActiveRequest {
    /// Records a failed attempt. Returns whether the request may be retried, and if so takes a
    /// retry from the budget.
    pub(crate) fn record_failure(
        &self,
        attempts: &mut Attempts,
        selection: &Selection,
        cause: &str,
        verdict: Verdict,
    ) -> bool {
        self.log.add_cause(format!("{}: {cause}", selection.upstream.name));
        if verdict != Verdict::NotRun {
            attempts.possibly_run += 1;
            self.log.record_entry(selection);
        }
        attempts.avoided.push(selection.upstream.name.clone());
        let has_attempts_left =
            attempts.possibly_run < self.max_entries.max(1) && attempts.count < MAX_ATTEMPTS;
        has_attempts_left && self.take_retry(verdict)
    }

    /// Records a failed attempt of a stream that can be resumed. If `entry_failed` is false, a
    /// later engine on the path has failed and the entry upstream may be used again. Returns
    /// whether another attempt may be made, and if so takes a retry from the budget.
    pub(crate) fn record_resumable_failure(
        &self,
        attempts: &mut Attempts,
        selection: &Selection,
        cause: &str,
        entry_failed: bool,
    ) -> bool {
        let name = &selection.upstream.name;
        self.log.add_cause(format!("{name}: {cause}"));
        attempts.possibly_run += 1;
        self.log.record_entry(selection);
        if entry_failed {
            attempts.avoided.push(name.clone());
        }
        // One that is only avoided, or whose entry is removed, may still be running the request.
        attempts.count_entry(&self.gateway, selection);
        attempts.count < MAX_STREAM_ATTEMPTS && self.take_retry(Verdict::MayHaveRun)
    }

    /// Whether a stream may be resumed by a further attempt, for which the budget has a retry left.
    pub(crate) fn may_resume(&self, attempts: &Attempts) -> bool {
        attempts.count < MAX_STREAM_ATTEMPTS && self.has_retry_left(Verdict::MayHaveRun)
    }

    /// Whether the request may be retried after an attempt with this verdict, and the budget has a
    /// retry left.
    pub(crate) fn has_retry_left(&self, verdict: Verdict) -> bool {
        self.is_retry_allowed(verdict) && self.gateway.has_retry_left(&self.service)
    }

    /// Whether the request may be retried after an attempt with this verdict, as far as the budget
    /// allows it.
    fn is_retry_allowed(&self, verdict: Verdict) -> bool {
        self.refusal().is_none()
            && is_retry_safe(self.route.retry, verdict)
            && !self.time_left().is_zero()
    }

    /// Takes a retry from the budget if the request may be retried after an attempt with this
    /// verdict. Returns whether it took one.
    fn take_retry(&self, verdict: Verdict) -> bool {
        let gateway = &self.gateway;
        if !self.is_retry_allowed(verdict) {
            return false;
        }
        // A node that is cut off has sent nothing to an upstream.
        if verdict == Verdict::NotRun && gateway.is_cut_off() {
            return true;
        }
        let granted = gateway.take_retry(&self.service);
        let label = if verdict == Verdict::NotRun { "not-run" } else { "rerun" };
        let label = if granted { label } else { "over-budget" };
        gateway.metrics.resends.with_label_values(&[label]).inc();
        if !granted {
            self.log.add_cause("the retry budget is used up".into());
        }
        granted
    }

    /// Records that another node could not run the request, which is no attempt.
    pub(crate) fn record_unable_node(&self, attempts: &mut Attempts, relay: &Relay) {
        attempts.count = attempts.count.saturating_sub(1);
        self.gateway.avoid_node(&relay.node);
    }

    /// Records that an upstream answered the request, with a body that is not empty if it is a
    /// stream.
    pub(crate) fn record_success(&self, selection: &Selection) {
        self.gateway.health.borrow_mut().record_success(&selection.upstream.name);
        self.record_answer(selection);
        self.observe_hold(selection);
    }

    /// Records that all engines of a path have accepted the request.
    pub(crate) fn record_path_acceptance(&self, selection: &Selection) {
        self.record_begin(selection);
        let mut health = self.gateway.health.borrow_mut();
        for stage in &selection.stages {
            health.record_acceptance(&stage.engine);
        }
    }

    /// Marks the entry upstream as failing, or avoids it for a short time, if the error of a call
    /// indicates that.
    pub(crate) fn avoid_after_error(&self, selection: &Selection, error: &CallError) {
        let gateway = &self.gateway;
        if let Some(relay) = &selection.relay {
            return self.avoid_node_after_error(relay, error);
        }
        let upstream = &selection.upstream;
        gateway.check_links_after(error);
        if error.verdict() == Verdict::NotRun {
            selection.run.remove();
        }
        match error {
            CallError::Refused => {
                gateway.observe_crash(upstream);
                let evidence = FailureEvidence::Refused;
                gateway.report_failure(&upstream.name, evidence, &error.to_string());
            }
            CallError::Connect(_) | CallError::ConnectTimeout => {
                let evidence = FailureEvidence::NoResponse;
                gateway.mark_failed(&upstream.name, evidence, &error.to_string());
            }
            // One bad response among many says little about an engine, so streams through it
            // continue.
            CallError::Broken(_) | CallError::Malformed(_) | CallError::Timeout
                if selection.stages.is_empty() =>
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
            self.check_crash(selection);
        }
    }

    /// Records a refusal after a response which states that the call was not run. The upstream that
    /// refused the call, which may be a later engine of the path, is then avoided for some time. One
    /// that has asked for a pause is not charged for it.
    pub(crate) fn avoid_after_refusal(&self, selection: &Selection, response: &UpstreamResponse) {
        let gateway = &self.gateway;
        if selection.relay.is_some() {
            return;
        }
        let name = match response.refusing_engine.and_then(|addr| gateway.upstream_at(addr)) {
            Some(name) => name,
            None => selection.upstream.name.clone(),
        };
        self.record_refused_run(selection, &name);
        let catalog = gateway.catalog.borrow();
        let Some(upstream) = catalog.upstream(&name) else { return };
        if gateway.is_paused(upstream) {
            return;
        }
        let is_misdirected = response.status == StatusCode::MISDIRECTED_REQUEST.as_u16();
        // A misdirected call shows an entry that is out of date, and no lack of capacity.
        if selection.stages.is_empty() && !is_misdirected {
            self.record_replica_refusal(upstream);
        }
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
