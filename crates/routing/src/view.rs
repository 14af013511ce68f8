use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use clock::Timestamp;
use types::{Domain, LayerRange, ModelName, Stage, UpstreamName};

use crate::{RouteRequest, StallRecord};

/// Largest rise of the round trip's estimate with one report: this factor and this step.
const ROUND_TRIP_RISE: f64 = 1.25;
const ROUND_TRIP_STEP: Duration = Duration::from_millis(1);

/// What an engine reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
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
    /// Time of one decoding step.
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
    pub report: Option<Report>,
    /// Requests of this node that run now.
    pub outstanding: u32,
    /// Requests that this node has started since the last report.
    pub started: u32,
    /// Requests of this node that have ended since the last report.
    pub finished: u32,
    /// Positions of the prefills that this node has started and that have not ended.
    pub prefilling: u32,
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
}

impl EngineState {
    /// Creates the state of an engine that has not reported yet.
    pub fn new(addr: SocketAddr, domain: Domain) -> EngineState {
        EngineState {
            addr,
            domain,
            report: None,
            outstanding: 0,
            started: 0,
            finished: 0,
            prefilling: 0,
            leaving: false,
            suspect_until: None,
            unreachable_until: None,
            stalls: StallRecord::default(),
            round_trip: Duration::ZERO,
        }
    }

    /// Takes a new report. A restart clears the suspicion of the earlier process.
    pub fn record(&mut self, report: Report, round_trip: Duration) {
        let restarted = self.report.as_ref().is_some_and(|r| r.incarnation != report.incarnation);
        if restarted {
            self.suspect_until = None;
            self.stalls = StallRecord::default();
        }
        self.unreachable_until = None;
        self.report = Some(report);
        self.started = 0;
        self.finished = 0;
        // One slow exchange, for example over a connection that fell silent, must not raise the
        // estimate much; a link that stays slow raises it step by step.
        let raised = self.round_trip.mul_f64(ROUND_TRIP_RISE) + ROUND_TRIP_STEP;
        self.round_trip = round_trip.min(raised);
    }

    /// Estimates how many sessions run on the engine now: those of the last report, corrected by
    /// what this node has started and ended since.
    pub fn estimated_sessions(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |report| report.running);
        (reported + self.started).saturating_sub(self.finished).max(self.outstanding)
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
    pub fn start(&mut self, route: &[Stage]) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.outstanding += 1;
                engine.started += 1;
            }
        }
    }

    /// Counts the end of a request on a route.
    pub fn finish(&mut self, route: &[Stage]) {
        for stage in route {
            if let Some(engine) = self.engines.get_mut(&stage.engine) {
                engine.outstanding = engine.outstanding.saturating_sub(1);
                engine.finished += 1;
            }
        }
    }

    /// Keeps new work from an engine until `until`.
    pub fn suspect(&mut self, engine: &UpstreamName, until: Timestamp) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.suspect_until = Some(until);
        }
    }

    /// Keeps new work from an engine that could not be reached until its next report, at most
    /// until `until`.
    pub fn unreachable(&mut self, engine: &UpstreamName, until: Timestamp) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.unreachable_until = Some(until);
        }
    }
}
