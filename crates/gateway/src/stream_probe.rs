//! Finds out whether a silent stream waits for an engine that has failed or is very slow.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use catalog::Upstream;
use clock::{Timestamp, timeout};
use futures_util::future::join_all;
use rand::Rng;
use transport::CallError;
use types::UpstreamName;
use upstreams::EngineReport;

use crate::{
    Gateway,
    attempt::Attempts,
    lifecycle::ActiveRequest,
    node::FailureEvidence,
    selection::{Selection, SelectionQuery},
    stream_attempt::StreamFailure,
};

/// Time within which an engine must report which engines its calls wait for.
const REPORT_LIMIT: Duration = Duration::from_millis(200);
/// Least time between two requests of this node for an engine's report of blocked calls.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Least time between two requests of this node for an engine's slowdown.
const SLOWDOWN_INTERVAL: Duration = Duration::from_millis(1000);
/// Least time between two connection probes of an engine by this node.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a connection probe: several round trips between failure domains.
const PROBE_LIMIT: Duration = Duration::from_millis(50);
/// Unanswered connection attempts after which an engine counts as silent. A single one may be
/// unanswered because its first packet was lost.
const PROBE_ATTEMPTS: u32 = 2;
/// Average number of nodes that probe an engine in one interval; the others learn the result from
/// them. The platform counts each probe.
const PROBING_NODES: f64 = 10.0;

/// Whether an engine accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    Open,
    Refused,
    Silent,
}

/// What this node knows about the engines on the path of a silent call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PathState {
    /// Nothing speaks against the path.
    Working,
    /// An engine does not respond, refuses connections or is no longer registered, or it is so slow
    /// that a better path exists. The call may still go on.
    Doubtful,
    /// Another process is registered under the name of an engine, so that the call cannot go on.
    Lost,
}

impl ActiveRequest {
    /// Why a call that has been silent for some time has to leave its path; `None` if it stays. A
    /// call whose path is doubtful leaves only if another attempt can be made: a sound engine may
    /// fall silent for a second and go on.
    pub(crate) fn reason_to_leave(
        &self,
        attempts: &Attempts,
        selection: &Selection,
        is_overdue: bool,
    ) -> Option<StreamFailure> {
        let name = &selection.upstream.name;
        if selection.relay.is_some() {
            let may_leave = self.is_relay_silent(selection) && self.may_resume(attempts);
            return may_leave.then_some(StreamFailure::LeftPath);
        }
        self.gateway.check_links_in_silence();
        let is_lost =
            self.gateway.is_cut_off_silently() || (self.gateway.is_cut_off() && is_overdue);
        if is_lost && self.may_relay(attempts) && self.may_resume(attempts) {
            return Some(StreamFailure::LeftPath);
        }
        let allowed_entries = self.allowed_entries(attempts, Some(&selection.upstream));
        let query = SelectionQuery {
            avoid: &attempts.avoided,
            allowed_entries: &allowed_entries,
            is_resumed: true,
            ..SelectionQuery::default()
        };
        match self.check_path(selection, query, is_overdue) {
            PathState::Working => None,
            PathState::Doubtful if self.may_resume(attempts) && self.has_path(query) => {
                Some(StreamFailure::LeftPath)
            }
            PathState::Doubtful => {
                self.log.add_new_cause(format!("{name}: silent, but no other path may be tried"));
                None
            }
            PathState::Lost => Some(StreamFailure::LostPath),
        }
    }

    /// The state of the path of a call that has been silent for some time. Starts background probes
    /// of the path's engines, and more of them once the call `is_overdue`. `query` is the one for
    /// another path.
    fn check_path(
        &self,
        selection: &Selection,
        query: SelectionQuery<'_>,
        is_overdue: bool,
    ) -> PathState {
        if selection.stages.is_empty() {
            return PathState::Working;
        }
        let known = self.known_state(selection);
        if known == PathState::Lost {
            return known;
        }
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let names = || selection.stages.iter().map(|stage| &stage.engine);
        let mut probes = gateway.probes.borrow_mut();
        let should_probe = |times: &mut LastTurns, name: &UpstreamName, interval| {
            times.take_turn(name, interval, now) && gateway.draw_prober()
        };
        let probed =
            names().filter(|name| should_probe(&mut probes.connection, name, PROBE_INTERVAL));
        let probed: Vec<UpstreamName> = probed.cloned().collect();
        if !probed.is_empty() {
            compio::runtime::spawn(probe_connections(gateway.clone(), probed)).detach();
        }
        if !is_overdue || known == PathState::Doubtful {
            return known;
        }
        let entry = &selection.upstream.name;
        if should_probe(&mut probes.blocked, entry, REPORT_INTERVAL) {
            compio::runtime::spawn(probe_blocked(gateway.clone(), entry.clone())).detach();
        }
        let asked =
            names().filter(|name| should_probe(&mut probes.slowdown, name, SLOWDOWN_INTERVAL));
        let asked: Vec<UpstreamName> = asked.cloned().collect();
        if !asked.is_empty() {
            compio::runtime::spawn(probe_slowdown(gateway.clone(), asked)).detach();
        }
        drop(probes);
        // Leaving a slow engine takes a retry from the budget, which is needed for streams whose
        // engines are lost, so only the first attempt may do so.
        let is_slow = selection.may_leave_slow
            && selection.stages.iter().any(|stage| gateway.is_very_slow(&stage.engine));
        if is_slow && self.has_fast_path(query) { PathState::Doubtful } else { PathState::Working }
    }

