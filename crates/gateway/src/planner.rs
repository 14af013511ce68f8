//! The planner: the node that holds the planner's lease orders engines without layers to load some.
//! It completes the copies of each model, loads layers that no engine holds, and adds whole copies
//! to groups of failure domains as long as enough spare engines are left.

use std::{collections::HashMap, rc::Rc, time::Duration};

use catalog::{ModelProfile, Phase, Upstream};
use clock::{Timestamp, supervise};
use futures_util::future::join_all;
use keyvalue::Lease;
use pipelines::{EngineView, Placement, plan};
use rand::Rng;
use types::{LayerRange, ServiceName, UpstreamName};
use upstreams::{LoadOrder, OrderOutcome};

use crate::{Gateway, node::FailureEvidence};

/// Key of the planner's lease.
pub(crate) const PLANNER_KEY: &str = "gypsumrack/planner";
/// Time after which the lease expires unless it is renewed.
const LEASE_TTL: Duration = Duration::from_secs(4);
/// Time between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Largest random delay, in milliseconds, before a node tries to acquire the lease.
const ACQUIRE_SPREAD_MS: u64 = 250;
/// Least time for which the number of engines must not have changed before the first placement, so
/// that it covers all engines that start together. The node must also have read the changes again
/// meanwhile.
const SETTLE_TIME: Duration = Duration::from_millis(1000);
/// Time for which an order is assumed to be carried out although the engine's entry does not show
/// its layers yet.
const ORDER_LIFETIME: Duration = Duration::from_secs(15);
/// Time between two reports requested from an engine that loads layers.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which the planner continues while the key-value service cannot be reached. No other
/// node can acquire the lease during such an outage, and an engine carries out only one of two
/// conflicting orders.
const OUTAGE_LIMIT: Duration = Duration::from_secs(30);
/// Time within which an engine must report its state before an order is sent to it.
const REPORT_LIMIT: Duration = Duration::from_millis(500);
/// Time for which an engine must have failed requests before its layers count as missing.
const FAILING_LIMIT: Duration = Duration::from_millis(700);

/// Orders that the engines' entries may not show yet.
#[derive(Default)]
struct PendingOrders {
    orders: HashMap<UpstreamName, PendingOrder>,
}

struct PendingOrder {
    incarnation: u64,
    layers: LayerRange,
    ordered_at: Timestamp,
}

/// Acquires the planner's lease when no node holds it, and plans while this node holds it.
pub async fn run_planner(gateway: Rc<Gateway>) {
    supervise(&*gateway.clock, "planner", || plan_under_lease(gateway.clone())).await;
}

async fn plan_under_lease(gateway: Rc<Gateway>) {
    while !gateway.stop.is_raised() {
        gateway.clock.sleep(PLAN_INTERVAL).await;
        if !gateway.may_plan() || gateway.planner_active.get() {
            continue;
        }
        let pause = rand::rng().random_range(0..ACQUIRE_SPREAD_MS);
        gateway.clock.sleep(Duration::from_millis(pause)).await;
        if gateway.planner_active.get() {
            continue;
        }
        let lease = Lease::acquire(
            gateway.store.clone(),
            gateway.clock.clone(),
            PLANNER_KEY,
            &gateway.settings.name,
            LEASE_TTL,
        )
        .await;
        match lease {
            Ok(Some(lease)) => {
                tracing::info!(token = lease.token(), "planner's lease is acquired");
                hold_lease(&gateway, lease).await;
                tracing::info!("planner's lease has ended");
            }
            Ok(None) => {}
            Err(error) => tracing::debug!(%error, "planner's lease cannot be acquired"),
        }
    }
}

async fn hold_lease(gateway: &Rc<Gateway>, mut lease: Lease) {
    let mut tried_at = gateway.clock.now();
    let mut renewed_at = tried_at;
    let mut pending = PendingOrders::default();
    let mut settle_timer = SettleTimer::default();
    while !gateway.stop.is_raised() && !gateway.is_cut_off() {
        let now = gateway.clock.now();
        if now.since(tried_at) >= RENEW_INTERVAL {
            tried_at = now;
            match lease.renew_even_if_expired().await {
                Ok(true) => renewed_at = gateway.clock.now(),
                Ok(false) => return,
                Err(error) => tracing::debug!(%error, "planner's lease cannot be renewed"),
            }
        }
        if gateway.clock.now().since(renewed_at) > OUTAGE_LIMIT {
            return;
        }
        if settle_timer.is_settled(gateway) {
            issue_orders(gateway, &mut pending).await;
        }
        gateway.clock.sleep(PLAN_INTERVAL).await;
    }
    if let Err(error) = lease.release().await {
        tracing::debug!(%error, "planner's lease cannot be released; it expires by itself");
    }
}

