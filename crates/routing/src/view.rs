use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use clock::Timestamp;
use types::{Domain, LayerRange, ModelName, Stage, UpstreamName};

use crate::{LinkTable, PrefixTable, RouteRequest, StallRecord};

/// One report raises the estimated round trip at most by this factor, plus [`ROUND_TRIP_STEP`].
const ROUND_TRIP_FACTOR: f64 = 1.25;
/// Added to the limit of the estimated round trip, so that an estimate of zero can rise.
const ROUND_TRIP_STEP: Duration = Duration::from_millis(1);

/// Longest step or prefill time that is taken over from a report. The choice of a route multiplies
/// these times by numbers of sessions and tokens, which must not exceed the range of a duration.
const MAX_REPORTED_TIME: Duration = Duration::from_secs(60);
/// Largest number of sessions that is taken over from a report.
const MAX_REPORTED_SESSIONS: u32 = 1 << 16;

/// State that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number that changes with each start of the engine.
    pub incarnation: u64,
    /// Loaded model; empty if there is none.
    pub model: ModelName,
    /// Version of the loaded model.
    pub version: Arc<str>,
    /// Loaded layers.
    pub layers: LayerRange,
    /// Number of sessions that the engine can run at once. A session is a request on one engine.
    pub slots: u32,
    /// Number of sessions that were running at the time of the report.
    pub running: u32,
    /// Duration of a decoding step with one session.
    pub step: Duration,
    /// Duration of the prefill of one token.
    pub prefill: Duration,
    /// Whether the engine is about to leave.
    pub leaving: bool,
}

/// State of one engine, as known to a node.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Address of the engine's API.
    pub addr: SocketAddr,
    /// Failure domain that the engine runs in.
    pub domain: Domain,
    /// Last report; `None` if there was none.
    pub report: Option<LoadReport>,
    /// Number of requests of this node that are running on the engine.
    pub outstanding: u32,
    /// Number of prompt tokens in the prefills that this node has started and that have not ended.
    pub prefill_tokens: u32,
    /// Mean of [`outstanding`](Self::outstanding) since the last report.
    pub mean_outstanding: TimeAverage,
    /// Number of sessions of other nodes, estimated from the reports.
    pub remote_sessions: f64,
    /// Whether the list of VMs or an operator says that the engine is leaving.
    pub leaving: bool,
    /// Time until which the engine is not used because it failed.
    pub suspect_until: Option<Timestamp>,
    /// Time until which the engine is not used because it could not be reached. Its next report
    /// clears this.
    pub unreachable_until: Option<Timestamp>,
    /// Progress and stalls of the streams on the engine.
    pub stalls: StallRecord,
    /// Estimated time of a short exchange with the engine.
    pub round_trip: Duration,
}

/// State of all engines, as known to a node.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Engines by name.
    pub engines: BTreeMap<UpstreamName, EngineState>,
    /// Costs of the links between domains.
    pub links: LinkTable,
    /// Prompt prefixes that the engines have cached.
    pub prefixes: PrefixTable,
}

/// Time-weighted mean of a count.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeAverage {
    /// Start of the period.
    since: Timestamp,
    /// Time up to which `sum` is complete.
    last: Timestamp,
    /// Integral of the count over time, in seconds.
    sum: f64,
}

impl TimeAverage {
    /// Extends the integral to `now`, with the value that the count has had since the last call.
    fn advance(&mut self, now: Timestamp, count: u32) {
        self.sum += f64::from(count) * now.since(self.last).as_secs_f64();
        self.last = now;
    }

    /// Returns the mean since the last restart and starts a new period.
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
            prefill_tokens: 0,
            mean_outstanding: TimeAverage::default(),
            remote_sessions: 0.0,
            leaving: false,
            suspect_until: None,
            unreachable_until: None,
            stalls: StallRecord::default(),
            round_trip: Duration::ZERO,
        }
    }

    /// Records a new report. If the engine has restarted, failures and stalls of the earlier
    /// process are discarded.
    pub fn record_report(&mut self, report: LoadReport, round_trip: Duration, now: Timestamp) {
        let report = LoadReport {
            running: report.running.min(MAX_REPORTED_SESSIONS),
            step: report.step.min(MAX_REPORTED_TIME),
            prefill: report.prefill.min(MAX_REPORTED_TIME),
            ..report
        };
        let restarted =
            self.report.as_ref().is_some_and(|known| known.incarnation != report.incarnation);
        if restarted {
            self.suspect_until = None;
            self.stalls = StallRecord::default();
        }
        self.unreachable_until = None;
        // The report is older than this node's own count, so the mean of that count is subtracted
        // from it. The difference is the load of other nodes. It is smoothed because the report and
        // the count belong to different times.
        let own_mean = self.mean_outstanding.restart(now, self.outstanding);
        let remote_sessions = (f64::from(report.running) - own_mean).max(0.0);
        self.remote_sessions = if self.report.is_none() {
            remote_sessions
        } else {
            (self.remote_sessions + remote_sessions) / 2.0
        };
        self.report = Some(report);
        // A single slow exchange, for example over a connection that stalled, must not raise the
        // estimate much. If the link stays slow, each report raises it further.
        let raised = self.round_trip.mul_f64(ROUND_TRIP_FACTOR) + ROUND_TRIP_STEP;
        self.round_trip = round_trip.min(raised);
    }

    /// Estimates how many sessions are running on the engine now: those of this node, and those of
    /// other nodes according to the reports.
    pub fn estimated_sessions(&self) -> u32 {
        self.remote_sessions.round() as u32 + self.outstanding
    }

    /// Whether the engine has a free slot if at most `percent` of its slots may be used. Zero means
    /// that there is no limit. At least one slot may always be used.
    pub fn has_slot(&self, percent: u64) -> bool {
        let slots = self.report.as_ref().map_or(0, |report| u64::from(report.slots));
        let limit = (slots * percent / 100).max(1);
        percent == 0 || u64::from(self.estimated_sessions()) < limit
    }

    /// Whether new requests may be sent to the engine.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let suspect = self.suspect_until.is_some_and(|until| now < until);
        let unreachable = self.unreachable_until.is_some_and(|until| now < until);
        self.report.is_some() && !self.is_leaving() && !suspect && !unreachable
    }

    /// Whether the first read of the engine's report has not ended yet.
    pub fn awaits_first_report(&self) -> bool {
        self.report.is_none() && self.unreachable_until.is_none() && !self.is_leaving()
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
    /// Counts a request as started on the engines of a route.
    pub fn start_request(&mut self, route: &[Stage], now: Timestamp) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.mean_outstanding.advance(now, engine.outstanding);
                engine.outstanding += 1;
            }
        }
    }

    /// Counts a request as ended on the engines of a route.
    pub fn finish_request(&mut self, route: &[Stage], now: Timestamp) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.mean_outstanding.advance(now, engine.outstanding);
                engine.outstanding = engine.outstanding.saturating_sub(1);
            }
        }
    }

    /// Keeps new requests from an engine that has failed, until `until`.
    pub fn mark_suspect(&mut self, engine: &UpstreamName, until: Timestamp) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.suspect_until = Some(until);
        }
    }

    /// Keeps new requests from an engine that could not be reached, until its next report or
    /// `until`, whichever is earlier.
    pub fn mark_unreachable(&mut self, engine: &UpstreamName, until: Timestamp) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.unreachable_until = Some(until);
        }
    }
}
