//! Finds out whether a silent stream waits for an engine that has failed.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use catalog::Upstream;
use clock::Timestamp;
use futures_util::future::join_all;
use types::UpstreamName;

use crate::{Gateway, admission::Target, lifecycle::Run};

/// Time that an engine has to report what its calls wait for.
const REPORT_LIMIT: Duration = Duration::from_millis(200);
/// Time between two reports of an engine that this node asks for.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two questions of this node for the pace of an engine.
const PACE_INTERVAL: Duration = Duration::from_millis(1000);

impl Run {
    /// Whether a silent call waits for an engine that has failed.
    pub(crate) async fn is_blocked(&self, target: &Target) -> bool {
        if target.stages.is_empty() {
            return false;
        }
        if self.has_failed_stage(target) {
            return true;
        }
        let entry = &target.upstream;
        let now = self.gateway.clock.now();
        let may_ask =
            self.gateway.reports.borrow_mut().blocked.may_ask(&entry.name, REPORT_INTERVAL, now);
        if !may_ask {
            return false;
        }
        let report = target.client.report(REPORT_LIMIT).await;
        match report {
            Ok(report) => {
                let blocked: BTreeSet<SocketAddr> = report.blocked.into_iter().collect();
                for addr in blocked {
                    if let Some(name) = self.gateway.upstream_at(addr) {
                        self.gateway.suspect(&name, "calls wait for it at the engine before it");
                    }
                }
            }
            Err(error) => self.gateway.suspect(&entry.name, &format!("no report: {error}")),
        }
        if self.has_failed_stage(target) {
            return true;
        }
        let names = target.stages.iter().map(|stage| stage.engine.clone()).collect();
        compio::runtime::spawn(look_for_slow(self.gateway.clone(), names)).detach();
        false
    }

    fn has_failed_stage(&self, target: &Target) -> bool {
        let gateway = &self.gateway;
        let beliefs = gateway.beliefs.borrow();
        let health = gateway.health.borrow();
        let now = gateway.clock.now();
        target.stages.iter().any(|stage| match beliefs.upstream(&stage.engine) {
            Some(upstream) => {
                upstream.addr != stage.addr
                    || health.failing_for(&stage.engine, upstream.boot, now).is_some()
            }
            None => true,
        })
    }
}

/// Asks the engines of a path that is slow for their pace, so that new requests take another one.
async fn look_for_slow(gateway: Rc<Gateway>, names: Vec<UpstreamName>) {
    let now = gateway.clock.now();
    let may_ask =
        |name: &UpstreamName| gateway.reports.borrow_mut().pace.may_ask(name, PACE_INTERVAL, now);
    let asked = names.into_iter().filter(may_ask).map(|name| {
        let gateway = gateway.clone();
        async move {
            let upstream = gateway.beliefs.borrow().upstream(&name).cloned();
            let Some(upstream) = upstream else { return };
            let report = gateway.client(&upstream).report(REPORT_LIMIT).await;
            match report {
                Ok(report) => gateway.take_pace(&upstream, report.pace),
                Err(error) => gateway.suspect(&name, &format!("no report: {error}")),
            }
        }
    });
    join_all(asked.collect::<Vec<_>>()).await;
}

/// When this node last asked engines for a report, by what it wanted to know.
#[derive(Default)]
pub(crate) struct ReportTimes {
    blocked: AskTimes,
    pace: AskTimes,
}

/// When each engine was last asked.
#[derive(Default)]
struct AskTimes(HashMap<UpstreamName, Timestamp>);

impl AskTimes {
    /// Whether an engine may be asked again; counts as asking.
    fn may_ask(&mut self, name: &UpstreamName, interval: Duration, now: Timestamp) -> bool {
        if self.0.get(name).is_some_and(|last| now.since(*last) < interval) {
            return false;
        }
        self.0.insert(name.clone(), now);
        true
    }
}

impl Gateway {
    /// Takes over the pace that an engine has reported, and tells the other nodes of a slow one.
    fn take_pace(&self, upstream: &Upstream, pace: f64) {
        let now = self.clock.now();
        let mut health = self.health.borrow_mut();
        health.set_pace(&upstream.name, upstream.boot, pace, now);
        if health.pace(&upstream.name, upstream.boot, now) > 1.0 {
            tracing::info!(upstream = %upstream.name, pace, "engine is slow");
            let noted = (upstream.boot, pace, now);
            self.slow.borrow_mut().insert(upstream.name.clone(), noted);
        }
    }
}
