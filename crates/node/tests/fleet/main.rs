//! Several nodes in one process that talk over sockets on loopback.

mod harness;

use std::{rc::Rc, time::Duration};

use clock::{Clock, RuntimeClock, timeout};
use harness::{Fleet, run};
use operators::{AdminApi, api::Readiness};
use types::Digest;

/// Time in which news has to reach every node. R5 allows 3 s from the source.
const SPREAD_LIMIT: Duration = Duration::from_secs(3);
/// Time that links have to be opened.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Without the peers a node that joins during an outage of the service would not become ready.
#[test]
fn a_joining_node_gets_the_configuration_while_the_service_is_down() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.store.put_revision(4);
        fleet.add_nodes(3).await;
        fleet.wait(START_LIMIT, |fleet| fleet.all_at(4)).await;
        fleet.store.down.set(true);
        fleet.add_nodes(1).await;
        fleet.wait(START_LIMIT, |fleet| fleet.all_at(4)).await;
        assert_eq!(fleet.nodes[3].readiness(), Readiness::Ready);
    });
}

/// With neither the service nor a peer a node must not claim to be ready.
#[test]
fn a_node_without_service_and_peers_is_not_ready() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.store.down.set(true);
        fleet.add_nodes(1).await;
        fleet.clock.sleep(Duration::from_secs(2)).await;
        assert_eq!(fleet.nodes[0].readiness(), Readiness::NoConfiguration);
    });
}

/// A configuration that was in force must not revert when the service holds an older record.
#[test]
fn an_older_revision_never_replaces_a_newer_one() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.store.put_revision(7);
        fleet.add_nodes(3).await;
        fleet.wait(START_LIMIT, |fleet| fleet.all_at(7)).await;
        fleet.store.put_revision(5);
        // A joining node reads revision 5 from the service and takes 7 from its peers.
        fleet.add_nodes(1).await;
        fleet.wait(START_LIMIT, |fleet| fleet.all_at(7)).await;
        fleet.clock.sleep(Duration::from_secs(2)).await;
        assert!(fleet.all_at(7));
    });
}

/// A mark that only one node has seen must keep new work from the upstream on all nodes (R5), and
/// its end must reach them as well.
#[test]
fn leaving_marks_reach_every_node() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.store.put_revision(1);
        fleet.add_nodes(6).await;
        fleet.list_engine("engine-0");
        fleet.wait(START_LIMIT, |fleet| fleet.all_at(1) && fleet.knowing("engine-0") == 6).await;
        // The lists of the other nodes lag behind.
        fleet.mark_engine(0, "engine-0", true);
        let took = fleet.wait(SPREAD_LIMIT, |fleet| fleet.leaving("engine-0") == 6).await;
        println!("leaving mark reached 6 nodes {took:?} after the list of one had it");
        fleet.mark_engine(0, "engine-0", false);
        fleet.wait(SPREAD_LIMIT, |fleet| fleet.leaving("engine-0") == 0).await;
    });
}

/// Deltas are flooded over few links; a gap in the flood would leave nodes without the crash
/// counts that stop a request from crashing one engine after another.
#[test]
fn deltas_and_revisions_reach_all_of_24_nodes() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.store.put_revision(1);
        fleet.add_nodes(24).await;
        fleet.wait(START_LIMIT, |fleet| fleet.all_at(1)).await;
        fleet
            .wait(START_LIMIT, |fleet| fleet.nodes.iter().all(|node| node.link_count() >= 3))
            .await;
        let (request, engine) = (Digest(77), "engine-0".into());
        fleet.nodes[0].record_crash(request, &engine, 1);
        let all = |fleet: &Fleet, count: usize| {
            fleet.nodes.iter().all(|node| node.crash_count(request) == count)
        };
        let took = fleet.wait(SPREAD_LIMIT, |fleet| all(fleet, 1)).await;
        println!("crash reached 24 nodes after {took:?}");
        fleet.nodes[23].clear_crashes(request);
        fleet.wait(SPREAD_LIMIT, |fleet| all(fleet, 0)).await;
        fleet.wait(START_LIMIT, |fleet| fleet.store.watching.get() == 3).await;
        fleet.store.put_revision(2);
        let took = fleet.wait(SPREAD_LIMIT, |fleet| fleet.all_at(2)).await;
        println!("revision reached 24 nodes after {took:?}");
        for _ in 0..100 {
            // A watch that has ended is renewed at once, so three wait at any time.
            fleet.clock.sleep(Duration::from_millis(20)).await;
            let watches = fleet.store.watching.get();
            assert!((1..=3).contains(&watches), "{watches} nodes watch the key");
        }
        let status = fleet.nodes[5].fleet().await;
        assert_eq!((status.members.len(), status.silent.len()), (24, 0));
        assert!(status.members.iter().all(|member| member.revision == 2));
    });
}

