//! Sends this node's beacons and applies those of the other nodes.

use std::{cmp::Reverse, rc::Rc, time::Duration};

use catalog::UpdateOutcome;
use peers::{
    Beacon, BeaconLoad, Datagram, DatagramSocket, LoadPart, MAX_BEACON_ENTRIES, MAX_LOAD_PARTS,
};
use pipelines::{BEACON_INTERVAL, BeaconPlan, Load};
use rand::Rng;
use types::{LayerRange, UpstreamName};

use crate::{Gateway, audience::BEACON_RELAYS, path_choice::CROSS_DOMAIN};

/// Time for which an engine's report that it is slow is repeated in beacons. It is long enough to
/// include a beacon to nodes of other failure domains.
const SLOW_REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Most failing upstreams, slow engines and loaded layers, of each kind, in one beacon.
const MAX_REPORTS: usize = 8;

impl Gateway {
    /// The state of this node, with its load on all upstreams.
    fn beacon(&self) -> Beacon {
        let now = self.clock.now();
        let mut loads: Vec<BeaconLoad> = self
            .load
            .borrow()
            .own()
            .map(|(upstream, reserved)| BeaconLoad {
                upstream: upstream.clone(),
                requests: reserved.requests,
                entered: reserved.entered,
                token_layers: reserved.token_layers as u64,
            })
            .collect();
        loads.sort_by_key(|load| (&*load.upstream != CROSS_DOMAIN, Reverse(load.token_layers)));
        let health = self.health.borrow();
        // The other nodes would avoid upstreams that only this node does not reach.
        let most_failing = if self.doubts_links() { 0 } else { MAX_REPORTS };
        let failing = health
            .failing_upstreams(now)
            .take(most_failing)
            .map(|(name, incarnation)| (name.clone(), incarnation));
        Beacon {
            node: self.settings.name.clone(),
            table_version: self.table_version(),
            loads,
            failing: failing.collect(),
            slow: self.slow_engines(),
            loaded: self.unregistered_layers(),
        }
    }

    /// The engines that have recently reported to this node that they are slow.
    fn slow_engines(&self) -> Vec<(UpstreamName, u64, u32)> {
        let now = self.clock.now();
        let mut slow = self.reported_slow.borrow_mut();
        slow.retain(|_, (_, _, at)| now.since(*at) < SLOW_REPORT_LIFETIME);
        let recent = slow.iter().take(MAX_REPORTS);
        recent
            .map(|(name, (incarnation, slowdown, _))| {
                (name.clone(), *incarnation, (slowdown * 100.0) as u32)
            })
            .collect()
    }

    /// The layers that engines have reported to this node and that their entries do not show yet.
    fn unregistered_layers(&self) -> Vec<(UpstreamName, u64, LayerRange)> {
        let catalog = self.catalog.borrow();
        let mut loaded = self.reported_layers.borrow_mut();
        loaded.retain(|(name, incarnation, _)| {
            let upstream = catalog.upstream(name);
            upstream.is_some_and(|upstream| {
                upstream.incarnation == *incarnation && upstream.layers.is_none()
            })
        });
        loaded.iter().take(MAX_REPORTS).cloned().collect()
    }

    /// Applies the layers that an engine has reported, and adds them to the next beacons.
    pub(crate) fn apply_layers(&self, name: &UpstreamName, incarnation: u64, layers: LayerRange) {
        if self.catalog.borrow_mut().apply_layers(name, incarnation, layers)
            == UpdateOutcome::Applied
        {
            tracing::info!(upstream = %name, boot = incarnation, layers = %layers, "engine has loaded its layers");
        }
        self.reported_layers.borrow_mut().push((name.clone(), incarnation, layers));
    }

