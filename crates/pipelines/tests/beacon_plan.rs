//! How often nodes send their load, by the size of the fleet.

use std::time::Duration;

use pipelines::{BEACON_INTERVAL, BeaconPlan, OtherNodes};
use proptest::prelude::*;

/// The plan without pressure of a fleet, of which up to 20 nodes count as small.
fn usual(nodes: usize) -> BeaconPlan {
    BeaconPlan::usual((nodes as f64 / 20.0).sqrt().max(1.0))
}

/// The other nodes of a fleet of three equal domains.
fn others(nodes: usize) -> OtherNodes {
    let own_domain = nodes / 3;
    OtherNodes { own_domain, other_domains: nodes - 1 - own_domain }
}

/// Datagrams per second that a node sends for its own beacons and for those that it passes on.
fn sends_per_second(plan: BeaconPlan, others: OtherNodes, datagrams: usize) -> f64 {
    let per_round =
        others.own_domain as f64 + others.other_domains as f64 / f64::from(plan.remote_rounds);
    per_round * datagrams.max(1) as f64 / plan.interval.as_secs_f64()
}

/// Guards against nodes of a large fleet whose view of the other domains is 1.5 s old during a
/// burst.
#[test]
fn under_pressure_all_domains_get_beacons_in_shorter_rounds() {
    let plan = usual(133);
    assert_eq!(plan.remote_rounds, 3);
    assert!(plan.interval > Duration::from_millis(500));
    let faster = BeaconPlan::under_pressure(plan, others(133), 1);
    assert_eq!(faster.remote_rounds, 1);
    assert!(faster.interval <= Duration::from_millis(450), "{faster:?}");
}

/// Guards against the load of a node without pressure that is dropped between two of its beacons,
/// since the node that receives them sends faster.
#[test]
fn load_outlives_two_lost_beacons_of_the_usual_plan() {
    for nodes in [2, 20, 133, 400] {
        let plan = usual(nodes);
        let between = plan.interval * plan.remote_rounds;
        assert!(plan.load_lifetime() >= between * 2);
    }
}

proptest! {
    /// Guards against beacons that take the processor from requests in a large or busy fleet, and
    /// against pressure that makes beacons rarer.
    #[test]
    fn pressure_never_slows_beacons_and_their_rate_is_bounded(
        nodes in 2..1000_usize,
        datagrams in 0..9_usize,
    ) {
        let plan = usual(nodes);
        let faster = BeaconPlan::under_pressure(plan, others(nodes), datagrams);
        prop_assert!(faster.interval <= plan.interval);
        prop_assert!(faster.remote_rounds <= plan.remote_rounds);
        prop_assert!(faster.interval >= BEACON_INTERVAL);
        let usual_rate = sends_per_second(plan, others(nodes), datagrams);
        let rate = sends_per_second(faster, others(nodes), datagrams);
        prop_assert!(rate <= usual_rate.max(301.0), "{rate} of {usual_rate}");
    }
}
