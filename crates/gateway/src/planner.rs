//! The planner of layers: the node that holds its lease orders engines to load what is missing.

use std::{collections::HashMap, rc::Rc, time::Duration};

use catalog::{EngineProfile, Phase, Upstream};
use clock::Timestamp;
use futures_util::future::join_all;
use keyvalue::Lease;
use pipelines::{EngineView, Placement, plan};
use rand::Rng;
use types::{LayerRange, ServiceName, UpstreamName};
use upstreams::{LoadOrder, OrderOutcome};

use crate::Gateway;

/// Key of the planner's lease.
pub(crate) const PLANNER_KEY: &str = "gypsumrack/planner";
/// Life of the lease without a renewal.
const LEASE_TTL: Duration = Duration::from_secs(4);
/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks at the engines.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Largest random pause before a node tries to acquire the lease.
const ACQUIRE_SPREAD_MS: u64 = 250;
/// Time for which the set of engines must not have changed before the first layout, so that it
/// covers engines that start at the same time.
const SETTLE_TIME: Duration = Duration::from_millis(1000);
/// Time for which an order counts as carried out before the engine's entry shows it.
const ORDER_LIFE: Duration = Duration::from_secs(15);
/// Time between two looks at an engine that loads layers.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which the planner goes on while the store cannot be reached. Nobody else can acquire the
/// lease from a store that is away, and an engine carries out only one of two orders.
const OUTAGE_LIMIT: Duration = Duration::from_secs(30);
/// Time that an engine has to report its state before it is ordered.
const REPORT_LIMIT: Duration = Duration::from_millis(500);
/// Time for which an engine must have failed requests before its layers count as missing.
const FAILING_LIMIT: Duration = Duration::from_millis(700);

/// Orders that the entries of the engines may not show yet.
#[derive(Default)]
struct Pending {
    orders: HashMap<UpstreamName, Ordered>,
}

struct Ordered {
    incarnation: u64,
    layers: LayerRange,
    at: Timestamp,
}

