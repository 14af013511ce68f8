use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// How the router chooses the upstreams for a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum BalancingPolicy {
    /// Smallest estimated time over all stages.
    #[default]
    Estimate,
    /// Like `estimate`, but without the node's own counts of outstanding requests; a baseline for
    /// benchmarks.
    EstimateByReports,
    /// Each replica in turn; a baseline for benchmarks.
    RoundRobin,
    /// Replica with the fewest outstanding requests of this node; a baseline for benchmarks.
    LeastOutstanding,
}

/// Limits and routing for requests. The fleet has a default policy; an exception can change each of
/// its values for an organisation, model or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Load-balancing policy: how the router chooses the upstreams for a request.
    pub route: BalancingPolicy,
    /// Deadline of a request that does not set one, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum time that an attempt waits for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Maximum time that an attempt waits for each further token, in milliseconds.
    pub progress_ms: u64,
    /// Maximum total time of a call to a plain service, in milliseconds. It includes retries and
    /// the wait for another holder of the same idempotency key.
    pub service_ms: u64,
    /// Maximum number of attempts for one request. An attempt of an idempotent call to a plain
    /// service may be sent twice, because it is hedged.
    pub attempt_limit: u64,
    /// Number of upstream crashes after which the request that caused them is refused.
    pub crash_limit: u64,
    /// Retries that are allowed, as a percentage of the requests.
    pub retry_percent: u64,
    /// Maximum number of requests that wait for one model on one node.
    pub queue_depth: u64,
    /// Maximum number of sessions on an engine, as a percentage of its slots. Zero means no limit,
    /// which is a baseline for benchmarks.
    pub slot_percent: u64,
    /// Weight of an organisation in the fair sharing of the capacity.
    pub weight: u64,
    /// Time for which finished idempotency keys are kept, in hours.
    pub retention_hours: u64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            route: BalancingPolicy::Estimate,
            deadline_ms: 30_000,
            first_token_ms: 2_000,
            progress_ms: 400,
            service_ms: 5_000,
            attempt_limit: 8,
            crash_limit: 2,
            retry_percent: 10,
            queue_depth: 256,
            slot_percent: 100,
            weight: 1,
            retention_hours: 24,
        }
    }
}

/// Changes that an exception makes to the default policy. An absent value is not changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicyChange {
    /// See [`Policy::route`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<BalancingPolicy>,
    /// See [`Policy::deadline_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// See [`Policy::first_token_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// See [`Policy::progress_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub progress_ms: Option<u64>,
    /// See [`Policy::service_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service_ms: Option<u64>,
    /// See [`Policy::attempt_limit`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt_limit: Option<u64>,
    /// See [`Policy::crash_limit`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash_limit: Option<u64>,
    /// See [`Policy::retry_percent`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_percent: Option<u64>,
    /// See [`Policy::queue_depth`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_depth: Option<u64>,
    /// See [`Policy::slot_percent`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slot_percent: Option<u64>,
    /// See [`Policy::weight`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u64>,
    /// See [`Policy::retention_hours`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retention_hours: Option<u64>,
}

impl Policy {
    /// Applies the changes of an exception.
    pub fn apply(&mut self, change: &PolicyChange) {
        fn set<T: Copy>(value: &mut T, change: Option<T>) {
            if let Some(change) = change {
                *value = change;
            }
        }
        set(&mut self.route, change.route);
        set(&mut self.deadline_ms, change.deadline_ms);
        set(&mut self.first_token_ms, change.first_token_ms);
        set(&mut self.progress_ms, change.progress_ms);
        set(&mut self.service_ms, change.service_ms);
        set(&mut self.attempt_limit, change.attempt_limit);
        set(&mut self.crash_limit, change.crash_limit);
        set(&mut self.retry_percent, change.retry_percent);
        set(&mut self.queue_depth, change.queue_depth);
        set(&mut self.slot_percent, change.slot_percent);
        set(&mut self.weight, change.weight);
        set(&mut self.retention_hours, change.retention_hours);
    }
}
