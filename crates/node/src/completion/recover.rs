//! Finds out why an attempt failed, and which engines the next one has to avoid.

use std::time::Duration;

use engines::api::StreamFault;
use futures_util::future::join_all;
use operators::api::Decision;
use routing::Diagnosis;
use types::{Stage, UpstreamName};

use super::{CompletionRun, poison::ProbeResult};

/// Time for which an engine that failed gets no new work.
const SUSPECT_TIME: Duration = Duration::from_secs(1);
/// Longest time for which an engine that could not be reached gets no new work. Its next load
/// report ends it earlier.
pub(crate) const UNREACHABLE_TIME: Duration = Duration::from_secs(4);

/// Why an attempt failed, and where to look for the failed engine.
pub(super) struct Cause {
    text: String,
    source: FailureSource,
}

/// What is known about the engine that made an attempt fail.
pub(super) enum FailureSource {
    /// Nothing; the stages have to be probed.
    Unknown,
    /// It is one of the stages, but a probe would not identify it.
    AnyStage,
    /// This node cannot reach this engine.
    Unreachable(UpstreamName),
    /// An engine of the route could not hand off to this engine.
    HandoffTarget(UpstreamName),
    /// This engine is leaving.
    Leaving(UpstreamName),
    /// This engine cannot run the request now, but it stays usable for other requests.
    Busy(UpstreamName),
    /// No engine failed; the next attempt may use the same route.
    NoEngine,
}

impl Cause {
    pub(super) fn new(text: impl ToString, source: FailureSource) -> Cause {
        Cause { text: text.to_string(), source }
    }

    /// The cause for a fault that an engine reported on the stream. `engine` is the engine at which
    /// the fault lies, if the report names one.
    pub(super) fn from_fault(engine: Option<UpstreamName>, fault: StreamFault) -> Cause {
        let text = match &engine {
            Some(engine) => format!("{fault} at {engine}"),
            None => fault.to_string(),
        };
        let source = match (fault, engine) {
            (StreamFault::HandoffFailed, Some(engine)) => FailureSource::HandoffTarget(engine),
            (StreamFault::Leaving, Some(engine)) => FailureSource::Leaving(engine),
            (StreamFault::WrongStage | StreamFault::Full, Some(engine)) => {
                FailureSource::Busy(engine)
            }
            // The named engine only noticed the gap. Another one lost the handoff.
            (StreamFault::PositionGap, _) => FailureSource::AnyStage,
            (StreamFault::CacheMissing | StreamFault::Superseded, _) => FailureSource::NoEngine,
            (_, None) => FailureSource::Unknown,
        };
        Cause { text, source }
    }
}

impl CompletionRun {
    /// Counts and records a failed attempt, finds out which engines failed, and excludes them from
    /// the next attempt.
    pub(super) async fn recover(&mut self, route: &[Stage], cause: Cause) {
        self.node.metrics.attempts_failed.inc();
        self.progress.record_failure(self.node.clock.now());
        let Diagnosis { avoid, suspects } = self.diagnose(route, cause.source).await;
        tracing::info!(
            request = %self.request.caller.id,
            organisation = %self.request.caller.organisation,
            attempt = self.attempt,
            cause = cause.text,
            ?avoid,
            ?suspects,
            "attempt failed"
        );
        self.trace.record(Decision::AttemptFailed {
            attempt: self.attempt,
            cause: cause.text,
            suspects: avoid.clone(),
        });
        self.avoid.extend(avoid);
    }

    /// Identifies the failed engines and marks them in the load view.
    async fn diagnose(&mut self, route: &[Stage], source: FailureSource) -> Diagnosis {
        if let FailureSource::HandoffTarget(engine) = &source
            && let Some(stage) = route.iter().find(|stage| stage.engine == *engine)
        {
            let probe = self.probe_engine(engine).await;
            self.record_crash(std::slice::from_ref(stage), &[probe]);
        }
        let now = self.node.clock.now();
        let node = self.node.clone();
        let mut view = node.view.borrow_mut();
        match source {
            FailureSource::NoEngine => Diagnosis::default(),
            FailureSource::Busy(engine) => Diagnosis { avoid: vec![engine], suspects: Vec::new() },
            FailureSource::Leaving(engine) => {
                if let Some(report) = view.engines.get_mut(&engine).and_then(|e| e.report.as_mut())
                {
                    report.leaving = true;
                }
                Diagnosis { avoid: vec![engine], suspects: Vec::new() }
            }
            FailureSource::HandoffTarget(engine) => {
                view.mark_suspect(&engine, now + SUSPECT_TIME);
                Diagnosis { avoid: vec![engine.clone()], suspects: vec![engine] }
            }
            FailureSource::Unreachable(engine) => {
                view.mark_unreachable(&engine, now + UNREACHABLE_TIME);
                Diagnosis { avoid: vec![engine.clone()], suspects: vec![engine] }
            }
            FailureSource::AnyStage => {
                drop(view);
                self.diagnose_stages(route)
            }
            FailureSource::Unknown => {
                drop(view);
                self.probe_route(route).await
            }
        }
    }

    /// Probes the engines of a route and marks those that do not answer as unreachable. If all
    /// answer, the stalls of this node's streams have to show the failed engine.
    async fn probe_route(&mut self, route: &[Stage]) -> Diagnosis {
        let probes = join_all(route.iter().map(|stage| self.probe_engine(&stage.engine))).await;
        self.record_crash(route, &probes);
        let failed =
            |probe: &ProbeResult| matches!(probe, ProbeResult::Refused | ProbeResult::Silent);
        let silent: Vec<_> = route
            .iter()
            .zip(&probes)
            .filter(|(_, probe)| failed(probe))
            .map(|(stage, _)| stage.engine.clone())
            .collect();
        if silent.is_empty() {
            return self.diagnose_stages(route);
        }
        let until = self.node.clock.now() + UNREACHABLE_TIME;
        for engine in &silent {
            self.node.view.borrow_mut().mark_unreachable(engine, until);
        }
        Diagnosis { avoid: silent.clone(), suspects: silent }
    }

    /// Looks for the failed engine in the stalls of all streams of this node, and marks the
    /// suspects.
    fn diagnose_stages(&mut self, route: &[Stage]) -> Diagnosis {
        self.progress.unexplained += 1;
        let now = self.node.clock.now();
        let mut view = self.node.view.borrow_mut();
        let diagnosis = view.diagnose_stall(route, self.progress.wait_start, now);
        for engine in &diagnosis.suspects {
            view.mark_suspect(engine, now + SUSPECT_TIME);
        }
        diagnosis
    }
}
