//! How often a node sends its load to the other nodes.

use std::time::Duration;

/// Time between two beacons in a small fleet. Unless datagrams are lost, a node's view of the other
/// nodes' load is at most this old.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(200);
/// Least time for which another node's load remains counted after its last beacon.
const MIN_LOAD_LIFETIME: Duration = Duration::from_secs(2);
/// Consecutive beacons of a node that may be lost before its load is no longer counted.
const MAX_LOST_BEACONS: u32 = 2;
/// Most datagrams per second that a node sends for beacons under pressure, its own ones and those
/// that it passes on. A node receives as many as it sends. With more, the nodes of a fleet of 133
/// spend more than 0.02 cores on them.
const MAX_DATAGRAM_RATE: f64 = 300.0;

/// Time between two reports of demand in a fleet of up to [`MAX_REPORT_RATE`] nodes. Demand changes
/// more slowly than the load on one upstream.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Most datagrams per second that a node sends for reports of demand.
const MAX_REPORT_RATE: f64 = 200.0;
/// Consecutive reports of a node that may be lost before its demand is no longer counted.
const MAX_LOST_REPORTS: u32 = 2;

/// When a node sends beacons: one to its failure domain in each round, and one to the other domains
/// every few rounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeaconPlan {
    /// Time between two rounds.
    pub interval: Duration,
    /// Number of rounds of which one also goes to the other domains.
    pub remote_rounds: u32,
}

/// Numbers of the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherNodes {
    /// Those of the same failure domain.
    pub own_domain: usize,
    /// Those of other failure domains.
    pub other_domains: usize,
}

impl BeaconPlan {
    /// The plan without pressure. `scale` is at least 1 and grows with the square root of the number
    /// of nodes. Passing on the beacons of all other domains costs each node as much as its own
    /// ones, so other domains get one only every few rounds.
    pub fn usual(scale: f64) -> BeaconPlan {
        let scale = scale.max(1.0);
        BeaconPlan { interval: BEACON_INTERVAL.mul_f64(scale), remote_rounds: scale.round() as u32 }
    }

    /// The plan under pressure: to all domains in each round and in shorter rounds, as far as the
    /// rate of datagrams permits. Never slower than `usual`. A beacon takes `datagrams`.
    pub fn under_pressure(usual: BeaconPlan, others: OtherNodes, datagrams: usize) -> BeaconPlan {
        let sends = |nodes: usize| nodes as f64 * datagrams.max(1) as f64;
        // Each node passes on about as many datagrams as there are nodes in other domains.
        let (own, remote) = (sends(others.own_domain), sends(others.other_domains));
        let usual_s = usual.interval.as_secs_f64();
        let needed_s = ((own + remote) / MAX_DATAGRAM_RATE).min(usual_s);
        let interval = Duration::from_secs_f64(needed_s)
            .clamp(BEACON_INTERVAL.min(usual.interval), usual.interval);
        let seconds = interval.as_secs_f64();
        let remote_rate = MAX_DATAGRAM_RATE - own / seconds;
        // The result is infinite, and thus the usual one, if nothing is left for other domains.
        let rounds = (remote / seconds / remote_rate.max(0.0)).ceil() as u32;
        BeaconPlan { interval, remote_rounds: rounds.clamp(1, usual.remote_rounds) }
    }

    /// Time for which the load of a node that sends by this plan remains counted after its last
    /// beacon.
    pub fn load_lifetime(&self) -> Duration {
        MIN_LOAD_LIFETIME.max(self.interval * self.remote_rounds * MAX_LOST_BEACONS)
    }
}

/// Time between two reports of demand in a fleet of `nodes`.
pub fn demand_interval(nodes: usize) -> Duration {
    DEMAND_INTERVAL.mul_f64((nodes as f64 / MAX_REPORT_RATE).max(1.0))
}

/// Time for which a report of demand counts, if reports are sent at `interval`.
pub fn demand_lifetime(interval: Duration) -> Duration {
    interval * (MAX_LOST_REPORTS + 1)
}