impl Gateway {
    /// Whether this node knows the engines and can send them orders.
    fn may_plan(&self) -> bool {
        self.catalog.borrow().has_list() && !self.is_cut_off()
    }
}

/// Tracks whether the number of engines has been stable for long enough.
#[derive(Default)]
struct SettleTimer {
    count: usize,
    since: Timestamp,
}

impl SettleTimer {
    fn is_settled(&mut self, gateway: &Gateway) -> bool {
        let now = gateway.clock.now();
        let catalog = gateway.catalog.borrow();
        let engines: Vec<_> =
            catalog.upstreams().filter(|upstream| upstream.accelerator_kind.is_some()).collect();
        let count = engines.len();
        // Once an engine holds layers, missing ones are placed without waiting.
        if engines.iter().any(|engine| engine.layers.is_some()) {
            return true;
        }
        if count != self.count {
            (self.count, self.since) = (count, now);
        }
        let settle_time = SETTLE_TIME.max(gateway.longest_read_interval());
        count > 0 && now.since(self.since) >= settle_time
    }
}

async fn issue_orders(gateway: &Rc<Gateway>, pending: &mut PendingOrders) {
    let Some(table) = gateway.catalog.borrow().table().cloned() else { return };
    for (service, settings) in table.services() {
        let Some(profile) = &settings.model_profile else { continue };
        let views = engine_views(gateway, service, profile, pending);
        let placements = plan(profile, &views);
        if placements.is_empty() {
            continue;
        }
        let orders = placements.into_iter().filter_map(|placement| {
            let upstream = gateway.catalog.borrow().upstream(&placement.name).cloned()?;
            let pending_order = PendingOrder {
                incarnation: upstream.incarnation,
                layers: placement.layers,
                ordered_at: gateway.clock.now(),
            };
            pending.orders.insert(placement.name.clone(), pending_order);
            Some(issue_order(gateway.clone(), upstream, placement))
        });
        let orders: Vec<_> = orders.collect();
        for name in join_all(orders).await.into_iter().flatten() {
            pending.orders.remove(&name);
        }
    }
}

/// Sends one order. Returns the engine's name if its pending order must be dropped, since the order
/// was certainly not carried out. If the engine already holds layers, no order is sent and the
/// pending one stays.
async fn issue_order(
    gateway: Rc<Gateway>,
    upstream: std::sync::Arc<Upstream>,
    placement: Placement,
) -> Option<UpstreamName> {
    let client = gateway.client(&upstream);
    // The engine may have asked for a pause since its orders were planned.
    if !gateway.takes_orders(&upstream) {
        return Some(placement.name);
    }
    // The plan may be based on outdated state, so an engine that already holds layers gets no
    // order. The order carries the number of orders that the engine has accepted according to this
    // report, and the engine refuses it if it has accepted another one since. An order that it
    // accepted before the report does not prevent this one.
    let expected_orders = match client.report(REPORT_LIMIT).await {
        Ok(report) if report.layers.is_none() => report.accepted_orders,
        Ok(report) => {
            tracing::info!(upstream = %placement.name, layers = ?report.layers,
                "engine already holds layers; no order");
            return None;
        }
        Err(error) if gateway.is_paused(&upstream) => {
            tracing::info!(upstream = %placement.name, %error, "engine takes no orders now; no order");
            return Some(placement.name);
        }
        Err(error) => {
            tracing::info!(upstream = %placement.name, %error, "engine does not report; no order");
            gateway.mark_failed(&placement.name, FailureEvidence::of_error(&error), "no report");
            return Some(placement.name);
        }
    };
    if !gateway.takes_orders(&upstream) {
        tracing::info!(upstream = %placement.name, "engine takes no orders now; no order");
        return Some(placement.name);
    }
    let order = LoadOrder { layers: placement.layers, expected_orders };
    let outcome = client.order_layers(order).await;
    let (label, not_executed) = match &outcome {
        Ok(OrderOutcome::Begun) => ("begun", false),
        Ok(OrderOutcome::Done) => ("done", false),
        Ok(OrderOutcome::Refused(_)) => ("refused", true),
        Err(error) => ("unanswered", error.verdict() == types::Verdict::NotRun),
    };
    gateway.metrics.orders.with_label_values(&[label]).inc();
    tracing::info!(upstream = %placement.name, layers = %placement.layers,
        expected_orders = expected_orders, outcome = ?outcome, "layers ordered");
    if matches!(outcome, Ok(OrderOutcome::Begun)) {
        compio::runtime::spawn(confirm_layers(
            gateway.clone(),
            upstream.clone(),
            placement.clone(),
        ))
        .detach();
    }
    if not_executed && !gateway.is_paused(&upstream) {
        // The engine is avoided for some time, so that the next order to it is based on newer
        // state.
        let now = gateway.clock.now();
        gateway.health.borrow_mut().record_failure(&placement.name, upstream.incarnation, now);
    }
    not_executed.then_some(placement.name)
}

