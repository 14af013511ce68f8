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
    admission::{Target, Wanted},
    lifecycle::Run,
};

/// Time that an engine has to report what its calls wait for.
const REPORT_LIMIT: Duration = Duration::from_millis(200);
/// Least time between two reports of an engine that this node asks for.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Least time between two questions of this node for the pace of an engine.
const PACE_INTERVAL: Duration = Duration::from_millis(1000);
/// Least time between two looks of this node whether an engine takes connections.
const REACH_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which a connection to an engine opens: some round trips between failure domains.
const REACH_LIMIT: Duration = Duration::from_millis(50);
/// Attempts without an answer after which an engine does not take connections: the first packet of
/// one may be lost.
const REACH_ATTEMPTS: u32 = 2;
/// Nodes that together look at an engine in one interval; the others hear of what they find. Each
/// look is counted by the platform.
const LOOKING_NODES: f64 = 10.0;

/// Whether an engine takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    Open,
    Refused,
    Silent,
}

impl Run {
    /// Whether a call that has been silent for some time should leave its path, by what is known: it
    /// waits for an engine that has failed, or for a very slow one while there is a better path.
    /// Looks for such engines in the background, more closely once the silence `is_long`.
    pub(crate) fn should_leave(&self, target: &Target, is_long: bool) -> bool {
        if target.stages.is_empty() {
            return false;
        }
        if self.has_failed_stage(target) {
            return true;
        }
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let names = || target.stages.iter().map(|stage| &stage.engine);
        let mut looks = gateway.looks.borrow_mut();
        let looking = |times: &mut LookTimes, name: &UpstreamName, interval| {
            times.may_look(name, interval, now) && gateway.is_looking()
        };
        let reached = names().filter(|name| looking(&mut looks.reach, name, REACH_INTERVAL));
        let reached: Vec<UpstreamName> = reached.cloned().collect();
        if !reached.is_empty() {
            compio::runtime::spawn(look_for_ended(gateway.clone(), reached)).detach();
        }
        if !is_long {
            return false;
        }
        let entry = &target.upstream.name;
        if looking(&mut looks.blocked, entry, REPORT_INTERVAL) {
            compio::runtime::spawn(look_for_blocked(gateway.clone(), entry.clone())).detach();
        }
        let asked = names().filter(|name| looking(&mut looks.pace, name, PACE_INTERVAL));
        let asked: Vec<UpstreamName> = asked.cloned().collect();
        if !asked.is_empty() {
            compio::runtime::spawn(look_for_slow(gateway.clone(), asked)).detach();
        }
        drop(looks);
        // Each send beyond the first is taken from the budget that lost engines need.
        let is_slow = target.leaves_slow
            && target.stages.iter().any(|stage| gateway.is_very_slow(&stage.engine));
        let wanted = Wanted { entries: &target.next_entries, is_resumed: true, avoid: &[] };
        is_slow && self.has_fast_path(wanted)
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
async fn look_for_ended(gateway: Rc<Gateway>, names: Vec<UpstreamName>) {
    let looks = names.iter().map(|name| gateway.reach(name));
    let found = join_all(looks).await;
    // If none can be reached, the fault may be on this node's side.
    let is_connected =
        found.iter().any(|reach| matches!(reach, Some(Reach::Open | Reach::Refused)));
    for (name, reach) in names.iter().zip(found) {
        match reach {
            Some(Reach::Refused) => gateway.report_failure(name, "connection refused"),
            Some(Reach::Silent) if is_connected => {
                let cause = "takes no connections while a stream through it is silent";
                gateway.report_failure(name, cause);
            }
            _ => {}
        }
    }
}

/// Asks the first engine of a silent path which engines its calls wait for.
async fn look_for_blocked(gateway: Rc<Gateway>, entry: UpstreamName) {
    let Some((_, report)) = gateway.ask(&entry).await else { return };
    let blocked: BTreeSet<SocketAddr> = report.blocked.into_iter().collect();
    for name in blocked.into_iter().filter_map(|addr| gateway.upstream_at(addr)) {
        gateway.report_failure(&name, "calls wait for it at the engine before it");
    }
}

/// Asks engines of a silent path for their pace, so that new requests take another path than one
/// over a slow engine.
async fn look_for_slow(gateway: Rc<Gateway>, names: Vec<UpstreamName>) {
    let gateway = &gateway;
    let asked = names.iter().map(|name| async move {
        if let Some((upstream, report)) = gateway.ask(name).await {
            gateway.take_pace(&upstream, report.pace);
        }
    });
    join_all(asked).await;
}

/// When this node last looked at engines, by what it wanted to know.
#[derive(Default)]
pub(crate) struct Looks {
    blocked: LookTimes,
    pace: LookTimes,
    reach: LookTimes,
}

/// When this node last looked at each engine.
#[derive(Default)]
struct LookTimes(HashMap<UpstreamName, Timestamp>);

impl LookTimes {
    /// Whether this node may look at an engine again; counts as a look.
    fn may_look(&mut self, name: &UpstreamName, interval: Duration, now: Timestamp) -> bool {
        if self.0.get(name).is_some_and(|last| now.since(*last) < interval) {
            return false;
        }
        self.0.insert(name.clone(), now);
        true
    }
}

impl Gateway {
    /// Whether this node is one of those that look at an engine in this interval.
    fn is_looking(&self) -> bool {
        rand::rng().random::<f64>() < LOOKING_NODES / self.node_count() as f64
    }

    /// Whether an engine takes connections; `None` if it is not known any more.
    async fn reach(&self, name: &UpstreamName) -> Option<Reach> {
        let upstream = self.catalog.borrow().upstream(name).cloned()?;
        let client = self.client(&upstream);
        for _ in 0..REACH_ATTEMPTS {
            match timeout(&*self.clock, REACH_LIMIT, client.reach()).await {
                Ok(Ok(())) => return Some(Reach::Open),
                Ok(Err(CallError::Refused)) => return Some(Reach::Refused),
                Ok(Err(_)) | Err(_) => {}
            }
        }
        Some(Reach::Silent)
    }

    /// Asks an engine that is known for its state; one that does not answer is suspected.
    async fn ask(&self, name: &UpstreamName) -> Option<(Arc<Upstream>, EngineReport)> {
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
        self.tell_failure(name);
    }

    /// Checks what another node says of a failed upstream: that node's path to it may be what
    /// failed.
    pub(crate) async fn check_failure(self: Rc<Self>, name: UpstreamName, incarnation: u64) {
        let is_news = {
            let now = self.clock.now();
            let catalog = self.catalog.borrow();
            let is_known =
                catalog.upstream(&name).is_some_and(|known| known.incarnation == incarnation);
            is_known && self.health.borrow().failing_for(&name, incarnation, now).is_none()
        };
        if is_news && matches!(self.reach(&name).await, Some(Reach::Refused | Reach::Silent)) {
            self.suspect(&name, "another node reports that it has failed");
        }
    }

    /// Takes over the pace that an engine has reported, and tells the other nodes of a slow one.
    fn take_pace(&self, upstream: &Upstream, pace: f64) {
        let now = self.clock.now();
        let mut health = self.health.borrow_mut();
        health.set_pace(&upstream.name, upstream.incarnation, pace, now);
        if health.pace(&upstream.name, upstream.incarnation, now) > 1.0 {
            tracing::info!(upstream = %upstream.name, pace, "engine is slow");
            let noted = (upstream.incarnation, pace, now);
            self.slow.borrow_mut().insert(upstream.name.clone(), noted);
        }
    }
}
