//! Whether this node is under pressure: an upstream that it uses is nearly full, or requests wait.

use std::{cell::Cell, time::Duration};

use clock::Timestamp;
use pipelines::{BeaconPlan, Load, OtherNodes};

use crate::Gateway;

/// Share of an upstream's capacity in use from which a node that uses it is under pressure. Above
/// half, the load that arrives between two beacons may fill the rest.
const PRESSURE_FILL: f64 = 0.6;
/// Time for which pressure lasts after its last sign. The load of a full engine falls below the
/// threshold for moments.
const PRESSURE_HOLD: Duration = Duration::from_secs(2);

/// When this node last saw a sign of pressure.
#[derive(Default)]
pub(crate) struct Pressure {
    last_sign: Cell<Option<Timestamp>>,
    /// Whether the log says that there is pressure.
    is_logged: Cell<bool>,
}

impl Gateway {
    /// Whether there was a sign of pressure recently. Always `false` without the settings for
    /// decisions under overload.
    pub(crate) fn is_under_pressure(&self) -> bool {
        let now = self.clock.now();
        self.pressure.last_sign.get().is_some_and(|sign| now.since(sign) < PRESSURE_HOLD)
    }

    /// Looks for signs of pressure.
    pub(crate) fn observe_pressure(&self) {
        if self.settings.overload.is_none() {
            return;
        }
        if self.has_waiting() || self.has_filled_upstream() {
            self.record_pressure();
        }
        let is_under_pressure = self.is_under_pressure();
        if self.pressure.is_logged.replace(is_under_pressure) != is_under_pressure {
            let (coverage, waiting) = (self.coverage(), self.has_waiting());
            if is_under_pressure {
                tracing::info!(coverage, waiting, "node is under pressure");
            } else {
                tracing::info!(coverage, "node is no longer under pressure");
            }
        }
    }

    /// Records a sign of pressure.
    pub(crate) fn record_pressure(&self) {
        self.pressure.last_sign.set(Some(self.clock.now()));
    }

    /// When this node sends its next beacons, if a round takes `datagrams`.
    pub(crate) fn beacon_plan(&self, datagrams: usize) -> BeaconPlan {
        let usual = BeaconPlan::usual(self.fleet_scale());
        if !self.is_under_pressure() {
            return usual;
        }
        let own_domain = self.own_domain().len();
        let other_domains = self.members.borrow().len() - own_domain;
        BeaconPlan::under_pressure(usual, OtherNodes { own_domain, other_domains }, datagrams)
    }

    /// Whether an upstream that this node uses is filled beyond the threshold.
    fn has_filled_upstream(&self) -> bool {
        let (load, now) = (self.load.borrow(), self.clock.now());
        load.own().any(|(name, _)| {
            self.fill(name, load.total_estimate(name, now))
                .is_some_and(|fill| fill >= PRESSURE_FILL)
        })
    }

    /// Share of an upstream's capacity that `load` uses: the slots of a replica, and the KV cache or
    /// the slots for entering requests of an engine. `None` if the capacity is unknown.
    fn fill(&self, name: &str, load: Load) -> Option<f64> {
        let catalog = self.catalog.borrow();
        let upstream = catalog.upstream(name)?;
        let slots = f64::from(upstream.capacity.max(1));
        let Some(kind) = &upstream.accelerator_kind else {
            return Some(f64::from(load.requests) / slots);
        };
        let service = catalog.table()?.service(&upstream.service)?;
        let held = catalog.layers(upstream)?.len();
        let capacity = service.model_profile.as_ref()?.kv_capacity(kind, held);
        let entered = f64::from(load.entered) / slots;
        (capacity > 0.0).then(|| entered.max(load.token_layers / capacity))
    }
}
