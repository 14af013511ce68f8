//! The metrics that a node exports to Prometheus.

use std::{cell::RefCell, collections::BTreeSet};

use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, core::Collector,
};
use strum::IntoStaticStr;
use types::Organisation;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.034, 0.068, 0.1, 0.2, 0.34, 0.68, 1.0, 2.0, 5.0, 30.0];
/// Number of organisations with a label value of their own. Each one costs up to 32 series for each
/// histogram and class, and callers can invent names.
const MAX_ORGANISATIONS: usize = 64;
/// Label value that all further organisations share.
const OTHER_ORGANISATIONS: &str = "other";

/// Why a stream was interrupted; a label value of `gypsumrack_stream_gap_seconds`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Interruption {
    /// An attempt failed.
    Failure,
    /// The stream was moved to other engines with its KV cache.
    Transfer,
    /// The stream was moved to other engines with a new prefill.
    Prefill,
}

/// Metrics of one node.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) organisations: OrganisationLabels,
    pub(crate) requests: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    pub(crate) first_token: HistogramVec,
    pub(crate) token_interval: HistogramVec,
    pub(crate) queue_length: IntGaugeVec,
    pub(crate) queue_wait: HistogramVec,
    pub(crate) queue_refusals: IntCounterVec,
    pub(crate) attempts: IntCounter,
    pub(crate) attempts_failed: IntCounter,
    pub(crate) retries: IntCounter,
    pub(crate) layer_violations: IntCounter,
    pub(crate) transfers_failed: IntCounter,
    pub(crate) stream_gap: HistogramVec,
    pub(crate) claims: IntCounter,
    pub(crate) replays: IntCounter,
    pub(crate) keyvalue_calls: IntCounterVec,
    pub(crate) config_revision: IntGauge,
    pub(crate) peer_bytes: IntCounterVec,
}

/// Names of all metrics, for the test that checks that the operators' documentation lists them.
pub fn metric_names() -> Vec<String> {
    let mut names = Registrar::default();
    Metrics::register(&mut names, 0.0);
    names.names
}

impl Metrics {
    /// Registers the metrics of a node that started `started` seconds after the Unix epoch.
    pub(crate) fn new(started: f64) -> Metrics {
        Metrics::register(&mut Registrar::default(), started)
    }

    fn register(registrar: &mut Registrar, started: f64) -> Metrics {
        let start_time = registrar.add(Gauge::new(
            "process_start_time_seconds",
            "Start of the process, in seconds since the Unix epoch.",
        ));
        start_time.set(started);
        Metrics {
            organisations: OrganisationLabels::default(),
            requests: registrar.counter_vec(
                "gypsumrack_requests_total",
                "Requests by class and verdict.",
                &["class", "verdict"],
            ),
            refusals: registrar.counter_vec(
                "gypsumrack_refusals_total",
                "Requests that were answered with not-run, by kind of failure.",
                &["kind"],
            ),
            first_token: registrar.histogram_vec(
                "gypsumrack_first_token_seconds",
                "Time from arrival to the first token.",
                &["organisation", "class"],
            ),
            token_interval: registrar.histogram_vec(
                "gypsumrack_token_interval_seconds",
                "Time between two tokens.",
                &["organisation", "class"],
            ),
            queue_length: registrar.add(IntGaugeVec::new(
                Opts::new("gypsumrack_queue_length", "Requests that wait for a route."),
                &["model"],
            )),
            queue_wait: registrar.histogram_vec(
                "gypsumrack_queue_wait_seconds",
                "Time from arrival to the first route.",
                &["organisation", "class"],
            ),
            queue_refusals: registrar.counter_vec(
                "gypsumrack_queue_refusals_total",
                "Requests that got no route, by reason.",
                &["reason"],
            ),
            attempts: registrar
                .counter("gypsumrack_attempts_total", "Attempts to run a completion on a route."),
            attempts_failed: registrar.counter(
                "gypsumrack_attempts_failed_total",
                "Attempts that ended before the answer was whole.",
            ),
            retries: registrar.counter(
                "gypsumrack_retries_total",
                "Attempts that were made because an earlier one had failed.",
            ),
            layer_violations: registrar.counter(
                "gypsumrack_layer_violations_total",
                "Tokens whose receipts did not prove that every layer ran once, in order.",
            ),
            transfers_failed: registrar.counter(
                "gypsumrack_transfers_failed_total",
                "Streams whose KV cache could not be moved from a leaving engine.",
            ),
            stream_gap: registrar.histogram_vec(
                "gypsumrack_stream_gap_seconds",
                "Time between the tokens before and after an interruption of a stream.",
                &["cause"],
            ),
            claims: registrar
                .counter("gypsumrack_claims_total", "Idempotency keys that this node claimed."),
            replays: registrar.counter(
                "gypsumrack_replays_total",
                "Requests that got the answer of an earlier send.",
            ),
            keyvalue_calls: registrar.counter_vec(
                "gypsumrack_keyvalue_calls_total",
                "Calls of the key-value service by kind and outcome.",
                &["call", "outcome"],
            ),
            config_revision: registrar.add(IntGauge::new(
                "gypsumrack_config_revision",
                "Revision of the configuration in force.",
            )),
            peer_bytes: registrar.counter_vec(
                "gypsumrack_peer_bytes_total",
                "Bytes of messages between nodes, with their h2 headers.",
                &["kind", "direction"],
            ),
            registry: registrar.registry.clone(),
        }
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        // Encoding fails only for a metric without a name or value, and the registry accepts none.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// The label values for organisations, of which there is a limited number.
#[derive(Default)]
pub struct OrganisationLabels {
    known: RefCell<BTreeSet<Organisation>>,
}

impl OrganisationLabels {
    /// The label value of an organisation: its name if it is one of the first ones seen, else a
    /// shared value.
    pub fn label<'a>(&self, organisation: &'a Organisation) -> &'a str {
        let mut known = self.known.borrow_mut();
        if known.contains(organisation) {
            return organisation.as_str();
        }
        if known.len() == MAX_ORGANISATIONS {
            return OTHER_ORGANISATIONS;
        }
        known.insert(organisation.clone());
        organisation.as_str()
    }
}

/// Registers metrics and collects their names. The registry cannot list all names, because a metric
/// with labels has no series before its first use.
#[derive(Default)]
struct Registrar {
    registry: Registry,
    names: Vec<String>,
}

impl Registrar {
    fn add<M: Collector + Clone + 'static>(&mut self, metric: prometheus::Result<M>) -> M {
        let metric = metric.expect("metric name is valid");
        self.names.extend(metric.desc().iter().map(|desc| desc.fq_name.clone()));
        self.registry.register(Box::new(metric.clone())).expect("metric name is unique");
        metric
    }

    fn counter(&mut self, name: &str, help: &str) -> IntCounter {
        self.add(IntCounter::new(name, help))
    }

    fn counter_vec(&mut self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.add(IntCounterVec::new(Opts::new(name, help), labels))
    }

    fn histogram_vec(&mut self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
        self.add(HistogramVec::new(options, labels))
    }
}
