use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};
use transport::{ConnectionObserver, CutCause, Refusal};

use crate::{Gateway, fleet_metrics::FleetMetrics};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 20.0];

/// The metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) fleet: FleetMetrics,
    /// Requests by organisation and outcome.
    pub(crate) requests: IntCounterVec,
    /// Time to the first byte of the response, by route.
    pub(crate) first_byte: HistogramVec,
    /// Retries by the verdict of the failed attempt, and retries that the retry budget did not
    /// allow.
    pub(crate) resends: IntCounterVec,
    /// Requests that more entry upstreams may have run than their route allows.
    pub(crate) excess_entries: IntCounter,
    /// Events forwarded to callers.
    pub(crate) events: IntCounter,
    /// Requests passed on to other nodes, and those of other nodes that this one has run or could not
    /// run.
    pub(crate) relayed: IntCounterVec,
    /// Times that this node has lost its links to all upstreams.
    pub(crate) link_losses: IntCounter,
    /// Times that an upstream was marked as failing.
    pub(crate) suspicions: IntCounter,
    /// Requests refused because engines crash while they run them, by what is refused.
    pub(crate) poison: IntCounterVec,
    /// Times that this node refused a part of prompts or a request, or ended such a refusal.
    pub(crate) refused_parts: IntCounter,
    /// Upstreams that were found to be leaving although their entry says that they serve, by who
    /// said so.
    pub(crate) leaving_marks: IntCounterVec,
    /// Refusals by which upstreams asked for a pause.
    pub(crate) pauses: IntCounter,
    /// Limits on the rate of requests that upstreams have named, by who said so.
    pub(crate) rate_limits: IntCounterVec,
    /// Notices of upstreams that were not valid and had no effect, by notice.
    pub(crate) invalid_notices: IntCounterVec,
    /// Orders sent to engines, by outcome.
    pub(crate) orders: IntCounterVec,
    /// Paths that were chosen, by whether they are predicted to meet the latency targets.
    pub(crate) paths: IntCounterVec,
    /// Streams of this node that wait for their first event.
    pub(crate) unread_prompts: IntGauge,
    /// Times that the links between failure domains were found to be slow.
    pub(crate) slow_crossings: IntCounter,
    /// Version of the routing table in force.
    pub(crate) table_version: IntGauge,
    /// Requests in flight.
    pub(crate) in_flight: IntGauge,
    /// Requests that found no capacity on arrival, by how their wait ended.
    pub(crate) waits: IntCounterVec,
    /// Times after which refused callers may retry, from the estimate of the waiting time.
    pub(crate) retry_after: Histogram,
    /// Requests that wait for capacity.
    pub(crate) waiting: IntGauge,
    /// Times that the limit on requests at a replica was reduced, by cause.
    pub(crate) replica_reductions: IntCounterVec,
    /// Requests refused because no replica was expected to be free before their deadline.
    pub(crate) replica_refusals: IntCounter,
    /// Requests whose connection ended before their response was complete, by cause.
    pub(crate) cut_requests: IntCounterVec,
    /// Responses sent before the request's body was read.
    pub(crate) early_responses: IntCounter,
    /// Requests refused and connections closed because a limit on callers was reached, by cause.
    pub(crate) limit_refusals: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let metrics = Metrics {
            fleet: FleetMetrics::new(&registry),
            requests: counter_vec(
                "gypsumrack_requests_total",
                "Requests by outcome",
                &["organisation", "outcome"],
            ),
            first_byte: HistogramVec::new(
                HistogramOpts::new(
                    "gypsumrack_first_byte_seconds",
                    "Time from the request to the first byte of its answer",
                )
                .buckets(LATENCY_BOUNDS.to_vec()),
                &["class"],
            )
            .expect("histogram is valid"),
            resends: counter_vec(
                "gypsumrack_resends_total",
                "Sends beyond the first one",
                &["cause"],
            ),
            excess_entries: IntCounter::new(
                "gypsumrack_excess_entries_total",
                "Requests that more upstreams may have run than their route allows",
            )
            .expect("counter is valid"),
            events: IntCounter::new("gypsumrack_events_total", "Events forwarded")
                .expect("counter is valid"),
            relayed: counter_vec(
                "gypsumrack_relayed_requests_total",
                "Requests that nodes without links to the upstreams pass on",
                &["step"],
            ),
            link_losses: IntCounter::new(
                "gypsumrack_link_losses_total",
                "Times that the links to all upstreams were lost",
            )
            .expect("counter is valid"),
            suspicions: IntCounter::new(
                "gypsumrack_suspicions_total",
                "Times that an upstream was found to fail",
            )
            .expect("counter is valid"),
            poison: counter_vec(
                "gypsumrack_poison_requests_total",
                "Requests refused because upstreams crash while they run them",
                &["cause"],
            ),
            refused_parts: IntCounter::new(
                "gypsumrack_refused_parts_total",
                "Decisions to refuse a part of prompts or a request, or to refuse it no longer",
            )
            .expect("counter is valid"),
            leaving_marks: counter_vec(
                "gypsumrack_upstreams_leaving_total",
                "Upstreams that said that they are leaving before their entry did",
                &["source"],
            ),
            pauses: IntCounter::new(
                "gypsumrack_upstream_pauses_total",
                "Refusals by which upstreams asked for a pause",
            )
            .expect("counter is valid"),
            rate_limits: counter_vec(
                "gypsumrack_rate_limits_total",
                "Limits on the rate of requests that upstreams have named or changed",
                &["source"],
            ),
            invalid_notices: counter_vec(
                "gypsumrack_invalid_notices_total",
                "Headers by which upstreams announce something and that were not valid",
                &["notice"],
            ),
            orders: counter_vec("gypsumrack_orders_total", "Orders to engines", &["outcome"]),
            paths: counter_vec(
                "gypsumrack_paths_total",
                "Paths chosen by whether they should meet the latency targets",
                &["prediction"],
            ),
            unread_prompts: IntGauge::new(
                "gypsumrack_unread_prompts",
                "Streams that wait for their first event",
            )
            .expect("gauge is valid"),
            slow_crossings: IntCounter::new(
                "gypsumrack_slow_crossings_total",
                "Times that links between failure domains were found to be slow",
            )
            .expect("counter is valid"),
            table_version: IntGauge::new(
                "gypsumrack_table_version",
                "Version of the configuration in force",
            )
            .expect("gauge is valid"),
            in_flight: IntGauge::new("gypsumrack_in_flight", "Requests in flight")
                .expect("gauge is valid"),
            waiting: IntGauge::new("gypsumrack_waiting", "Requests that wait for room")
                .expect("gauge is valid"),
            waits: counter_vec(
                "gypsumrack_waits_total",
                "Requests that found no room on arrival",
                &["outcome"],
            ),
            retry_after: Histogram::with_opts(
                HistogramOpts::new(
                    "gypsumrack_retry_after_seconds",
                    "Time after which refused callers may retry",
                )
                .buckets(LATENCY_BOUNDS.to_vec()),
            )
            .expect("histogram is valid"),
            replica_reductions: counter_vec(
                "gypsumrack_replica_limit_reductions_total",
                "Times that the limit on requests at a replica was reduced",
                &["cause"],
            ),
            replica_refusals: IntCounter::new(
                "gypsumrack_replica_refusals_total",
                "Requests refused since no replica was expected to be free in time",
            )
            .expect("counter is valid"),
            cut_requests: counter_vec(
                "gypsumrack_cut_requests_total",
                "Requests whose connection ended before their response was complete",
                &["cause"],
            ),
            early_responses: IntCounter::new(
                "gypsumrack_early_responses_total",
                "Responses sent before the body of the request was read",
            )
            .expect("counter is valid"),
            limit_refusals: counter_vec(
                "gypsumrack_limit_refusals_total",
                "Requests refused and connections closed because a limit on callers was reached",
                &["cause"],
            ),
            registry,
        };
        metrics.register();
        metrics
    }

    /// Encodes the metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!(%error, "metrics cannot be encoded");
        }
        text
    }

    fn register(&self) {
        let collectors: Vec<Box<dyn prometheus::core::Collector>> = vec![
            Box::new(self.requests.clone()),
            Box::new(self.first_byte.clone()),
            Box::new(self.resends.clone()),
            Box::new(self.excess_entries.clone()),
            Box::new(self.events.clone()),
            Box::new(self.relayed.clone()),
            Box::new(self.link_losses.clone()),
            Box::new(self.suspicions.clone()),
            Box::new(self.poison.clone()),
            Box::new(self.refused_parts.clone()),
            Box::new(self.leaving_marks.clone()),
            Box::new(self.pauses.clone()),
            Box::new(self.rate_limits.clone()),
            Box::new(self.invalid_notices.clone()),
            Box::new(self.orders.clone()),
            Box::new(self.paths.clone()),
            Box::new(self.unread_prompts.clone()),
            Box::new(self.slow_crossings.clone()),
            Box::new(self.table_version.clone()),
            Box::new(self.in_flight.clone()),
            Box::new(self.waiting.clone()),
            Box::new(self.waits.clone()),
            Box::new(self.retry_after.clone()),
            Box::new(self.replica_reductions.clone()),
            Box::new(self.replica_refusals.clone()),
            Box::new(self.cut_requests.clone()),
            Box::new(self.early_responses.clone()),
            Box::new(self.limit_refusals.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector).expect("names of the metrics differ");
        }
    }
}

impl ConnectionObserver for Gateway {
    fn record_cut(&self, cause: CutCause) {
        self.metrics.cut_requests.with_label_values(&[<&str>::from(cause)]).inc();
    }

    fn record_early_response(&self) {
        self.metrics.early_responses.inc();
    }

    fn record_refusal(&self, cause: Refusal) {
        self.metrics.limit_refusals.with_label_values(&[<&str>::from(cause)]).inc();
    }
}

fn counter_vec(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("counter is valid")
}
