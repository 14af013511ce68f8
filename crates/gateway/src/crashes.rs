//! Finds out which requests an engine was running when its process crashed, and refuses requests
//! that crash engines. The decision is that of [`crashes::CrashTable`]; this module observes, asks
//! and tells the other nodes.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use callers::RoutedFailure;
use catalog::{Phase, Upstream};
use clock::Timestamp;
use crashes::{Applied, CrashNote, EngineProcess, Refusal, RefusalSource, RequestParts, Suspect};
use futures_util::future::{Either, select};
use transport::{CallError, StopSignal};
use types::{Digest, Failure, FailureKind, Organisation, UpstreamName, Verdict};

use crate::{
    Gateway,
    attempt::Attempts,
    lifecycle::ActiveRequest,
    node::FailureEvidence,
    refusals::describe,
    selection::{NoSelection, Selection},
};

/// Delay between a broken connection and the probe that tells whether its upstream has crashed.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);
/// Least time from a broken connection until the request is sent again.
const CRASH_CHECK_TIME: Duration = Duration::from_millis(30);
/// Time from the probe on for which the request waits for its result. An upstream out of reach answers
/// no probe.
const PROBE_WAIT: Duration = CRASH_CHECK_TIME.saturating_sub(CRASH_CHECK_DELAY);
/// Time for which reports of crashes are collected in a small fleet before the cause is looked for. A
/// lost failure domain gives many at the same time.
const DECISION_DELAY: Duration = Duration::from_millis(5);

/// The parts of a request. Digests are the same on every node.
pub(crate) fn request_parts(
    organisation: Option<&Organisation>,
    shared: Arc<[Digest]>,
    target: &str,
    body: &Bytes,
) -> RequestParts {
    let name = organisation.map_or("", |name| name.as_str()).as_bytes();
    RequestParts {
        organisation: short_digest(&[name]),
        shared,
        fingerprint: short_digest(&[name, target.as_bytes(), body]),
    }
}

/// A digest of 64 bits, which is short in a datagram. It is the same in all releases: refused requests
/// are stored under it.
fn short_digest(parts: &[&[u8]]) -> Digest {
    Digest(Digest::of(parts).0 & u128::from(u64::MAX))
}

impl ActiveRequest {
    /// Records that the answer has begun, which shows that the prompt crashes no engine before that.
    pub(crate) fn record_begin(&self, selection: &Selection) {
        selection.run.record_progress();
        if !self.has_begun.replace(true) {
            let notes = self.gateway.crashes.borrow_mut().record_begin(&self.parts);
            self.gateway.tell_crash_notes(notes);
        }
    }

    /// Records that the request was answered.
    pub(crate) fn record_answer(&self, selection: &Selection) {
        selection.run.remove();
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let mut crashes = gateway.crashes.borrow_mut();
        let notes = if selection.run.is_resumed() {
            crashes.record_resumed_answer(&self.parts, now)
        } else {
            crashes.record_answer(&self.parts, now)
        };
        drop(crashes);
        gateway.tell_crash_notes(notes);
    }

    /// Records that an attempt was refused, by `refusing_engine` if that is another one than the
    /// entry upstream. The request did not run, but it may have crashed that engine.
    pub(crate) fn record_refused_run(&self, selection: &Selection, refusing: &UpstreamName) {
        if *refusing == selection.upstream.name {
            selection.run.remove();
            return;
        }
        selection.run.keep_only(refusing);
        self.gateway.check_engine(refusing);
    }

    /// Why the request must not be sent any more, if so.
    pub(crate) fn refusal(&self) -> Option<Refusal> {
        self.gateway.check_parts(&self.parts)
    }

    /// The failure of a request that is refused because it would crash its upstreams.
    pub(crate) fn refuse_poison(&self, attempts: &Attempts) -> RoutedFailure {
        let Some(refusal) = self.refusal() else {
            let (kind, message) = NoSelection::Poison.failure();
            return self.give_up(attempts, kind, message);
        };
        let mut routed = self.gateway.poison_failure(&refusal);
        if attempts.verdict() != Verdict::NotRun {
            routed.failure.verdict = Verdict::MayHaveRun;
        }
        self.log.set_reason(&routed.failure.message);
        self.log.end("refused", routed.failure.verdict, 0);
        routed
    }

