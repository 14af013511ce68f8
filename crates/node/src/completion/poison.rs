//! Poison requests: a request during which too many engines have crashed is refused. A request with
//! at least one crash that is not cleared is a suspect request; its engines are probed before each
//! attempt, and it avoids engines on which this node runs another suspect request.

use std::time::Duration;

use clock::timeout;
use futures_util::future::join_all;
use transport::CallError;
use types::{Failure, FailureKind, Stage, UpstreamName, Verdict};

use super::{CompletionRun, recover::UNREACHABLE_TIME};

/// Time that an engine has to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Probes of an engine whose connections break: a process that is ending may still accept one.
const PROBE_ATTEMPTS: u32 = 2;
/// Time between them.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// Result of a probe of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// The engine answered with this incarnation.
    Alive(u64),
    /// The engine accepts no connections.
    Refused,
    /// The engine did not answer in time, or the call failed in another way.
    Silent,
    /// The engine is no longer in the fleet.
    Gone,
}

impl CompletionRun {
    /// Refuses the request if it caused too many crashes of engines. The verdict is always
    /// `MayHaveRun`, because each crash was recorded for an attempt that was sent, if not of this
    /// request then of an earlier send of it. A request that shared its crashes with others waits
    /// for the reports of the other nodes, so that it is not refused for the crashes of another
    /// one.
    pub(super) async fn refuse_poison(&self) -> Result<(), Failure> {
        let limit = self.policy.crash_limit;
        if (self.node.crash_count(self.fingerprint) as u64) < limit {
            return Ok(());
        }
        let pause = self.node.time_until_reported(self.fingerprint).min(self.time_left());
        if !pause.is_zero() {
            self.node.clock.sleep(pause).await;
        }
        if !self.node.is_poison(self.fingerprint, limit) {
            return Ok(());
        }
        let crashes = self.node.crash_count(self.fingerprint);
        let message = format!("engines crashed {crashes} times while they ran this request");
        Err(Failure::new(FailureKind::Poison, Verdict::MayHaveRun, message))
    }

    /// Engines that the next attempt avoids: those on which an earlier one failed and, for a
    /// suspect request, those that run another suspect request.
    pub(super) fn avoided_engines(&self) -> Vec<UpstreamName> {
        let mut avoid = self.avoid.clone();
        if self.node.is_crash_suspect(self.fingerprint) {
            avoid.extend(self.node.engines_of_suspects(self.fingerprint));
        }
        avoid
    }

    /// Incarnations of a route's engines according to their last load reports.
    pub(super) fn known_incarnations(&self, route: &[Stage]) -> Vec<(UpstreamName, u64)> {
        let view = self.node.view.borrow();
        let known = |stage: &Stage| {
            let report = view.engines.get(&stage.engine)?.report.as_ref()?;
            Some((stage.engine.clone(), report.incarnation))
        };
        route.iter().filter_map(known).collect()
    }

    /// Probes all engines of a route before a suspect request is sent to them. Returns `false` if
    /// one of them does not answer. Without the probe, an engine that had already crashed would
    /// count as a second crash of the request, and the loss of a failure domain could make the node
    /// refuse harmless requests.
    pub(super) async fn confirm_route(&mut self, route: &[Stage]) -> bool {
        if self.time_left().is_zero() {
            return true;
        }
        let probes = join_all(route.iter().map(|stage| self.probe_engine(&stage.engine))).await;
        self.progress.incarnations.clear();
        let mut confirmed = true;
        let until = self.node.clock.now() + UNREACHABLE_TIME;
        for (stage, probe) in route.iter().zip(&probes) {
            match probe {
                ProbeResult::Alive(incarnation) => {
                    self.progress.incarnations.push((stage.engine.clone(), *incarnation));
                }
                ProbeResult::Refused | ProbeResult::Silent => {
                    self.node.view.borrow_mut().mark_unreachable(&stage.engine, until);
                    confirmed = false;
                }
                // The attempt fails without a call, and the next one gets another route.
                ProbeResult::Gone => {}
            }
        }
        confirmed
    }

    /// Checks whether an engine answers, and with which incarnation.
    pub(super) async fn probe_engine(&self, name: &UpstreamName) -> ProbeResult {
        let Some(engine) = self.node.engine(name) else { return ProbeResult::Gone };
        let clock = &*self.node.clock;
        for _ in 0..PROBE_ATTEMPTS {
            // An idle connection may have gone silent although the engine works.
            engine.drop_idle();
            match timeout(clock, PROBE_TIMEOUT, engine.load()).await {
                Ok(Ok(load)) => return ProbeResult::Alive(load.incarnation),
                Ok(Err(CallError::Connect(_) | CallError::Refused)) => return ProbeResult::Refused,
                Ok(Err(CallError::Broken(_))) => clock.sleep(PROBE_DELAY).await,
                _ => return ProbeResult::Silent,
            }
        }
        ProbeResult::Silent
    }

    /// Records a crash if an engine of the failed attempt accepts no connections or has restarted.
    /// Each attempt records at most one crash, because engines that fail together, as in the loss
    /// of a failure domain, are one event.
    pub(super) fn record_crash(&self, route: &[Stage], probes: &[ProbeResult]) {
        let crashed = route.iter().zip(probes).find(|(stage, probe)| match probe {
            ProbeResult::Refused => true,
            ProbeResult::Alive(incarnation) => {
                let mut incarnations = self.progress.incarnations.iter();
                incarnations.any(|(name, known)| *name == stage.engine && known != incarnation)
            }
            ProbeResult::Silent | ProbeResult::Gone => false,
        });
        if let Some((stage, _)) = crashed {
            let mut incarnations = self.progress.incarnations.iter();
            let incarnation =
                incarnations.find(|(name, _)| *name == stage.engine).map_or(0, |known| known.1);
            let run_time = self.progress.run_time;
            self.node.record_crash(self.fingerprint, &stage.engine, incarnation, run_time);
        }
    }
}
