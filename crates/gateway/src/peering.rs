//! The tasks for the other nodes: registers this node in the key-value service, and exchanges
//! datagrams about requests in flight, failing and slow upstreams, loaded layers, crashes and
//! changes in the key-value service.

use std::{cmp::Reverse, net::SocketAddr, rc::Rc, time::Duration};

use catalog::UpdateOutcome;
use clock::supervise;
use compio::runtime::spawn;
use futures_util::future::join3;
use keyvalue::{KvError, api::Expected};
use peers::{Beacon, BeaconLoad, Datagram, DatagramSocket, MAX_BEACON_ENTRIES};
use pipelines::Load;
use rand::Rng;
use types::{Domain, LayerRange, UpstreamName};

use crate::{Gateway, audience::BEACON_RELAYS, path_choice::CROSS_DOMAIN, updates::send_updates};

/// Prefix of the keys under which nodes register, followed by the node's name.
pub(crate) const NODE_PREFIX: &str = "gypsumrack/nodes/";
/// Time after which a node's entry expires unless its lease is renewed.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time between two renewals in a small fleet. A renewal counts as a tenth of a call. One that is
/// not answered reveals an outage of the key-value service, which a pending watch does not.
const RENEW_INTERVAL: Duration = Duration::from_millis(1000);
/// Largest factor on [`RENEW_INTERVAL`] in a large fleet.
const MAX_RENEW_SCALE: f64 = 2.0;
/// Delay after a failed call to the key-value service in a small fleet.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Time between two beacons in a small fleet. Unless datagrams are lost, a node's view of the other
/// nodes' load is at most this old.
const BEACON_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of nodes of a small fleet.
const SMALL_FLEET: f64 = 20.0;
/// Least time for which another node's load remains counted after its last beacon.
const MIN_LOAD_LIFETIME: Duration = Duration::from_secs(2);
/// Consecutive beacons of a node that may be lost before its load is no longer counted.
const MAX_LOST_BEACONS: u32 = 2;
/// Time for which an engine's report that it is slow is repeated in beacons. It is long enough to
/// include a beacon to nodes of other failure domains.
const SLOW_REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Most failing upstreams, slow engines and loaded layers, of each kind, in one beacon.
const MAX_REPORTS: usize = 8;

/// Another node, as described by its entry in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    /// Address at which it receives datagrams.
    pub(crate) addr: SocketAddr,
    /// Failure domain.
    pub(crate) domain: Domain,
}

impl Member {
    /// Decodes the value of an entry: address and failure domain, separated by a space.
    fn decode(value: &[u8]) -> Option<Member> {
        let (addr, domain) = std::str::from_utf8(value).ok()?.split_once(' ')?;
        Some(Member { addr: addr.parse().ok()?, domain: domain.into() })
    }

    /// Encodes the value that [`Member::decode`] reads.
    fn encode(&self) -> String {
        format!("{} {}", self.addr, self.domain)
    }
}

impl Gateway {
    /// Applies a change of another node's entry.
    pub(crate) fn apply_member(&self, name: &str, value: Option<&[u8]>) {
        if name == self.settings.name.as_str() {
            return;
        }
        let member = value.and_then(Member::decode);
        if member.is_none() && value.is_some() {
            tracing::warn!(node = name, "entry of a node is not usable");
        }
        let mut members = self.members.borrow_mut();
        match member {
            Some(member) => {
                let Member { addr, domain } = &member;
                if members.get(name) != Some(&member) {
                    tracing::info!(node = name, %addr, %domain, "node has joined");
                }
                members.insert(name.into(), member);
            }
            None => {
                if members.remove(name).is_some() {
                    tracing::info!(node = name, "node has left");
                }
            }
        }
    }

