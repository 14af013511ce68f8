use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use clock::Timestamp;
use types::{Domain, LayerRange, ModelName, Stage, UpstreamName};

use crate::{LinkTable, PrefixTable, RouteRequest, StallRecord};

/// Largest rise of the round trip's estimate with one report: this factor and this step.
const ROUND_TRIP_RISE: f64 = 1.25;
const ROUND_TRIP_STEP: Duration = Duration::from_millis(1);

/// What an engine reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number that changes with each start of the engine.
    pub incarnation: u64,
    /// Loaded model; empty if none.
    pub model: ModelName,
    /// Version of the loaded model.
    pub version: Arc<str>,
    /// Loaded layers.
    pub layers: LayerRange,
    /// Sessions that the engine can run at once.
    pub slots: u32,
    /// Sessions that ran when the report was made.
    pub running: u32,
    /// Time of a decoding step with one session.
    pub step: Duration,
    /// Time of the prefill of one token.
    pub prefill: Duration,
    /// Whether the engine is about to leave.
    pub leaving: bool,
}

/// What a node knows about one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Address of the engine's API.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Last report, if there was one.
    pub report: Option<LoadReport>,
    /// Requests of this node that run now.
    pub outstanding: u32,
    /// Positions of the prefills that this node has started and that have not ended.
    pub prefilling: u32,
    /// Mean number of requests of this node that ran between the last two reports.
    pub mean_outstanding: TimeAverage,
    /// Sessions of other nodes, estimated from the reports.
    pub remote_sessions: f64,
    /// Whether the list of VMs or an operator says that the engine is leaving.
    pub leaving: bool,
    /// The engine failed and is not used before this time.
    pub suspect_until: Option<Timestamp>,
    /// The engine could not be reached and is not used before this time or its next report.
    pub unreachable_until: Option<Timestamp>,
    /// Progress and stalls of streams on the engine.
    pub stalls: StallRecord,
    /// Time of a small exchange with the engine.
    pub round_trip: Duration,
}

/// What a node knows about all engines.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Engines by name.
    pub engines: BTreeMap<UpstreamName, EngineState>,
    /// Costs of links between domains.
    pub links: LinkTable,
    /// Prompt prefixes that engines hold.
    pub prefixes: PrefixTable,
}

/// Mean of a count over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeAverage {
    since: Timestamp,
    last: Timestamp,
    /// Sum of the count over time, in seconds.
    sum: f64,
}

impl TimeAverage {
    /// Counts the time up to now with the value that the count had.
    fn advance(&mut self, now: Timestamp, count: u32) {
        self.sum += f64::from(count) * now.since(self.last).as_secs_f64();
        self.last = now;
    }

    /// The mean since the last restart.
    fn restart(&mut self, now: Timestamp, count: u32) -> f64 {
        self.advance(now, count);
        let seconds = now.since(self.since).as_secs_f64();
        let mean = if seconds > 0.0 { self.sum / seconds } else { f64::from(count) };
        *self = TimeAverage { since: now, last: now, sum: 0.0 };
        mean
    }
}

impl EngineState {
    /// Creates the state of an engine that has not reported yet.
    pub fn new(addr: SocketAddr, domain: Domain) -> EngineState {
        EngineState {
            addr,
            domain,
            report: None,
            outstanding: 0,
            prefilling: 0,
            mean_outstanding: TimeAverage::default(),
            remote_sessions: 0.0,
            leaving: false,
            suspect_until: None,
            unreachable_until: None,
            stalls: StallRecord::default(),
            round_trip: Duration::ZERO,
        }
    }

    /// Takes a new report. A restart clears the suspicion of the earlier process.
    pub fn record_report(&mut self, report: LoadReport, round_trip: Duration, now: Timestamp) {
        let restarted = self.report.as_ref().is_some_and(|r| r.incarnation != report.incarnation);
        if restarted {
            self.suspect_until = None;
            self.stalls = StallRecord::default();
        }
        self.unreachable_until = None;
        // The report is older than the node's own count, so it is compared with the mean of that
        // count. The rest is the load of other nodes, smoothed because the two differ in time.
        let own = self.mean_outstanding.restart(now, self.outstanding);
        let remote_sessions = (f64::from(report.running) - own).max(0.0);
        self.remote_sessions = if self.report.is_none() {
            remote_sessions
        } else {
            (self.remote_sessions + remote_sessions) / 2.0
        };
        self.report = Some(report);
        // One slow exchange, for example over a connection that fell silent, must not raise the
        // estimate much; a link that stays slow raises it step by step.
        let raised = self.round_trip.mul_f64(ROUND_TRIP_RISE) + ROUND_TRIP_STEP;
        self.round_trip = round_trip.min(raised);
    }

    /// Estimates how many sessions run on the engine now: those of this node, and those of other
    /// nodes according to the reports.
    pub fn estimated_sessions(&self) -> u32 {
        self.remote_sessions.round() as u32 + self.outstanding
    }

    /// Whether the engine has a free slot, where `percent` of its slots may be used and zero means
    /// that there is no limit.
    pub fn has_slot(&self, percent: u64) -> bool {
        let slots = self.report.as_ref().map_or(0, |report| u64::from(report.slots));
        let limit = (slots * percent / 100).max(1);
        percent == 0 || u64::from(self.estimated_sessions()) < limit
    }

    /// Whether new work may go to the engine.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let suspect = self.suspect_until.is_some_and(|until| now < until);
        let unreachable = self.unreachable_until.is_some_and(|until| now < until);
        self.report.is_some() && !self.is_leaving() && !suspect && !unreachable
    }

    /// Whether the list of VMs, an operator or the engine itself says that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// Whether the engine holds layers of the requested model and version.
    pub fn serves(&self, request: &RouteRequest) -> bool {
        self.report.as_ref().is_some_and(|report| {
            report.model == request.model
                && report.version == request.version
                && !report.layers.is_empty()
        })
    }
}

impl LoadView {
    /// Counts the start of a request on a route.
    pub fn start_request(&mut self, route: &[Stage], now: Timestamp) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.mean_outstanding.advance(now, engine.outstanding);
                engine.outstanding += 1;
            }
        }
    }

    /// Counts the end of a request on a route.
    pub fn finish_request(&mut self, route: &[Stage], now: Timestamp) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.mean_outstanding.advance(now, engine.outstanding);
                engine.outstanding = engine.outstanding.saturating_sub(1);
            }
        }
    }

    /// Keeps new work from an engine until `until`.
    pub fn mark_suspect(&mut self, engine: &UpstreamName, until: Timestamp) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.suspect_until = Some(until);
        }
    }

    /// Keeps new work from an engine that could not be reached until its next report, at most
    /// until `until`.
    pub fn mark_unreachable(&mut self, engine: &UpstreamName, until: Timestamp) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.unreachable_until = Some(until);
        }
    }
}