    /// The state of a path according to the failures of its engines that this node knows.
    fn known_state(&self, selection: &Selection) -> PathState {
        let gateway = &self.gateway;
        let catalog = gateway.catalog.borrow();
        let health = gateway.health.borrow();
        let now = gateway.clock.now();
        let states = selection.stages.iter().map(|stage| {
            // An upstream whose entry is removed may go on serving for a while.
            let Some(upstream) = catalog.upstream(&stage.engine) else {
                return PathState::Doubtful;
            };
            let incarnation = upstream.incarnation;
            if upstream.addr != stage.addr {
                PathState::Lost
            } else if health.failing_for(&stage.engine, incarnation, now).is_some() {
                PathState::Doubtful
            } else {
                PathState::Working
            }
        });
        states.max().unwrap_or(PathState::Working)
    }
}

/// Probes which engines of a silent path accept no connections.
async fn probe_connections(gateway: Rc<Gateway>, names: Vec<UpstreamName>) {
    let probes = names.iter().map(|name| gateway.probe(name));
    let outcomes = join_all(probes).await;
    // If no engine can be reached, the fault may lie on this node's side.
    let has_connectivity = outcomes
        .iter()
        .any(|probe| matches!(probe, Some(ProbeOutcome::Open | ProbeOutcome::Refused)));
    for (name, probe) in names.iter().zip(outcomes) {
        match probe {
            Some(ProbeOutcome::Refused) => {
                let evidence = FailureEvidence::Refused;
                gateway.report_failure(name, evidence, "connection refused");
            }
            Some(ProbeOutcome::Silent) if has_connectivity => {
                let cause = "takes no connections while a stream through it is silent";
                gateway.report_failure(name, FailureEvidence::NoResponse, cause);
            }
            _ => {}
        }
    }
}

/// Asks the first engine of a silent path which engines its calls wait for.
async fn probe_blocked(gateway: Rc<Gateway>, entry: UpstreamName) {
    let Some((_, report)) = gateway.request_report(&entry).await else { return };
    let blocked_on: BTreeSet<SocketAddr> = report.blocked_on.into_iter().collect();
    for name in blocked_on.into_iter().filter_map(|addr| gateway.upstream_at(addr)) {
        let cause = "calls wait for it at the engine before it";
        gateway.report_failure(&name, FailureEvidence::NoResponse, cause);
    }
}

/// Asks the engines of a silent path for their slowdown, so that new requests avoid a slow one.
async fn probe_slowdown(gateway: Rc<Gateway>, names: Vec<UpstreamName>) {
    let gateway = &gateway;
    let asked = names.iter().map(|name| async move {
        if let Some((upstream, report)) = gateway.request_report(name).await {
            gateway.apply_slowdown(&upstream, report.slowdown);
        }
    });
    join_all(asked).await;
}

/// When this node last considered probing engines, by kind of probe.
#[derive(Default)]
pub(crate) struct ProbeTimes {
    blocked: LastTurns,
    slowdown: LastTurns,
    connection: LastTurns,
}

/// When this node last considered probing each engine: it then drew whether it is one of the nodes
/// that probe, so it may not have probed the engine.
#[derive(Default)]
struct LastTurns(HashMap<UpstreamName, Timestamp>);

impl LastTurns {
    /// Whether this node may consider probing an engine again. If so, records the time.
    fn take_turn(&mut self, name: &UpstreamName, interval: Duration, now: Timestamp) -> bool {
        if self.0.get(name).is_some_and(|last| now.since(*last) < interval) {
            return false;
        }
        self.0.insert(name.clone(), now);
        true
    }
}

