//! Finds out whether a silent stream waits for an engine that has failed.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::Timestamp;
use types::UpstreamName;

use crate::{Gateway, admission::Target, lifecycle::Run};

/// Time that an engine has to report what its calls wait for.
const REPORT_LIMIT: Duration = Duration::from_millis(200);
/// Time between two reports of an engine that this node asks for.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

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
        if !self.gateway.may_ask(&entry.name, REPORT_INTERVAL) {
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
        self.has_failed_stage(target)
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

/// When this node last asked engines for a report.
#[derive(Default)]
pub(crate) struct ReportTimes {
    times: HashMap<UpstreamName, Timestamp>,
}

impl Gateway {
    /// Whether an engine may be asked for a report again; counts as asking.
    fn may_ask(self: &Rc<Self>, name: &UpstreamName, interval: Duration) -> bool {
        let now = self.clock.now();
        let mut reports = self.reports.borrow_mut();
        if reports.times.get(name).is_some_and(|last| now.since(*last) < interval) {
            return false;
        }
        reports.times.insert(name.clone(), now);
        true
    }
}
