//! The demand of the whole fleet and the fair shares of organisations.

use std::{collections::BTreeMap, time::Duration};

use clock::Timestamp;
use pipelines::{Demand, DemandKey, DemandTable, MAX_REPORTED_ORGANISATIONS, fair_level};
use proptest::prelude::*;

const LIFETIME: Duration = Duration::from_secs(3);
const SERVICE: &str = "drafts";

fn at(millis: u64) -> Timestamp {
    Timestamp::from_origin(Duration::from_millis(millis))
}

fn key(priority: u32, organisation: &str) -> DemandKey {
    let organisation = (!organisation.is_empty()).then(|| organisation.into());
    DemandKey { service: SERVICE.into(), priority, organisation }
}

/// Reports of a node that runs these numbers of requests of organisations.
fn node(running: &[(&str, usize)]) -> DemandTable {
    let mut table = DemandTable::default();
    for (organisation, count) in running {
        (0..*count).for_each(|_| table.start(&key(1, organisation)));
    }
    table
}

/// Requests of all nodes that are at least as urgent as `priority`.
fn at_least(table: &DemandTable, priority: u32) -> Demand {
    let urgent = table.by_priority(SERVICE).filter(|(other, _)| *other <= priority);
    urgent.fold(Demand::default(), |sum, (_, demand)| Demand {
        running: sum.running + demand.running,
        waiting: sum.waiting + demand.waiting,
    })
}

/// Guards against one organisation that keeps the whole capacity because each node sees only its own
/// part of the organisation's requests.
#[test]
fn an_organisation_is_over_its_share_by_the_sum_over_nodes_while_others_wait() {
    let mut table = node(&[("small", 4)]);
    for number in 0..3 {
        let name = format!("node-{number}").as_str().into();
        table.set_peer(name, node(&[("large", 5), ("small", 2)]).report(), at(0));
    }
    assert!(!table.is_over_share(SERVICE, "large"), "its share is lent while nobody waits");
    (0..8).for_each(|_| table.enqueue(&key(0, "small")));
    assert!(table.is_over_share(SERVICE, "large"));
    assert!(!table.is_over_share(SERVICE, "small"));
    assert!(!table.is_over_share(SERVICE, "unknown"));
    table.expire(at(3000), LIFETIME);
    assert!(!table.is_over_share(SERVICE, "large"), "the reports have expired");
}

/// Guards against a queue that is almost always empty and so hides that requests are refused.
#[test]
fn refused_requests_count_as_waiting_for_a_second() {
    let mut table = node(&[("large", 6), ("small", 1)]);
    for _ in 0..1000 {
        table.refuse(key(0, "small"), at(0));
    }
    assert!(table.is_over_share(SERVICE, "large"));
    assert!(at_least(&table, 0).waiting < 1000, "their number is bounded");
    table.expire(at(1000), LIFETIME);
    assert_eq!(at_least(&table, 1), Demand { running: 7, waiting: 0 });
}

/// Guards against a report that grows with the number of organisations.
#[test]
fn a_report_names_the_largest_organisations_only() {
    let mut table = DemandTable::default();
    for number in 0..1000 {
        let count = if number < 8 { 3 } else { 1 };
        (0..count).for_each(|_| table.start(&key(number % 3, &format!("org-{number}"))));
    }
    let report = table.report();
    let service = report.values().next().expect("the service has demand");
    assert_eq!(service.organisations.len(), MAX_REPORTED_ORGANISATIONS);
    assert!(service.organisations.values().all(|demand| demand.running == 3));
    assert_eq!(service.others.running, 992);
    let by_priority: u64 = service.priorities.values().map(|demand| demand.running).sum();
    assert_eq!(by_priority, 1016);
}

proptest! {
    /// Guards against a share that is lent twice, and against capacity that nobody gets.
    #[test]
    fn shares_add_up_to_the_capacity(
        mut demands in prop::collection::vec(0..50_u64, 0..20),
        capacity in 0..400_u64,
    ) {
        let level = fair_level(&mut demands, capacity);
        prop_assert!(level >= 0.0);
        let shares: f64 = demands.iter().map(|demand| (*demand as f64).min(level)).sum();
        let expected = capacity.min(demands.iter().sum());
        prop_assert!((shares - expected as f64).abs() < 1e-6, "{shares} of {expected}");
    }

    /// Guards against sums that differ from the last reports and the node's own requests, after any
    /// interleaving of reports, expiries and requests.
    #[test]
    fn sums_equal_the_reports(
        steps in prop::collection::vec((0..6_u8, 0..3_u8, 0..3_u32, 0..6_usize, 0..900_u64), 1..60),
    ) {
        let mut table = DemandTable::default();
        let mut reports: BTreeMap<u8, (u64, u32, usize)> = BTreeMap::new();
        let (mut running, mut refused) = (0, Vec::new());
        let mut now = 0;
        for (kind, number, priority, count, pause) in steps {
            now += pause;
            table.expire(at(now), LIFETIME);
            reports.retain(|_, (received, ..)| now - *received < 3000);
            refused.retain(|at| now - *at < 1000);
            match kind {
                0 => {
                    table.start(&key(0, "own"));
                    running += 1;
                }
                1 if running > 0 => {
                    table.finish(&key(0, "own"));
                    running -= 1;
                }
                2 => {
                    table.refuse(key(0, "own"), at(now));
                    refused.push(now);
                }
                _ => {
                    let mut other = DemandTable::default();
                    (0..count).for_each(|_| other.enqueue(&key(priority, "")));
                    let name = format!("node-{number}").as_str().into();
                    table.set_peer(name, other.report(), at(now));
                    reports.insert(number, (now, priority, count));
                }
            }
            let mut expected = [Demand::default(); 3];
            expected[0] = Demand { running, waiting: refused.len() as u64 };
            for (_, priority, count) in reports.values() {
                expected[*priority as usize].waiting += *count as u64;
            }
            let found: BTreeMap<u32, Demand> = table.by_priority(SERVICE).collect();
            for (priority, expected) in (0..).zip(expected) {
                prop_assert_eq!(found.get(&priority).copied().unwrap_or_default(), expected);
            }
        }
    }
}