/// Regions lose contact several times a year. Each side then suspects the other one, and must
/// still find it when the contact is back.
#[test]
fn two_halves_find_each_other_after_a_partition() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.store.put_revision(1);
        fleet.add_nodes(10).await;
        fleet
            .wait(START_LIMIT, |fleet| fleet.nodes.iter().all(|node| node.link_count() >= 3))
            .await;
        fleet.partition(5, true);
        // A node suspects three others every 6 s; after this time all of the other half.
        fleet.clock.sleep(Duration::from_secs(30)).await;
        let request = Digest(5);
        fleet.nodes[0].record_crash(request, &"engine-0".into(), 1);
        fleet.clock.sleep(Duration::from_secs(3)).await;
        let known = |fleet: &Fleet| {
            fleet.nodes.iter().filter(|node| node.is_crash_suspect(request)).count()
        };
        assert_eq!(known(&fleet), 5, "nodes that know of the crash during the partition");
        fleet.partition(5, false);
        let took = fleet.wait(START_LIMIT, |fleet| known(fleet) == 10).await;
        println!("the halves had the same facts {took:?} after the partition");
    });
}

/// The budget is 4 KB/s per node at 400 nodes, so the traffic at rest must not grow with the fleet.
#[test]
fn traffic_at_rest_stays_within_the_budget() {
    const SIZES: [usize; 4] = [3, 6, 12, 24];
    const WARM_UP: Duration = Duration::from_secs(15);
    const MEASURED: Duration = Duration::from_secs(20);
    const BUDGET: f64 = 4096.0;
    run(async {
        let clock = Rc::new(RuntimeClock::new());
        let mut fleets = Vec::new();
        for size in SIZES {
            let mut fleet = Fleet::new();
            fleet.store.put_revision(1);
            fleet.add_nodes(size).await;
            fleets.push(fleet);
        }
        clock.sleep(WARM_UP).await;
        let before: Vec<Vec<f64>> = fleets.iter().map(Fleet::traffic).collect();
        clock.sleep(MEASURED).await;
        for (fleet, before) in fleets.iter().zip(before) {
            let seconds = MEASURED.as_secs_f64();
            let rates: Vec<f64> =
                fleet.traffic().iter().zip(before).map(|(a, b)| (a - b) / seconds).collect();
            let (mean, most) = (
                rates.iter().sum::<f64>() / rates.len() as f64,
                rates.iter().copied().fold(0.0, f64::max),
            );
            println!("{} nodes: mean {mean:.0} B/s, most {most:.0} B/s", rates.len());
            assert!(mean > 0.0 && most < BUDGET, "{} nodes: {rates:?}", rates.len());
        }
    });
}

/// A question to a node that does not answer must end at its deadline.
#[test]
fn gathering_ends_when_a_node_does_not_answer() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.store.put_revision(1);
        fleet.add_nodes(2).await;
        let silent = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("port is free");
        fleet.list_node("node-silent", silent.local_addr().expect("address is known"));
        fleet.wait(START_LIMIT, |fleet| fleet.all_at(1)).await;
        fleet.clock.sleep(Duration::from_secs(2)).await;
        let gathered = timeout(&*fleet.clock, Duration::from_secs(2), fleet.nodes[0].fleet()).await;
        let status = gathered.expect("the deadline holds");
        assert_eq!(status.members.len(), 2);
        assert_eq!(status.silent, vec!["node-silent".into()]);
        assert!(fleet.nodes[0].explain("unknown").await.is_empty());
    });
}