    /// Waits until it is known whether the last attempt has crashed its upstream.
    pub(crate) async fn wait_for_crash_check(&self) {
        // The wait may be cancelled and begun again.
        let checked = self.crash_check.borrow().clone();
        if let Some(checked) = checked {
            checked.raised().await;
        }
    }

    /// Starts a check whether the upstream of a broken call has crashed. A broken connection alone
    /// is no crash: links break too, and distinct requests may have equal content and thus one
    /// fingerprint.
    pub(crate) fn check_crash(&self, selection: &Selection) {
        let checked = StopSignal::new();
        if !self.has_begun.get() {
            self.crash_check.replace(Some(checked.clone()));
        }
        let check = CrashCheck {
            gateway: self.gateway.clone(),
            upstream: selection.upstream.clone(),
            client: selection.client.clone(),
            parts: self.parts.clone(),
            started: selection.selected,
            checked,
        };
        compio::runtime::spawn(check.run()).detach();
    }
}

/// A check whether the upstream of a broken call has crashed.
struct CrashCheck {
    gateway: Rc<Gateway>,
    upstream: Arc<Upstream>,
    client: Rc<dyn upstreams::UpstreamClient>,
    parts: RequestParts,
    /// When the attempt started. A stream that had run for long when its engine crashed is no reason to
    /// excuse the request that crashed it.
    started: Timestamp,
    /// Raised when the request need not wait any longer, also if the check is given up.
    checked: StopSignal,
}

impl CrashCheck {
    /// Probes the upstream, and records a crash if it can no longer be reached.
    ///
    /// The request waits for the result itself and not for a time after which it should be known: on
    /// a node that is short of processor time, that time passes before the probe has run, and the
    /// request would crash a further upstream.
    async fn run(self) {
        let clock = &self.gateway.clock;
        let broken_at = clock.now();
        clock.sleep(CRASH_CHECK_DELAY).await;
        let result = match select(self.client.probe(), clock.sleep(PROBE_WAIT)).await {
            Either::Left((result, _)) => result,
            Either::Right(((), probe)) => {
                self.checked.raise();
                probe.await
            }
        };
        if let Err(error) = result {
            self.gateway.check_links_after(&error);
            self.gateway.wait_for_link_check().await;
            self.record(&error);
            self.gateway.wait_for_decision().await;
        }
        clock.sleep((broken_at + CRASH_CHECK_TIME).since(clock.now())).await;
    }

    fn record(&self, error: &CallError) {
        let CrashCheck { gateway, upstream, parts, started, .. } = self;
        gateway.mark_failed(&upstream.name, FailureEvidence::of_error(error), &error.to_string());
        // An upstream that does not answer may only be out of reach, and so may all of them.
        if !matches!(error, CallError::Refused) || gateway.is_cut_off() {
            return;
        }
        gateway.observe_crash(upstream);
        // Counted for the request itself also if its answer had begun.
        let parts = RequestParts { shared: Arc::default(), ..parts.clone() };
        let process = (upstream.name.clone(), upstream.incarnation);
        gateway.record_crash(process, vec![Suspect::silent(&parts, *started)]);
    }
}

impl Drop for CrashCheck {
    fn drop(&mut self) {
        self.checked.raise();
    }
}

impl Gateway {
    /// Records that an engine's process has ended although it was not about to leave.
    pub(crate) fn observe_crash(&self, upstream: &Upstream) {
        let process = (upstream.name.clone(), upstream.incarnation);
        // The refusals of a node that is cut off are those of its links.
        self.unless_cut_off(move |gateway| gateway.report_crash(process));
    }

    fn report_crash(&self, process: EngineProcess) {
        // An engine whose entry is gone or says that it is leaving stops in an orderly way.
        let known = self.catalog.borrow().upstream(&process.0).cloned();
        if known.is_some_and(|known| known.phase == Phase::Serving) {
            self.report_suspects(process);
        }
    }

    /// Records that another process runs under the name of an engine that was not about to leave.
    pub(crate) fn observe_restart(&self, before: &Upstream) {
        if before.phase == Phase::Serving {
            self.report_suspects((before.name.clone(), before.incarnation));
        }
    }

    /// Records the requests of this node that a crashed process was running.
    fn report_suspects(&self, process: EngineProcess) {
        let now = self.clock.now();
        let crashed_at = self.crashes.borrow().crashed_at(&process).unwrap_or(now);
        let suspects = self.runs.take_suspects(&process, crashed_at);
        if !suspects.is_empty() {
            self.record_crash(process, suspects);
        }
    }

