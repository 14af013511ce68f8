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
    admission::{Target, TargetQuery},
    lifecycle::RequestRun,
};

/// Time that an engine has to report what its calls wait for.
const REPORT_LIMIT: Duration = Duration::from_millis(200);
/// Least time between two reports of an engine that this node asks for.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Least time between two questions of this node for the slowdown of an engine.
const SLOWDOWN_INTERVAL: Duration = Duration::from_millis(1000);
/// Least time between two probes by this node whether an engine takes connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which a connection to an engine opens: some round trips between failure domains.
const PROBE_LIMIT: Duration = Duration::from_millis(50);
/// Attempts without an answer after which an engine does not take connections: the first packet of
/// one may be lost.
const PROBE_ATTEMPTS: u32 = 2;
/// Nodes that together probe an engine in one interval; the others hear of what they find. Each
/// probe is counted by the platform.
const PROBING_NODES: f64 = 10.0;

/// Whether an engine takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    Open,
    Refused,
    Silent,
}

impl RequestRun {
    /// Whether a call that has been silent for some time should leave its path, by what is known: it
    /// waits for an engine that has failed, or for a very slow one while there is a better path.
    /// Looks for such engines in the background, more closely once the silence `is_overdue`.
    pub(crate) fn should_leave_path(&self, target: &Target, is_overdue: bool) -> bool {
        if target.stages.is_empty() {
            return false;
        }
        if self.has_failed_stage(target) {
            return true;
        }
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let names = || target.stages.iter().map(|stage| &stage.engine);
        let mut probes = gateway.probes.borrow_mut();
        let should_probe = |times: &mut LastProbes, name: &UpstreamName, interval| {
            times.may_probe(name, interval, now) && gateway.is_prober()
        };
        let probed =
            names().filter(|name| should_probe(&mut probes.connection, name, PROBE_INTERVAL));
        let probed: Vec<UpstreamName> = probed.cloned().collect();
        if !probed.is_empty() {
            compio::runtime::spawn(probe_connections(gateway.clone(), probed)).detach();
        }
        if !is_overdue {
            return false;
        }
        let entry = &target.upstream.name;
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
        // Each attempt beyond the first is taken from the budget that lost engines need.
        let is_slow = target.may_leave_slow
            && target.stages.iter().any(|stage| gateway.is_very_slow(&stage.engine));
        let query =
            TargetQuery { allowed_entries: &target.next_entries, is_resumed: true, avoid: &[] };
        is_slow && self.has_fast_path(query)
    }

    fn has_failed_stage(&self, target: &Target) -> bool {
        let gateway = &self.gateway;
        let catalog = gateway.catalog.borrow();
        let health = gateway.health.borrow();
        let now = gateway.clock.now();
        target.stages.iter().any(|stage| match catalog.upstream(&stage.engine) {
            Some(upstream) => {
                upstream.addr != stage.addr
                    || health.failing_for(&stage.engine, upstream.incarnation, now).is_some()
            }
            None => true,
        })
    }
}

/// Looks which engines of a silent path take no connections.
async fn probe_connections(gateway: Rc<Gateway>, names: Vec<UpstreamName>) {
    let probes = names.iter().map(|name| gateway.probe(name));
    let outcomes = join_all(probes).await;
    // If none can be reached, the fault may be on this node's side.
    let has_connectivity = outcomes
        .iter()
        .any(|probe| matches!(probe, Some(ProbeOutcome::Open | ProbeOutcome::Refused)));
    for (name, probe) in names.iter().zip(outcomes) {
        match probe {
            Some(ProbeOutcome::Refused) => gateway.report_failure(name, "connection refused"),
            Some(ProbeOutcome::Silent) if has_connectivity => {
                let cause = "takes no connections while a stream through it is silent";
                gateway.report_failure(name, cause);
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
        gateway.report_failure(&name, "calls wait for it at the engine before it");
    }
}

/// Asks engines of a silent path for their slowdown, so that new requests take another path than one
/// over a slow engine.
async fn probe_slowdown(gateway: Rc<Gateway>, names: Vec<UpstreamName>) {
    let gateway = &gateway;
    let asked = names.iter().map(|name| async move {
        if let Some((upstream, report)) = gateway.request_report(name).await {
            gateway.apply_slowdown(&upstream, report.slowdown);
        }
    });
    join_all(asked).await;
}

/// When this node last probed engines, by what it wanted to know.
#[derive(Default)]
pub(crate) struct ProbeTimes {
    blocked: LastProbes,
    slowdown: LastProbes,
    connection: LastProbes,
}

/// When this node last probed each engine.
#[derive(Default)]
struct LastProbes(HashMap<UpstreamName, Timestamp>);

impl LastProbes {
    /// Whether this node may probe an engine again; counts as a probe.
    fn may_probe(&mut self, name: &UpstreamName, interval: Duration, now: Timestamp) -> bool {
        if self.0.get(name).is_some_and(|last| now.since(*last) < interval) {
            return false;
        }
        self.0.insert(name.clone(), now);
        true
    }
}

impl Gateway {
    /// Whether this node is one of those that probe an engine in this interval.
    fn is_prober(&self) -> bool {
        rand::rng().random::<f64>() < PROBING_NODES / self.node_count() as f64
    }

    /// Whether an engine takes connections; `None` if it is not known any more.
    async fn probe(&self, name: &UpstreamName) -> Option<ProbeOutcome> {
        let upstream = self.catalog.borrow().upstream(name).cloned()?;
        let client = self.client(&upstream);
        for _ in 0..PROBE_ATTEMPTS {
            match timeout(&*self.clock, PROBE_LIMIT, client.probe()).await {
                Ok(Ok(())) => return Some(ProbeOutcome::Open),
                Ok(Err(CallError::Refused)) => return Some(ProbeOutcome::Refused),
                Ok(Err(_)) | Err(_) => {}
            }
        }
        Some(ProbeOutcome::Silent)
    }

    /// Asks an engine that is known for its state; one that does not answer is suspected.
    async fn request_report(&self, name: &UpstreamName) -> Option<(Arc<Upstream>, EngineReport)> {
        let upstream = self.catalog.borrow().upstream(name).cloned()?;
        match self.client(&upstream).report(REPORT_LIMIT).await {
            Ok(report) => Some((upstream, report)),
            Err(error) => {
                self.suspect(name, &format!("no report: {error}"));
                None
            }
        }
    }

    /// Notes a failure of an upstream that is no matter of this node's path to it, and tells the
    /// other nodes.
    pub(crate) fn report_failure(&self, name: &UpstreamName, cause: &str) {
        self.suspect(name, cause);
        self.announce_failure(name);
    }

    /// Checks what another node says of a failed upstream: that node's path to it may be what
    /// failed.
    pub(crate) async fn check_failure(self: Rc<Self>, name: UpstreamName, incarnation: u64) {
        let is_new = {
            let now = self.clock.now();
            let catalog = self.catalog.borrow();
            let is_known =
                catalog.upstream(&name).is_some_and(|upstream| upstream.incarnation == incarnation);
            is_known && self.health.borrow().failing_for(&name, incarnation, now).is_none()
        };
        if is_new
            && matches!(self.probe(&name).await, Some(ProbeOutcome::Refused | ProbeOutcome::Silent))
        {
            self.suspect(&name, "another node reports that it has failed");
        }
    }

    /// Takes over the slowdown that an engine has reported, and tells the other nodes of a slow one.
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