/// Requests reports from an engine until it has loaded the layers that it was ordered to load. Its
/// entry shows them only after its next heartbeat, and not while the key-value service is
/// unavailable.
async fn confirm_layers(
    gateway: Rc<Gateway>,
    upstream: std::sync::Arc<Upstream>,
    placement: Placement,
) {
    let client = gateway.client(&upstream);
    let deadline = gateway.clock.now() + ORDER_LIFETIME;
    while gateway.clock.now() < deadline {
        gateway.clock.sleep(CONFIRM_INTERVAL).await;
        // Also true if the engine is gone or has restarted.
        let needs_no_confirmation = {
            let catalog = gateway.catalog.borrow();
            let current = catalog.upstream(&placement.name);
            current.is_none_or(|current| {
                current.incarnation != upstream.incarnation
                    || current.layers.is_some()
                    || current.phase == Phase::Leaving
            })
        };
        if needs_no_confirmation {
            return;
        }
        if gateway.is_paused(&upstream) {
            continue;
        }
        match client.report(REPORT_LIMIT).await {
            Ok(report) if report.layers == Some(placement.layers) => {
                gateway.apply_layers(&placement.name, upstream.incarnation, placement.layers);
                return;
            }
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(upstream = %placement.name, %error, "engine does not report");
            }
        }
    }
}

impl Gateway {
    /// Whether an engine may still get an order that was planned before its report.
    fn takes_orders(&self, engine: &Upstream) -> bool {
        let catalog = self.catalog.borrow();
        catalog.upstream(&engine.name).is_some_and(|current| {
            current.incarnation == engine.incarnation
                && current.phase == Phase::Serving
                && !self.is_paused(current)
        })
    }
}

/// The planner's view of the engines of a service.
fn engine_views(
    gateway: &Gateway,
    service: &ServiceName,
    profile: &ModelProfile,
    pending: &mut PendingOrders,
) -> Vec<EngineView> {
    let now = gateway.clock.now();
    let catalog = gateway.catalog.borrow();
    let health = gateway.health.borrow();
    pending.orders.retain(|name, pending_order| {
        let is_current = catalog
            .upstream(name)
            .is_some_and(|current| current.incarnation == pending_order.incarnation);
        is_current && now.since(pending_order.ordered_at) < ORDER_LIFETIME
    });
    let mut views = Vec::new();
    for upstream in catalog.upstreams().filter(|upstream| upstream.service == *service) {
        let Some(accelerator_kind) = &upstream.accelerator_kind else { continue };
        let failing = health
            .failing_for(&upstream.name, upstream.incarnation, now)
            .is_some_and(|time| time >= FAILING_LIMIT);
        let is_excluded = upstream.phase == Phase::Leaving
            || failing
            || gateway.is_very_slow(&upstream.name)
            || !profile.accelerators.contains_key(accelerator_kind);
        if is_excluded {
            continue;
        }
        let pending_order =
            pending.orders.get(&upstream.name).filter(|_| upstream.layers.is_none());
        views.push(EngineView {
            name: upstream.name.clone(),
            domain: upstream.domain.clone(),
            accelerator_kind: accelerator_kind.clone(),
            layers: catalog
                .layers(upstream)
                .or(pending_order.map(|pending_order| pending_order.layers)),
            may_be_ordered: !health.is_avoided(&upstream.name, upstream.incarnation, now)
                && !gateway.is_paused(upstream),
        });
    }
    views
}