    fn record_crash(&self, process: EngineProcess, suspects: Vec<Suspect>) {
        let now = self.clock.now();
        let requests = suspects.len();
        let is_known = self.crashes.borrow().crashed_at(&process).is_some();
        let note = self.crashes.borrow_mut().record_crash(process.clone(), suspects, now);
        let Some(note) = note else { return };
        let (upstream, boot) = process;
        if is_known {
            tracing::debug!(%upstream, boot, requests, "crashed upstream ran further requests");
        } else {
            tracing::info!(%upstream, boot, requests, "upstream crashed while it ran requests");
        }
        self.outbox.push_crash_notes([note]);
        self.schedule_decision();
    }

    /// Refuses the parts that explain the crashes known after a short delay.
    fn schedule_decision(&self) {
        let Some(gateway) = self.own.upgrade() else { return };
        if self.runs.decision.borrow().is_some() {
            return;
        }
        self.runs.decision.replace(Some(StopSignal::new()));
        compio::runtime::spawn(async move {
            gateway.clock.sleep(gateway.decision_delay()).await;
            if let Some(decided) = gateway.runs.decision.take() {
                // Those who wait run after this task, which decides without a pause.
                decided.raise();
            }
            let now = gateway.clock.now();
            let decisions = gateway.crashes.borrow_mut().decide(now);
            gateway.tell_crash_notes(decisions);
        })
        .detach();
    }

    /// Time for which reports of crashes are collected before the cause is looked for.
    fn decision_delay(&self) -> Duration {
        let scale = self.fleet_scale();
        DECISION_DELAY.mul_f64(scale * scale)
    }

    /// Waits until the parts that explain the crashes known are refused, unless that takes longer in
    /// a large fleet than a request waits for a probe.
    async fn wait_for_decision(&self) {
        let decision = self.runs.decision.borrow().clone();
        if let Some(decided) = decision.filter(|_| self.decision_delay() <= PROBE_WAIT) {
            decided.raised().await;
        }
    }

    /// Logs what this node has found out, and tells the other nodes.
    fn tell_crash_notes(&self, notes: Vec<CrashNote>) {
        for note in &notes {
            if let CrashNote::Refused { key, .. } = note {
                self.log_refusal(key, RefusalSource::Decision);
                self.metrics.refused_parts.inc();
                self.outbox.push_refusal(*key);
            }
        }
        self.outbox.push_crash_notes(notes);
    }

    /// Applies the notes of another node.
    pub(crate) fn apply_crash_notes(&self, notes: Vec<CrashNote>) {
        let now = self.clock.now();
        let mut has_new = false;
        for note in notes {
            let applied = self.crashes.borrow_mut().apply(note, RefusalSource::Peer, now);
            has_new |= applied != Applied::Known;
            match applied {
                Applied::Crash(process, _) => self.report_suspects(process),
                Applied::Refused(key) | Applied::Withdrawn(key) => {
                    self.log_refusal(&key, RefusalSource::Peer);
                }
                Applied::Known | Applied::Cleared => {}
            }
        }
        if has_new {
            self.schedule_decision();
        }
    }

    /// The failure of a request that would crash its upstreams. One that is sent again has run
    /// before; one that only shares a part with others has not.
    pub(crate) fn poison_failure(&self, refusal: &Refusal) -> RoutedFailure {
        let (cause, verdict) = match refusal {
            Refusal::Request { .. } => ("request", Verdict::MayHaveRun),
            Refusal::Part { .. } => ("part", Verdict::NotRun),
        };
        self.metrics.poison.with_label_values(&[cause]).inc();
        Failure::new(FailureKind::Poison, verdict, describe(refusal)).into()
    }

    /// Why a request with these parts must not be sent, if so.
    pub(crate) fn check_parts(&self, parts: &RequestParts) -> Option<Refusal> {
        let now = self.clock.now();
        let refusal = self.crashes.borrow_mut().check(parts, now);
        if matches!(refusal, Some(Refusal::Request { .. })) {
            let note = self.crashes.borrow_mut().keep_request(parts, now);
            self.tell_crash_notes(note.into_iter().collect());
        }
        refusal
    }
}
