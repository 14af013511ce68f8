use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use strum::IntoStaticStr;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.034, 0.068, 0.1, 0.2, 0.34, 0.68, 1.0, 2.0, 5.0, 30.0];

/// Why a stream was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Gap {
    /// An attempt failed.
    Failure,
    /// The stream moved with its KV cache.
    Transfer,
    /// The stream moved with a prefill.
    Prefill,
}

/// Metrics of one node.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) first_token: HistogramVec,
    pub(crate) token_interval: HistogramVec,
    pub(crate) attempts_failed: IntCounter,
    pub(crate) layer_violations: IntCounter,
    pub(crate) transfers_failed: IntCounter,
    pub(crate) stream_gap: HistogramVec,
    pub(crate) config_revision: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let requests = counter_vec(
            &registry,
            "gypsumrack_requests_total",
            "Requests by class and verdict.",
            &["class", "verdict"],
        );
        let first_token = histogram_vec(
            &registry,
            "gypsumrack_first_token_seconds",
            "Time from arrival to the first token.",
            &["organisation", "class"],
        );
        let token_interval = histogram_vec(
            &registry,
            "gypsumrack_token_interval_seconds",
            "Time between two tokens.",
            &["organisation", "class"],
        );
        let attempts_failed = counter(
            &registry,
            "gypsumrack_attempts_failed_total",
            "Attempts that ended before the answer was whole.",
        );
        let layer_violations = counter(
            &registry,
            "gypsumrack_layer_violations_total",
            "Tokens whose receipts did not prove that every layer ran once, in order.",
        );
        let transfers_failed = counter(
            &registry,
            "gypsumrack_transfers_failed_total",
            "Streams whose KV cache could not be moved from a leaving engine.",
        );
        let stream_gap = histogram_vec(
            &registry,
            "gypsumrack_stream_gap_seconds",
            "Time between the tokens before and after an interruption of a stream.",
            &["cause"],
        );
        let config_revision = gauge(
            &registry,
            "gypsumrack_config_revision",
            "Revision of the configuration in force.",
        );
        Metrics {
            registry,
            requests,
            first_token,
            token_interval,
            attempts_failed,
            layer_violations,
            transfers_failed,
            stream_gap,
            config_revision,
        }
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        // Encoding fails only for metrics without a name or value, which the registry refuses.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("metric name is valid");
    registry.register(Box::new(metric.clone())).expect("metric name is unique");
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("metric name is valid");
    registry.register(Box::new(metric.clone())).expect("metric name is unique");
    metric
}

fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("metric name is valid");
    registry.register(Box::new(metric.clone())).expect("metric name is unique");
    metric
}

fn histogram_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let metric = HistogramVec::new(options, labels).expect("metric name is valid");
    registry.register(Box::new(metric.clone())).expect("metric name is unique");
    metric
}
