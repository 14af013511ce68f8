//! The tasks for the other nodes: registers this node in the key-value service, and exchanges
//! datagrams about requests in flight, failing and slow upstreams, loaded layers, crashes and
//! changes in the key-value service.

use std::{rc::Rc, time::Duration};

use clock::supervise;
use compio::runtime::spawn;
use futures_util::future::join4;
use keyvalue::{KvError, api::Expected};
use peers::{Datagram, DatagramSocket};

use crate::{
    Gateway, beacons::send_beacons, demand::send_demand, members::Member, updates::send_updates,
};

/// Prefix of the keys under which nodes register, followed by the node's name.
pub(crate) const NODE_PREFIX: &str = "gypsumrack/nodes/";
/// Time after which a node's entry expires unless its lease is renewed.
pub(crate) const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time between two renewals in a small fleet. A renewal counts as a tenth of a call. One that is
/// not answered reveals an outage of the key-value service, which a pending watch does not.
const RENEW_INTERVAL: Duration = Duration::from_millis(1000);
/// Largest factor on [`RENEW_INTERVAL`] in a large fleet.
const MAX_RENEW_SCALE: f64 = 2.0;
/// Delay after a failed call to the key-value service in a small fleet.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Largest number of nodes of a small fleet.
const SMALL_FLEET: f64 = 20.0;

impl Gateway {
    /// Factor on the intervals of periodic work in a large fleet. It grows with the square root of
    /// the number of nodes, so that the datagrams of one node and the calls of all nodes to the
    /// key-value service grow more slowly than the fleet.
    pub(crate) fn fleet_scale(&self) -> f64 {
        (self.node_count() as f64 / SMALL_FLEET).sqrt().max(1.0)
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
            Datagram::LoadPart(part) => self.apply_load_part(part),
            Datagram::RelayLoadPart(part) => {
                self.apply_load_part(part.clone());
                return Some(Datagram::LoadPart(part));
            }
            Datagram::Demand(report) => self.apply_demand(report),
            Datagram::RelayDemand(report) => {
                self.apply_demand(report.clone());
                return Some(Datagram::Demand(report));
            }
            Datagram::RateLimits(rates) => self.apply_rates(&rates),
            Datagram::RelayRateLimits(rates) => {
                self.apply_rates(&rates);
                return Some(Datagram::RateLimits(rates));
            }
            Datagram::RelayStoreChanges(changes) => {
                let new = self.apply_store_changes(changes);
                return (!new.is_empty()).then_some(Datagram::StoreChanges(new));
            }
        }
        None
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
    let demand = supervise(clock, "demand", || send_demand(gateway.clone(), socket.clone()));
    let updates = supervise(clock, "updates", || send_updates(gateway.clone(), socket.clone()));
    let datagrams =
        supervise(clock, "datagrams", || receive_datagrams(gateway.clone(), socket.clone()));
    join4(beacons, demand, updates, datagrams).await;
}