impl Gateway {
    /// Probes an engine that another one names as the cause of a refusal.
    pub(crate) fn check_engine(self: &Rc<Self>, name: &UpstreamName) {
        let now = self.clock.now();
        if self.probes.borrow_mut().connection.take_turn(name, PROBE_INTERVAL, now) {
            let names = vec![name.clone()];
            compio::runtime::spawn(probe_connections(self.clone(), names)).detach();
        }
    }

    /// Decides at random whether this node is one of those that probe an engine in this interval.
    fn draw_prober(&self) -> bool {
        rand::rng().random::<f64>() < PROBING_NODES / self.node_count() as f64
    }

    /// Probes whether an engine accepts connections; `None` if the engine is not in the catalog any
    /// more, or has asked for a pause.
    async fn probe(&self, name: &UpstreamName) -> Option<ProbeOutcome> {
        let upstream = self.catalog.borrow().upstream(name).cloned()?;
        if self.is_paused(&upstream) {
            return None;
        }
        let client = self.client(&upstream);
        for _ in 0..PROBE_ATTEMPTS {
            match timeout(&*self.clock, PROBE_LIMIT, client.probe()).await {
                Ok(Ok(())) => return Some(ProbeOutcome::Open),
                Ok(Err(CallError::Refused)) => {
                    self.check_links_after(&CallError::Refused);
                    self.observe_crash(&upstream);
                    return Some(ProbeOutcome::Refused);
                }
                Ok(Err(_)) | Err(_) => {}
            }
        }
        self.check_links_after(&CallError::ConnectTimeout);
        Some(ProbeOutcome::Silent)
    }

    /// Requests a report from an engine, unless it has asked for a pause. Marks the engine as
    /// failing if it does not answer.
    async fn request_report(&self, name: &UpstreamName) -> Option<(Arc<Upstream>, EngineReport)> {
        let upstream = self.catalog.borrow().upstream(name).cloned()?;
        if self.is_paused(&upstream) {
            return None;
        }
        match self.client(&upstream).report(REPORT_LIMIT).await {
            Ok(report) => Some((upstream, report)),
            // An engine that refuses the request and asks for a pause has not failed.
            Err(_) if self.is_paused(&upstream) => None,
            Err(error) => {
                self.check_links_after(&error);
                let evidence = FailureEvidence::of_error(&error);
                self.mark_failed(name, evidence, &format!("no report: {error}"));
                None
            }
        }
    }

    /// Records a failure that is due to the upstream itself and not to this node's connection to
    /// it, and announces it to the other nodes.
    pub(crate) fn report_failure(
        &self,
        name: &UpstreamName,
        evidence: FailureEvidence,
        cause: &str,
    ) {
        self.mark_failed(name, evidence, cause);
        let name = name.clone();
        self.unless_cut_off(move |gateway| gateway.announce_failure(&name));
    }

    /// Verifies a failure that another node has announced, since the fault may lie on that node's
    /// connection to the upstream.
    pub(crate) async fn check_failure(self: Rc<Self>, name: UpstreamName, incarnation: u64) {
        if self.doubts_links() {
            return;
        }
        let is_new = {
            let now = self.clock.now();
            let catalog = self.catalog.borrow();
            let is_known =
                catalog.upstream(&name).is_some_and(|upstream| upstream.incarnation == incarnation);
            is_known && self.health.borrow().failing_for(&name, incarnation, now).is_none()
        };
        if !is_new {
            return;
        }
        let evidence = match self.probe(&name).await {
            Some(ProbeOutcome::Refused) => FailureEvidence::Refused,
            Some(ProbeOutcome::Silent) => FailureEvidence::NoResponse,
            Some(ProbeOutcome::Open) | None => return,
        };
        self.mark_failed(&name, evidence, "another node reports that it has failed");
    }

    /// Applies the slowdown that an engine has reported, and adds a slow engine to the next
    /// beacons.
    fn apply_slowdown(&self, upstream: &Upstream, slowdown: f64) {
        let now = self.clock.now();
        let mut health = self.health.borrow_mut();
        health.set_slowdown(&upstream.name, upstream.incarnation, slowdown, now);
        if health.slowdown(&upstream.name, upstream.incarnation, now) > 1.0 {
            tracing::info!(upstream = %upstream.name, pace = slowdown, "engine is slow");
            let report = (upstream.incarnation, slowdown, now);
            self.reported_slow.borrow_mut().insert(upstream.name.clone(), report);
        }
    }
}