    /// Factor on the intervals of periodic work in a large fleet. It grows with the square root of
    /// the number of nodes, so that the datagrams of one node and the calls of all nodes to the
    /// key-value service grow more slowly than the fleet.
    pub(crate) fn fleet_scale(&self) -> f64 {
        (self.node_count() as f64 / SMALL_FLEET).sqrt().max(1.0)
    }

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
        loads.truncate(MAX_BEACON_ENTRIES);
        let health = self.health.borrow();
        let failing = health
            .failing_upstreams(now)
            .take(MAX_REPORTS)
            .map(|(name, incarnation)| (name.clone(), incarnation));
        Beacon {
            node: self.settings.name.clone(),
            table_version: self.catalog.borrow().table().map_or(0, |table| table.version()),
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

    /// Applies a datagram. Returns what this node has to pass on within its failure domain.
    fn apply_datagram(self: &Rc<Self>, datagram: Datagram) -> Option<Datagram> {
        match datagram {
            Datagram::Beacon(beacon) => self.apply_beacon(beacon),
            Datagram::StoreChanges(changes) => {
                self.apply_store_changes(changes);
            }
            Datagram::Failed(failed) => {
                for (name, incarnation) in failed {
                    spawn(self.clone().check_failure(name, incarnation)).detach();
                }
            }
            Datagram::Crashes(notes) => self.apply_crash_notes(notes),
            Datagram::Leaving(upstreams) => {
                self.apply_leaving(upstreams);
            }
            Datagram::RelayLeaving(upstreams) => {
                let new = self.apply_leaving(upstreams);
                return (!new.is_empty()).then_some(Datagram::Leaving(new));
            }
            Datagram::RelayBeacon(beacon) => {
                self.apply_beacon(beacon.clone());
                return Some(Datagram::Beacon(beacon));
            }
            Datagram::RelayStoreChanges(changes) => {
                let new = self.apply_store_changes(changes);
                return (!new.is_empty()).then_some(Datagram::StoreChanges(new));
            }
        }
        None
    }

    fn apply_beacon(&self, beacon: Beacon) {
        let now = self.clock.now();
        let reserved = beacon
            .loads
            .into_iter()
            .map(|load| {
                let reserved = Load {
                    requests: load.requests,
                    entered: load.entered,
                    token_layers: load.token_layers as f64,
                };
                (load.upstream, reserved)
            })
            .collect();
        let node = beacon.node.clone();
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

/// Keeps this node registered in the key-value service.
pub async fn register(gateway: Rc<Gateway>) {
    supervise(&*gateway.clock, "registration", || keep_registered(gateway.clone())).await;
}

async fn keep_registered(gateway: Rc<Gateway>) {
    let key = format!("{NODE_PREFIX}{}", gateway.settings.name);
    while !gateway.stop.is_raised() {
        if let Err(error) = maintain_entry(&gateway, &key).await {
            tracing::debug!(%error, "node cannot be registered");
        }
        gateway.clock.sleep(RETRY_PAUSE.mul_f64(gateway.fleet_scale())).await;
    }
}

/// Writes this node's entry under a lease, and renews the lease until that fails or the node stops.
async fn maintain_entry(gateway: &Rc<Gateway>, key: &str) -> Result<(), KvError> {
    let store = &gateway.store;
    let lease = store.grant(LEASE_TTL.as_millis() as u64).await?;
    let settings = &gateway.settings;
    let value = Member { addr: settings.peers, domain: settings.domain.clone() }.encode();
    let expected = match store.get(key).await? {
        Some(entry) => Expected::Version(entry.version),
        None => Expected::Absent,
    };
    store.put(key, expected, value, Some(lease)).await?;
    while !gateway.stop.is_raised() {
        let scale = gateway.fleet_scale().min(MAX_RENEW_SCALE);
        gateway.clock.sleep(RENEW_INTERVAL.mul_f64(scale)).await;
        match store.renew(lease).await {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            Err(_) => gateway.store_lost.raise(),
        }
    }
    store.revoke(lease).await
}

/// Sends beacons to all other nodes.
async fn send_beacons(gateway: Rc<Gateway>, socket: Rc<DatagramSocket>) {
    let mut was_idle = false;
    let mut announced_table = 0;
    let mut round: u32 = rand::rng().random();
    loop {
        let scale = gateway.fleet_scale();
        let interval = BEACON_INTERVAL.mul_f64(scale);
        // Passing on the beacons of all other domains costs each node as much as its own ones, so
        // other domains get one only every `remote_rounds` rounds.
        let remote_rounds = scale.round() as u32;
        gateway.clock.sleep(interval).await;
        let lifetime = MIN_LOAD_LIFETIME.max(interval * remote_rounds * MAX_LOST_BEACONS);
        gateway.load.borrow_mut().expire(gateway.clock.now(), lifetime);
        let beacon = gateway.beacon();
        let is_idle = beacon.table_version == announced_table
            && beacon.loads.is_empty()
            && beacon.failing.is_empty()
            && beacon.slow.is_empty()
            && beacon.loaded.is_empty();
        if is_idle && was_idle {
            continue;
        }
        was_idle = is_idle;
        announced_table = beacon.table_version;
        round = round.wrapping_add(1);
        let is_remote_round = round.is_multiple_of(remote_rounds);
        let audience =
            if is_remote_round { gateway.all_nodes(BEACON_RELAYS) } else { gateway.own_domain() };
        let failed = audience.send(&socket, Datagram::Beacon(beacon)).await;
        if failed > 0 {
            tracing::debug!(failed, "beacons could not be sent");
        }
    }
}

/// Receives the datagrams of the other nodes, applies them, and passes on those that are meant for
/// the whole failure domain.
async fn receive_datagrams(gateway: Rc<Gateway>, socket: Rc<DatagramSocket>) {
    loop {
        match socket.receive().await {
            Ok(Some(datagram)) => {
                let Some(passed_on) = gateway.apply_datagram(datagram) else { continue };
                let failed = gateway.own_domain().send(&socket, passed_on).await;
                if failed > 0 {
                    tracing::debug!(failed, "datagram could not be passed on");
                }
            }
            Ok(None) => tracing::debug!("datagram cannot be decoded"),
            Err(error) => {
                tracing::warn!(%error, "datagrams cannot be received");
                gateway.clock.sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Exchanges datagrams with the other nodes.
pub async fn exchange_datagrams(gateway: Rc<Gateway>, socket: DatagramSocket) {
    let (clock, socket) = (&*gateway.clock, &Rc::new(socket));
    let beacons = supervise(clock, "beacons", || send_beacons(gateway.clone(), socket.clone()));
    let updates = supervise(clock, "updates", || send_updates(gateway.clone(), socket.clone()));
    let datagrams =
        supervise(clock, "datagrams", || receive_datagrams(gateway.clone(), socket.clone()));
    join3(beacons, updates, datagrams).await;
}
