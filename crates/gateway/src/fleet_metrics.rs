//! Metrics of what this node knows about the load and the demand of the fleet.

use prometheus::{Gauge, IntCounter, IntGauge, IntGaugeVec, Opts, Registry, core::Collector};

use crate::Gateway;

/// The metrics of what this node knows about the fleet.
pub(crate) struct FleetMetrics {
    /// Age of the oldest load of another node that counts, in seconds.
    load_age: Gauge,
    /// Share of the registered nodes whose load is known.
    coverage: Gauge,
    /// Whether this node is under pressure.
    pressure: IntGauge,
    /// Requests of all nodes by service, priority and state.
    requests: IntGaugeVec,
    /// Reports of demand that this node has sent.
    pub(crate) reports_sent: IntCounter,
    /// Reports of demand of other nodes.
    pub(crate) reports_received: IntCounter,
}

impl FleetMetrics {
    /// Creates the metrics and registers them.
    pub(crate) fn new(registry: &Registry) -> FleetMetrics {
        let requests = Opts::new(
            "gypsumrack_fleet_requests",
            "Requests of all nodes according to their reports under pressure",
        );
        let metrics = FleetMetrics {
            load_age: Gauge::new(
                "gypsumrack_load_age_seconds",
                "Age of the oldest load of another node that counts",
            )
            .expect("gauge is valid"),
            coverage: Gauge::new(
                "gypsumrack_load_coverage",
                "Share of the registered nodes whose load is known",
            )
            .expect("gauge is valid"),
            pressure: IntGauge::new("gypsumrack_pressure", "Whether the node is under pressure")
                .expect("gauge is valid"),
            requests: IntGaugeVec::new(requests, &["service", "priority", "state"])
                .expect("gauge is valid"),
            reports_sent: IntCounter::new(
                "gypsumrack_demand_reports_sent_total",
                "Reports of demand sent to the other nodes",
            )
            .expect("counter is valid"),
            reports_received: IntCounter::new(
                "gypsumrack_demand_reports_received_total",
                "Reports of demand of other nodes",
            )
            .expect("counter is valid"),
        };
        let collectors: [Box<dyn Collector>; 6] = [
            Box::new(metrics.load_age.clone()),
            Box::new(metrics.coverage.clone()),
            Box::new(metrics.pressure.clone()),
            Box::new(metrics.requests.clone()),
            Box::new(metrics.reports_sent.clone()),
            Box::new(metrics.reports_received.clone()),
        ];
        for collector in collectors {
            registry.register(collector).expect("names of the metrics differ");
        }
        metrics
    }
}

impl Gateway {
    /// Updates the metrics that are not counted as things happen.
    pub(crate) fn update_fleet_metrics(&self) {
        let metrics = &self.metrics.fleet;
        let oldest = self.load.borrow().oldest_age(self.clock.now());
        metrics.load_age.set(oldest.unwrap_or_default().as_secs_f64());
        metrics.coverage.set(self.coverage());
        metrics.pressure.set(self.is_under_pressure().into());
        // Priorities without requests must not keep their last values.
        metrics.requests.reset();
        let demand = self.demand.borrow();
        for service in demand.services() {
            for (priority, requests) in demand.by_priority(service) {
                let priority = priority.to_string();
                for (state, count) in [("running", requests.running), ("waiting", requests.waiting)]
                {
                    let labels = [service.as_str(), &priority, state];
                    let count = i64::try_from(count).unwrap_or(i64::MAX);
                    metrics.requests.with_label_values(&labels).set(count);
                }
            }
        }
    }
}
