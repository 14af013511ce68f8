use std::time::Duration;

use engines::api::StreamFault;
use futures_util::future::join_all;
use operators::api::Decision;
use routing::Diagnosis;
use types::{Stage, UpstreamName};

use super::{CompletionRun, poison::ProbeResult};
use crate::metrics::Gap;

/// Time for which an engine that failed gets no new work.
const SUSPECT_TIME: Duration = Duration::from_secs(1);
/// Longest time for which an engine that could not be reached gets no new work. Its next load
/// report ends it earlier.
pub(crate) const UNREACHABLE_TIME: Duration = Duration::from_secs(4);

/// Why an attempt failed.
pub(super) struct Cause {
    text: String,
    source: FailureSource,
}

/// What caused a failed attempt.
pub(super) enum FailureSource {
    /// The stages have to be probed to find out.
    Unknown,
    /// One of the stages, all of which may answer probes.
    Stages,
    /// This engine cannot be reached.
    Unreachable(UpstreamName),
    /// An engine of the route could not reach this engine.
    Suspect(UpstreamName),
    /// This engine is leaving.
    Leaving(UpstreamName),
    /// This engine cannot run the request now, but others may use it.
    Busy(UpstreamName),
    /// No engine; the next attempt may use the same route.
    Nobody,
}

impl Cause {
    pub(super) fn new(text: impl ToString, source: FailureSource) -> Cause {
        Cause { text: text.to_string(), source }
    }

    /// The cause that an engine's report of a fault stands for.
    pub(super) fn of_fault(engine: Option<UpstreamName>, fault: StreamFault) -> Cause {
        let text = match &engine {
            Some(engine) => format!("{fault} at {engine}"),
            None => fault.to_string(),
        };
        let source = match (fault, engine) {
            (StreamFault::HandoffFailed, Some(engine)) => FailureSource::Suspect(engine),
            (StreamFault::Leaving, Some(engine)) => FailureSource::Leaving(engine),
            (StreamFault::WrongStage | StreamFault::Full, Some(engine)) => {
                FailureSource::Busy(engine)
            }
            // The engine that reports a gap is not the one that lost the handoff.
            (StreamFault::PositionGap, _) => FailureSource::Stages,
            (StreamFault::CacheMissing | StreamFault::Superseded, _) => FailureSource::Nobody,
            (_, None) => FailureSource::Unknown,
        };
        Cause { text, source }
    }
}

impl CompletionRun {
    /// Finds out which engines failed and keeps the next attempt away from them.
    pub(super) async fn recover(&mut self, route: &[Stage], cause: Cause) {
        self.node.metrics.attempts_failed.inc();
        self.progress.failures += 1;
        self.progress.gap = Some(Gap::Failure);
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

    async fn diagnose(&mut self, route: &[Stage], source: FailureSource) -> Diagnosis {
        if let FailureSource::Suspect(engine) = &source
            && let Some(stage) = route.iter().find(|stage| stage.engine == *engine)
        {
            let health = self.probe_engine(engine).await;
            self.record_crash(std::slice::from_ref(stage), &[health]);
        }
        let now = self.node.clock.now();
        let node = self.node.clone();
        let mut view = node.view.borrow_mut();
        match source {
            FailureSource::Nobody => Diagnosis::default(),
            FailureSource::Busy(engine) => Diagnosis { avoid: vec![engine], suspects: Vec::new() },
            FailureSource::Leaving(engine) => {
                if let Some(report) = view.engines.get_mut(&engine).and_then(|e| e.report.as_mut())
                {
                    report.leaving = true;
                }
                Diagnosis { avoid: vec![engine], suspects: Vec::new() }
            }
            FailureSource::Suspect(engine) => {
                view.mark_suspect(&engine, now + SUSPECT_TIME);
                Diagnosis { avoid: vec![engine.clone()], suspects: vec![engine] }
            }
            FailureSource::Unreachable(engine) => {
                view.mark_unreachable(&engine, now + UNREACHABLE_TIME);
                Diagnosis { avoid: vec![engine.clone()], suspects: vec![engine] }
            }
            FailureSource::Stages => {
                drop(view);
                self.diagnose_stages(route)
            }
            FailureSource::Unknown => {
                drop(view);
                self.probe(route).await
            }
        }
    }

    /// Takes out of use the engines of a route that do not answer a probe; if all do, the one that
    /// the stalls of the node's streams point to.
    async fn probe(&mut self, route: &[Stage]) -> Diagnosis {
        let probes = join_all(route.iter().map(|stage| self.probe_engine(&stage.engine))).await;
        self.record_crash(route, &probes);
        let failed =
            |health: &ProbeResult| matches!(health, ProbeResult::Refused | ProbeResult::Silent);
        let silent: Vec<_> = route
            .iter()
            .zip(&probes)
            .filter(|(_, health)| failed(health))
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

    fn diagnose_stages(&mut self, route: &[Stage]) -> Diagnosis {
        self.progress.unexplained += 1;
        let now = self.node.clock.now();
        let mut view = self.node.view.borrow_mut();
        let diagnosis = view.diagnose_stall(route, self.progress.last, now);
        for engine in &diagnosis.suspects {
            view.mark_suspect(engine, now + SUSPECT_TIME);
        }
        diagnosis
    }
}