/// Acquires the planner's lease when nobody holds it, and plans while this node holds it.
pub(crate) async fn run_planner(gateway: Rc<Gateway>) {
    while !gateway.stop.is_raised() {
        gateway.clock.sleep(PLAN_INTERVAL).await;
        if !gateway.catalog.borrow().is_loaded() || gateway.planner_active.get() {
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
    let mut renewed = gateway.clock.now();
    let mut answered = renewed;
    let mut pending = Pending::default();
    let mut settled = Settled::default();
    while !gateway.stop.is_raised() {
        let now = gateway.clock.now();
        if now.since(renewed) >= RENEW_INTERVAL {
            renewed = now;
            match lease.renew_even_if_expired().await {
                Ok(true) => answered = gateway.clock.now(),
                Ok(false) => return,
                Err(error) => tracing::debug!(%error, "planner's lease cannot be renewed"),
            }
        }
        if gateway.clock.now().since(answered) > OUTAGE_LIMIT {
            return;
        }
        if settled.is_settled(gateway) {
            issue_orders(gateway, &mut pending).await;
        }
        gateway.clock.sleep(PLAN_INTERVAL).await;
    }
    if let Err(error) = lease.release().await {
        tracing::debug!(%error, "planner's lease cannot be released; it ends by itself");
    }
}

/// Whether the set of engines has stayed the same for a while.
#[derive(Default)]
struct Settled {
    count: usize,
    since: Timestamp,
}

impl Settled {
    fn is_settled(&mut self, gateway: &Gateway) -> bool {
        let now = gateway.clock.now();
        let catalog = gateway.catalog.borrow();
        let engines: Vec<_> =
            catalog.upstreams().filter(|known| known.accelerator.is_some()).collect();
        let count = engines.len();
        // Once layers are held, gaps are filled at once.
        if engines.iter().any(|engine| engine.layers.is_some()) {
            return true;
        }
        if count != self.count {
            (self.count, self.since) = (count, now);
        }
        count > 0 && now.since(self.since) >= SETTLE_TIME
    }
}

async fn issue_orders(gateway: &Rc<Gateway>, pending: &mut Pending) {
    let Some(table) = gateway.catalog.borrow().table().cloned() else { return };
    for (service, settings) in table.services() {
        let Some(profile) = &settings.engine else { continue };
        let views = views(gateway, service, profile, pending);
        let placements = plan(profile, &views);
        if placements.is_empty() {
            continue;
        }
        let orders = placements.into_iter().filter_map(|placement| {
            let upstream = gateway.catalog.borrow().upstream(&placement.name).cloned()?;
            let ordered = Ordered {
                incarnation: upstream.incarnation,
                layers: placement.layers,
                at: gateway.clock.now(),
            };
            pending.orders.insert(placement.name.clone(), ordered);
            Some(issue_order(gateway.clone(), upstream, placement))
        });
        let orders: Vec<_> = orders.collect();
        for task in join_all(orders).await.into_iter().flatten() {
            pending.orders.remove(&task);
        }
    }
}

/// Gives one order. Returns the engine if it certainly was not carried out.
async fn issue_order(
    gateway: Rc<Gateway>,
    upstream: std::sync::Arc<Upstream>,
    placement: Placement,
) -> Option<UpstreamName> {
    let client = gateway.client(&upstream);
    // An engine that already holds layers, or was ordered by an earlier planner, must not be
    // ordered by the plan of an older state.
    let accepted_orders = match client.report(REPORT_LIMIT).await {
        Ok(report) if report.layers.is_none() => report.accepted_orders,
        Ok(report) => {
            tracing::info!(upstream = %placement.name, layers = ?report.layers,
                "engine already holds layers; no order");
            return None;
        }
        Err(error) => {
            tracing::info!(upstream = %placement.name, %error, "engine does not report; no order");
            gateway.suspect(&placement.name, "no report");
            return Some(placement.name);
        }
    };
    let order = LoadOrder { layers: placement.layers, accepted_orders };
    let outcome = client.order_layers(order).await;
    let (label, refused) = match &outcome {
        Ok(OrderOutcome::Begun) => ("begun", false),
        Ok(OrderOutcome::Done) => ("done", false),
        Ok(OrderOutcome::Refused(_)) => ("refused", true),
        Err(error) => ("unanswered", error.verdict() == types::Verdict::NotRun),
    };
    gateway.metrics.orders.with_label_values(&[label]).inc();
    tracing::info!(upstream = %placement.name, layers = %placement.layers,
        expected_orders = accepted_orders, outcome = ?outcome, "layers ordered");
    if matches!(outcome, Ok(OrderOutcome::Begun)) {
        compio::runtime::spawn(confirm_layers(
            gateway.clone(),
            upstream.clone(),
            placement.clone(),
        ))
        .detach();
    }
    if refused {
        // The engine is asked again only when its state is known anew.
        let now = gateway.clock.now();
        gateway.health.borrow_mut().record_failure(&placement.name, upstream.incarnation, now);
    }
    refused.then_some(placement.name)
}

/// Asks an engine until it reports the layers that it was ordered to load. The registry shows them
/// only after its next heartbeat, and not while the store is away.
async fn confirm_layers(
    gateway: Rc<Gateway>,
    upstream: std::sync::Arc<Upstream>,
    placement: Placement,
) {
    let client = gateway.client(&upstream);
    let end = gateway.clock.now() + ORDER_LIFE;
    while gateway.clock.now() < end {
        gateway.clock.sleep(CONFIRM_INTERVAL).await;
        let is_shown = {
            let catalog = gateway.catalog.borrow();
            let known = catalog.upstream(&placement.name);
            known.is_none_or(|known| {
                known.incarnation != upstream.incarnation || known.layers.is_some()
            })
        };
        if is_shown {
            return;
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

/// What the planner knows of the engines of a service.
fn views(
    gateway: &Gateway,
    service: &ServiceName,
    profile: &EngineProfile,
    pending: &mut Pending,
) -> Vec<EngineView> {
    let now = gateway.clock.now();
    let catalog = gateway.catalog.borrow();
    let health = gateway.health.borrow();
    pending.orders.retain(|name, ordered| {
        let lives =
            catalog.upstream(name).is_some_and(|known| known.incarnation == ordered.incarnation);
        lives && now.since(ordered.at) < ORDER_LIFE
    });
    let mut views = Vec::new();
    for upstream in catalog.upstreams().filter(|known| known.service == *service) {
        let Some(accelerator) = &upstream.accelerator else { continue };
        let failing = health
            .failing_for(&upstream.name, upstream.incarnation, now)
            .is_some_and(|time| time >= FAILING_LIMIT);
        let is_out = upstream.phase == Phase::Leaving
            || failing
            || gateway.is_very_slow(&upstream.name)
            || !profile.accelerators.contains_key(accelerator);
        if is_out {
            continue;
        }
        let ordered = pending.orders.get(&upstream.name).filter(|_| upstream.layers.is_none());
        views.push(EngineView {
            name: upstream.name.clone(),
            domain: upstream.domain.clone(),
            accelerator: accelerator.clone(),
            layers: catalog.layers(upstream).or(ordered.map(|ordered| ordered.layers)),
            is_free: !health.is_suspect(&upstream.name, upstream.incarnation, now),
        });
    }
    views
}