    /// The datagrams that hold a beacon. Without the settings for decisions under overload, the
    /// load beyond the largest entries is left out.
    fn beacon_datagrams(&self, mut beacon: Beacon) -> Vec<Datagram> {
        if self.settings.overload.is_some() {
            return Datagram::of_beacon(beacon);
        }
        beacon.loads.truncate(MAX_BEACON_ENTRIES);
        vec![Datagram::Beacon(beacon)]
    }

    /// Applies the load that did not fit into a beacon.
    pub(crate) fn apply_load_part(&self, part: LoadPart) {
        let LoadPart { node, number, loads } = part;
        if (1..=MAX_LOAD_PARTS).contains(&number) {
            let now = self.clock.now();
            self.load.borrow_mut().set_part(node, number, decoded_loads(loads), now);
        }
    }

    /// Applies the state of another node.
    pub(crate) fn apply_beacon(&self, beacon: Beacon) {
        let now = self.clock.now();
        let reserved = decoded_loads(beacon.loads);
        let node = beacon.node.clone();
        self.record_contact(&node);
        self.observe_table_version(beacon.table_version);
        self.load.borrow_mut().set_peer(beacon.node, reserved, now);
        for (name, incarnation, percent) in beacon.slow {
            self.health.borrow_mut().set_slowdown(
                &name,
                incarnation,
                f64::from(percent) / 100.0,
                now,
            );
        }
        for (name, incarnation, layers) in beacon.loaded {
            if self.catalog.borrow_mut().apply_layers(&name, incarnation, layers)
                == UpdateOutcome::Applied
            {
                tracing::info!(upstream = %name, boot = incarnation, layers = %layers, node = %node,
                    "engine has loaded its layers");
            }
        }
        for (name, incarnation) in beacon.failing {
            // Another node's failure only makes new requests avoid the upstream for a short time,
            // since the fault may lie on that node's connection to it.
            self.health.borrow_mut().avoid(&name, incarnation, now, BEACON_INTERVAL * 2);
        }
    }
}

fn decoded_loads(loads: Vec<BeaconLoad>) -> Vec<(UpstreamName, Load)> {
    let decoded = loads.into_iter().map(|load| {
        let reserved = Load {
            requests: load.requests,
            entered: load.entered,
            token_layers: load.token_layers as f64,
        };
        (load.upstream, reserved)
    });
    decoded.collect()
}

/// Sends beacons to all other nodes.
pub(crate) async fn send_beacons(gateway: Rc<Gateway>, socket: Rc<DatagramSocket>) {
    let mut was_idle = false;
    let mut announced_table = 0;
    let mut round: u32 = rand::rng().random();
    let mut datagram_count = 1;
    loop {
        gateway.observe_pressure();
        let BeaconPlan { interval, remote_rounds } = gateway.beacon_plan(datagram_count);
        gateway.clock.sleep(interval).await;
        // Other nodes may send by the usual plan while this one is under pressure.
        let lifetime = BeaconPlan::usual(gateway.fleet_scale()).load_lifetime();
        gateway.load.borrow_mut().expire(gateway.clock.now(), lifetime);
        let beacon = gateway.beacon();
        let is_idle = beacon.table_version == announced_table
            && beacon.loads.is_empty()
            && beacon.failing.is_empty()
            && beacon.slow.is_empty()
            && beacon.loaded.is_empty();
        // Under overload, a node that is silent counts as unknown and not as idle.
        if is_idle && was_idle && gateway.settings.overload.is_none() {
            continue;
        }
        was_idle = is_idle;
        announced_table = beacon.table_version;
        round = round.wrapping_add(1);
        let is_remote_round = round.is_multiple_of(remote_rounds);
        let audience =
            if is_remote_round { gateway.all_nodes(BEACON_RELAYS) } else { gateway.own_domain() };
        let datagrams = gateway.beacon_datagrams(beacon);
        datagram_count = datagrams.len();
        let mut failed = 0;
        for datagram in datagrams {
            failed += audience.send(&socket, datagram).await;
        }
        if failed > 0 {
            tracing::debug!(failed, "beacons could not be sent");
        }
    }
}
