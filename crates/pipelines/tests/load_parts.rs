//! Load of other nodes that arrives in several parts.

use std::{collections::BTreeMap, time::Duration};

use clock::Timestamp;
use pipelines::{Load, LoadTable};
use proptest::prelude::*;
use types::UpstreamName;

const LIFETIME: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_origin(Duration::from_millis(millis))
}

fn loads(upstreams: std::ops::Range<u32>) -> Vec<(UpstreamName, Load)> {
    let load = Load { requests: 1, entered: 0, token_layers: 10.0 };
    upstreams.map(|number| (format!("upstream-{number}").as_str().into(), load)).collect()
}

fn known(table: &LoadTable) -> u32 {
    (0..100).map(|number| table.total(&format!("upstream-{number}")).requests).sum()
}

/// Guards against load that remains counted after a node's upstreams fit into its beacon again.
#[test]
fn a_part_that_is_no_longer_sent_is_dropped() {
    let mut table = LoadTable::default();
    table.set_peer("node".into(), loads(0..40), at(0));
    table.set_part("node".into(), 1, loads(40..60), at(0));
    assert_eq!(known(&table), 60);
    table.set_peer("node".into(), loads(0..20), at(200));
    table.set_peer("node".into(), loads(0..20), at(400));
    assert_eq!(known(&table), 20);
    table.set_part("node".into(), 1, loads(40..60), at(500));
    table.set_peer("node".into(), Vec::new(), at(600));
    assert_eq!(known(&table), 0, "an idle node has no further part");
}

/// Guards against a view that forgets half of a node's load when one datagram is lost.
#[test]
fn a_lost_part_leaves_the_earlier_one_for_a_round() {
    let mut table = LoadTable::default();
    table.set_peer("node".into(), loads(0..40), at(0));
    table.set_part("node".into(), 1, loads(40..60), at(0));
    table.set_peer("node".into(), loads(0..40), at(200));
    assert_eq!(known(&table), 60);
    table.set_peer("node".into(), loads(0..40), at(400));
    table.set_part("node".into(), 1, loads(40..70), at(400));
    assert_eq!(known(&table), 70);
}

/// Guards against the load of a dead node, or of a part that arrived late, that stays for ever.
#[test]
fn parts_expire_each_by_its_own_age() {
    let mut table = LoadTable::default();
    table.set_part("node".into(), 1, loads(40..60), at(0));
    table.set_peer("node".into(), loads(0..40), at(1500));
    table.expire(at(2000), LIFETIME);
    assert_eq!(known(&table), 40);
    table.expire(at(3500), LIFETIME);
    assert_eq!(known(&table), 0);
}

/// A part that the table should count.
struct Part {
    received: u64,
    missed: u32,
    upstreams: std::ops::Range<u32>,
}

proptest! {
    /// Guards against sums that drift from the parts they are made of.
    #[test]
    fn totals_equal_the_parts_after_any_interleaving(
        messages in prop::collection::vec((0..3_u8, 0..3_u8, 0..5_u32, 0..5_u32, 0..900_u64), 1..80),
    ) {
        let mut table = LoadTable::default();
        let mut parts: BTreeMap<(u8, u8), Part> = BTreeMap::new();
        let mut now = 0;
        for (node, number, first, count, pause) in messages {
            now += pause;
            table.expire(at(now), LIFETIME);
            parts.retain(|_, part| now - part.received < 2000);
            let name = format!("node-{node}").as_str().into();
            let upstreams = first..first + count;
            if number == 0 {
                for (_, part) in parts.iter_mut().filter(|((other, _), _)| *other == node) {
                    part.missed += 1;
                }
                parts.retain(|(other, number), part| {
                    *other != node || *number == 0 || (count > 0 && part.missed < 2)
                });
                table.set_peer(name, loads(upstreams.clone()), at(now));
            } else {
                table.set_part(name, number, loads(upstreams.clone()), at(now));
            }
            parts.insert((node, number), Part { received: now, missed: 0, upstreams });
            for upstream in 0..10_u32 {
                let expected =
                    parts.values().filter(|part| part.upstreams.contains(&upstream)).count();
                let total = table.total(&format!("upstream-{upstream}"));
                prop_assert_eq!(total.requests as usize, expected);
                prop_assert!((total.token_layers - 10.0 * expected as f64).abs() < 1e-6);
            }
        }
    }
}
