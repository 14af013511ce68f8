//! Orders engines to load the layers that the configuration asks for. Only the node that holds the
//! lease for orders sends them.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use clock::Timestamp;
use engines::api::{Order, OrderReply};
use fleet::{EngineView, LayerAssignment, LoadCommand, ORDER_LEASE_KEY, plan_orders};
use keyvalue::Lease;
use routing::{EngineState, LoadReport};
use types::UpstreamName;
use weights::api::{Permit, Weights};

use crate::state::Node;

/// Time after which the lease expires unless it is renewed.
const LEASE_TTL: Duration = Duration::from_secs(9);
/// Interval at which the holder renews the lease, and at which the other candidates try to acquire
/// it.
const LEASE_INTERVAL: Duration = Duration::from_secs(3);
/// Time that the lease must still be valid when an order is sent. It covers the time until the
/// order arrives. A new holder waits as long before its first order.
const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// Nodes that try to acquire the lease. If all 400 nodes did, they would read its key 133 times a
/// second.
const CANDIDATES: usize = 3;
/// Interval at which the engines are compared with the configuration.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an order is sent again if the engine's reports do not show the ordered layers.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Orders that were sent and whose layers the engine does not report yet, with the time of sending.
type Pending = BTreeMap<UpstreamName, (LayerAssignment, Timestamp)>;

/// Tries to acquire the lease for orders, and sends orders while this node holds it.
pub(crate) async fn send_orders(node: Rc<Node>) {
    while !node.stop.is_raised() {
        if !node.is_lease_candidate() {
            node.clock.sleep(LEASE_INTERVAL).await;
            continue;
        }
        let holder = node.settings.name.as_str();
        let lease = Lease::acquire(
            node.store.clone(),
            node.clock.clone(),
            ORDER_LEASE_KEY,
            holder,
            LEASE_TTL,
        );
        match lease.await {
            Ok(Some(lease)) => {
                tracing::info!(token = lease.token(), "lease for orders acquired");
                reconcile_engines(&node, lease).await;
            }
            Ok(None) => {}
            Err(error) => tracing::debug!(%error, "lease for orders cannot be acquired"),
        }
        node.clock.sleep(LEASE_INTERVAL).await;
    }
}

/// Orders engines to load what the configuration asks for, until the lease is lost or the node
/// stops.
async fn reconcile_engines(node: &Rc<Node>, mut lease: Lease) {
    node.clock.sleep(LEASE_MARGIN).await;
    let mut pending = Pending::new();
    let mut renewed = node.clock.now();
    while !node.stop.is_raised() {
        if node.clock.now().since(renewed) >= LEASE_INTERVAL {
            match lease.renew().await {
                Ok(true) => renewed = node.clock.now(),
                Ok(false) => {
                    tracing::warn!("lease for orders was lost");
                    return;
                }
                Err(error) => tracing::warn!(%error, "lease for orders cannot be renewed"),
            }
        }
        if !lease.is_valid(Duration::ZERO) {
            tracing::warn!("lease for orders has lapsed");
            return;
        }
        for order in node.plan(&mut pending) {
            if !node.send_order(&lease, &order).await {
                continue;
            }
            let now = node.clock.now();
            pending.insert(order.engine, (order.load, now));
        }
        node.clock.sleep(RECONCILE_INTERVAL).await;
    }
    // If the key-value service cannot be reached, the lease expires by itself.
    let _ = lease.release().await;
}

impl Node {
    /// Whether this node is one of the few that try to acquire the lease.
    fn is_lease_candidate(&self) -> bool {
        let table = self.fleet.borrow();
        let members = table.live_members().map(|member| &member.node);
        fleet::rendezvous_choose(ORDER_LEASE_KEY, members, CANDIDATES).contains(&self.settings.name)
    }

    /// The orders to send now. Removes from `pending` the orders that have taken effect or timed
    /// out.
    fn plan(&self, pending: &mut Pending) -> Vec<LoadCommand> {
        let Some(config) = self.config.borrow().current() else { return Vec::new() };
        let now = self.clock.now();
        let view = self.view.borrow();
        pending.retain(|name, (load, since)| {
            let report = view.engines.get(name).and_then(|engine| engine.report.as_ref());
            let done = report.and_then(loaded_layers).as_ref() == Some(load);
            !done && now.since(*since) < ORDER_TIMEOUT
        });
        let engine_view = |(name, engine): (&UpstreamName, &EngineState)| {
            let reported = !engine.awaits_first_report();
            if reported && !engine.is_available(now) {
                return None;
            }
            let ordered = pending.get(name).map(|(load, _)| load.clone());
            Some(EngineView {
                name: name.clone(),
                domain: engine.domain.clone(),
                pending: ordered.is_some(),
                reported,
                loaded: ordered.or_else(|| engine.report.as_ref().and_then(loaded_layers)),
            })
        };
        let engines: Vec<_> = view.engines.iter().filter_map(engine_view).collect();
        plan_orders(&config, &engines)
    }

    /// Sends one order. Returns whether the engine accepted it or may have received it.
    async fn send_order(&self, lease: &Lease, planned: &LoadCommand) -> bool {
        let Some(engine) = self.engine(&planned.engine) else { return false };
        let load = &planned.load;
        if !self.has_permit(load).await {
            return false;
        }
        // The order was planned from the last load report. It is sent only if a new report shows
        // the same process with the same model.
        let known = self.view.borrow().engines.get(&planned.engine).and_then(|e| e.report.clone());
        let fresh = engine.load().await;
        let unchanged = matches!((&fresh, &known), (Ok(fresh), Some(known))
            if fresh.model == known.model
                && fresh.version == known.version
                && fresh.incarnation == known.incarnation);
        let busy = fresh.is_ok_and(|fresh| fresh.running > 0);
        if !unchanged || planned.when_idle && busy {
            return false;
        }
        let order = Order {
            token: lease.token(),
            model: load.model.clone(),
            version: load.version.clone(),
            layers: load.layers,
        };
        let may_send = || lease.is_valid(LEASE_MARGIN);
        match engine.order(order, &may_send).await {
            Ok(OrderReply::Accepted) => {
                tracing::info!(
                    upstream = %planned.engine,
                    model = %load.model,
                    version = %load.version,
                    layers = %load.layers,
                    "engine was ordered to load"
                );
                true
            }
            Ok(OrderReply::Stale) => {
                tracing::warn!(upstream = %planned.engine, "engine refused an outdated order");
                false
            }
            Err(error) => {
                tracing::warn!(upstream = %planned.engine, %error, "order failed");
                // If the order may have arrived, it counts as pending.
                error.verdict() != types::Verdict::NotRun
            }
        }
    }

    /// Asks the weight store for the permit to fetch the weights of these layers.
    async fn has_permit(&self, load: &LayerAssignment) -> bool {
        let wanted = Weights {
            model: load.model.clone(),
            version: load.version.clone(),
            layers: load.layers,
        };
        match self.weights.permit(wanted).await {
            Ok(Permit::Granted) => true,
            Ok(Permit::RetryAfterMillis(_)) => false,
            Err(error) => {
                tracing::warn!(%error, "weight store cannot be reached");
                false
            }
        }
    }
}

/// What an engine has loaded, according to its report.
fn loaded_layers(report: &LoadReport) -> Option<LayerAssignment> {
    if report.model.is_empty() {
        return None;
    }
    Some(LayerAssignment {
        model: report.model.clone(),
        version: report.version.clone(),
        layers: report.layers,
    })
}
