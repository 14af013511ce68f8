//! Paths, placements, load and health of upstreams, partly over random fleets.

use std::{collections::BTreeMap, time::Duration};

use catalog::{AcceleratorKind, ModelProfile};
use clock::Timestamp;
use pipelines::{
    EngineView, HealthTable, Load, LoadTable, PathCandidate, PathQuery, Placement, UpstreamLoad,
    choose_path, covers_model, plan,
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use types::{LayerRange, check_coverage};

const LAYERS: u32 = 80;

fn profile() -> ModelProfile {
    let kind = |memory_mb, step_factor| AcceleratorKind { memory_mb, step_factor };
    ModelProfile {
        layers: LAYERS,
        layer_mb: 1750.0,
        kv_bytes: 590_000.0,
        crossing_rate: None,
        latency: None,
        accelerators: BTreeMap::from([
            ("big".into(), kind(72_000.0, 1.4)),
            ("mid".into(), kind(21_600.0, 16.0)),
            ("low".into(), kind(14_400.0, 15.0)),
        ]),
    }
}

fn range(start: u32, end: u32) -> LayerRange {
    LayerRange { start, end }
}

fn candidate(number: usize, domain: &str, layers: LayerRange) -> PathCandidate {
    PathCandidate {
        name: format!("engine-{number}").into(),
        addr: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        domain: domain.into(),
        layers,
        step_factor: 10.0,
        kv_capacity: 1e9,
        kv_reserved: 0.0,
        can_be_entry: true,
        requests: 0,
        unread: 0.0,
        read_factor: 1.0,
    }
}

fn query() -> PathQuery<'static> {
    PathQuery {
        layers: LAYERS,
        tokens: 1000,
        max_fill: 0.9,
        may_cross: true,
        crossing_factor: 1.0,
        avoid: &[],
        targets: None,
    }
}

fn engines() -> impl Strategy<Value = Vec<EngineView>> {
    let accelerators = prop::sample::select(vec!["big", "mid", "low"]);
    let domains = prop::sample::select(vec!["a", "b", "c"]);
    let held = prop::option::weighted(0.3, (0..LAYERS, 1..8_u32));
    prop::collection::vec((accelerators, domains, held, any::<bool>()), 0..60).prop_map(|engines| {
        engines
            .into_iter()
            .enumerate()
            .map(|(number, (kind, domain, held, may_be_ordered))| EngineView {
                name: format!("engine-{number}").into(),
                domain: domain.into(),
                accelerator_kind: kind.into(),
                layers: held.map(|(start, length)| range(start, (start + length).min(LAYERS))),
                may_be_ordered,
            })
            .collect()
    })
}

proptest! {
    /// Guards against a path with a gap or an overlap, which engines do not notice.
    #[test]
    fn a_path_covers_every_layer_once_and_in_order(
        ranges in prop::collection::vec((0..LAYERS, 1..40_u32, 0..3_usize), 0..40),
        seed in any::<u64>(),
    ) {
        let candidates: Vec<PathCandidate> = ranges
            .iter()
            .enumerate()
            .map(|(number, (start, length, domain))| {
                candidate(number, ["a", "b", "c"][*domain], range(*start, (start + length).min(LAYERS)))
            })
            .collect();
        let path = choose_path(&candidates, &query(), &mut StdRng::seed_from_u64(seed));
        if let Some(path) = path {
            let stages = path.stages;
            let ranges = stages.iter().map(|stage| stage.layers);
            prop_assert_eq!(check_coverage(ranges, LAYERS), Ok(()));
            for (index, stage) in stages.iter().enumerate() {
                let held = candidates.iter().find(|candidate| candidate.name == stage.engine).unwrap();
                prop_assert!(held.layers.start <= stage.layers.start);
                prop_assert!(held.layers.end >= stage.layers.end);
                prop_assert!(!stages[..index].iter().any(|other| other.engine == stage.engine));
            }
        }
    }

    /// Guards against an order that makes an engine crash because it runs out of memory.
    #[test]
    fn no_placement_exceeds_the_memory_of_its_engine(engines in engines()) {
        let profile = profile();
        for placement in plan(&profile, &engines) {
            let engine = engines.iter().find(|engine| engine.name == placement.name).unwrap();
            let memory = profile.accelerators[&engine.accelerator_kind].memory_mb;
            prop_assert!(f64::from(placement.layers.len()) * profile.layer_mb <= memory * 0.9);
            prop_assert!(!placement.layers.is_empty() && placement.layers.end <= LAYERS);
            prop_assert!(engine.may_be_ordered && engine.layers.is_none());
        }
    }
}

/// Guards against prompts that pass over the link between domains although a copy within one domain
/// has room.
#[test]
fn a_path_stays_within_a_domain_while_there_is_room() {
    let candidates = [
        candidate(0, "a", range(0, 40)),
        candidate(1, "b", range(0, 40)),
        candidate(2, "b", range(40, 80)),
    ];
    let path = choose_path(&candidates, &query(), &mut StdRng::seed_from_u64(1)).unwrap();
    assert_eq!(path.stages[0].engine.as_str(), "engine-1");
}

/// Guards against a stream that is preempted because the memory of an engine is full.
#[test]
fn a_path_avoids_engines_without_room() {
    let mut full = candidate(0, "a", range(0, 80));
    full.kv_reserved = full.kv_capacity;
    assert!(choose_path(&[full.clone()], &query(), &mut StdRng::seed_from_u64(1)).is_none());
    let free = candidate(1, "b", range(0, 80));
    let path = choose_path(&[full, free], &query(), &mut StdRng::seed_from_u64(1)).unwrap();
    assert_eq!(path.stages[0].engine.as_str(), "engine-1");
}

/// An engine without layers.
fn empty_engine(number: usize, kind: &str, domain: &str) -> EngineView {
    EngineView {
        name: format!("engine-{domain}-{number:02}").into(),
        domain: domain.into(),
        accelerator_kind: kind.into(),
        layers: None,
        may_be_ordered: true,
    }
}

/// Two domains with 13 empty engines each.
fn fleet() -> Vec<EngineView> {
    let mut engines = Vec::new();
    for domain in ["a", "b"] {
        engines.extend((0..10).map(|number| empty_engine(number, "mid", domain)));
        engines.extend((10..13).map(|number| empty_engine(number, "low", domain)));
    }
    engines
}

/// The engines of `fleet` after they have loaded the planned layers.
fn loaded_fleet() -> Vec<EngineView> {
    let mut engines = fleet();
    for placement in plan(&profile(), &engines) {
        let engine = engines.iter_mut().find(|engine| engine.name == placement.name).unwrap();
        engine.layers = Some(placement.layers);
    }
    engines
}

/// For each layer, the number of engines that are planned to load it.
fn copies(placements: &[Placement]) -> impl Iterator<Item = usize> {
    (0..LAYERS).map(|layer| {
        let holds = |layers: LayerRange| layers.start <= layer && layer < layers.end;
        placements.iter().filter(|placement| holds(placement.layers)).count()
    })
}

/// Guards against a plan that leaves a domain without a copy, so that its prompts pass over the
/// link to another domain.
#[test]
fn each_domain_with_enough_memory_gets_a_whole_copy() {
    let engines = fleet();
    let placements = plan(&profile(), &engines);
    for domain in ["a", "b"] {
        let held = placements
            .iter()
            .filter(|placement| placement.name.starts_with(&format!("engine-{domain}")))
            .map(|placement| placement.layers);
        assert!(covers_model(&profile(), held), "domain {domain}");
    }
}

/// Guards against a large fleet in which most engines hold no layers: in a deployment of 98
/// engines, only 19 held layers, and two thirds of the requests were refused.
#[test]
fn a_domain_with_memory_for_several_copies_holds_them_and_keeps_spares() {
    let engines: Vec<EngineView> = (0..40).map(|number| empty_engine(number, "mid", "a")).collect();
    let placements = plan(&profile(), &engines);
    assert!(copies(&placements).all(|count| count == 3), "three copies");
    assert!(placements.len() <= 36, "a tenth of the engines is spare");
}

/// Guards against a lost engine whose layers no other engine loads.
#[test]
fn a_spare_engine_loads_the_layers_of_a_lost_engine() {
    let mut engines = loaded_fleet();
    assert!(plan(&profile(), &engines).is_empty(), "complete copies need no placement");
    let lost = engines.iter().position(|engine| engine.layers.is_some()).unwrap();
    let gap = engines.remove(lost).layers.unwrap();
    let placements = plan(&profile(), &engines);
    let start = placements.iter().map(|placement| placement.layers.start).min();
    let end = placements.iter().map(|placement| placement.layers.end).max();
    assert_eq!((start, end), (Some(gap.start), Some(gap.end)));
}

/// Guards against orders to all spare engines of one domain to load the same layers, which another
/// domain lacks: in a test run of a whole day, a third of the requests were lost because of this.
#[test]
fn spare_engines_do_not_load_layers_that_only_another_domain_lacks() {
    let mut engines = loaded_fleet();
    engines.retain(|engine| {
        &*engine.domain != "a" || engine.layers.is_some_and(|layers| layers.start > 0)
    });
    assert_eq!(plan(&profile(), &engines), Vec::new());
}

/// Guards against layers that no engine holds although some domain still has a spare engine.
#[test]
fn a_spare_engine_of_any_domain_loads_layers_that_all_domains_lack() {
    let mut engines = loaded_fleet();
    engines.retain(|engine| {
        &*engine.domain != "a" || engine.layers.is_some_and(|layers| layers.start > 0)
    });
    engines.retain(|engine| engine.layers.is_none_or(|layers| layers.start > 0));
    let placements = plan(&profile(), &engines);
    assert_eq!(placements.iter().map(|placement| placement.layers.start).min(), Some(0));
}

/// Guards against nodes that avoid a working upstream for good, since each repeats the others'
/// announcements. On a day with packet loss, hardly any request was served after its end.
#[test]
fn announcements_of_nodes_do_not_prolong_each_other() {
    const INTERVAL: Duration = Duration::from_millis(200);
    let at = |round: u32| Timestamp::from_origin(INTERVAL * round);
    let mut nodes = [HealthTable::default(), HealthTable::default(), HealthTable::default()];
    for node in &mut nodes {
        node.record_failure(&"one".into(), 1, at(0));
    }
    for round in 1..20 {
        let announced = nodes.each_ref().map(|node| node.failing_upstreams(at(round)).count() > 0);
        for (receiver, node) in nodes.iter_mut().enumerate() {
            let mut others = announced.iter().enumerate().filter(|(sender, _)| *sender != receiver);
            if others.any(|(_, is_announced)| *is_announced) {
                node.avoid(&"one".into(), 1, at(round), INTERVAL * 2);
            }
        }
    }
    assert!(nodes.iter().all(|node| !node.is_avoided("one", 1, at(20))), "still avoided after 4 s");
}

/// Guards against an incident that counts as one failure for each request that it affected.
#[test]
fn simultaneous_failures_lengthen_the_pause_once() {
    let mut health = HealthTable::default();
    let at = |millis| Timestamp::from_origin(Duration::from_millis(millis));
    let first = health.record_failure(&"one".into(), 1, at(0));
    let same = health.record_failure(&"one".into(), 1, at(10));
    assert_eq!(first, same);
    let later = health.record_failure(&"one".into(), 1, at(5000));
    assert!(later > first);
    assert!(health.is_avoided("one", 1, at(5001)));
    assert!(!health.is_avoided("one", 2, at(5001)), "a new incarnation is not avoided");
}

/// Guards against an engine that leaves while the registry is unreachable: it refuses every
/// call and so seems to have the most room. In a large deployment, such an engine received 40 times
/// as many calls as the others within a day.
#[test]
fn an_upstream_that_keeps_refusing_calls_is_avoided_for_longer() {
    let mut health = HealthTable::default();
    let at = |millis| Timestamp::from_origin(Duration::from_millis(millis));
    let name = "one".into();
    let first = Duration::from_millis(100);
    assert_eq!(health.record_refusal(&name, 1, at(0), first), first);
    assert_eq!(health.record_refusal(&name, 1, at(10), first), first, "both count as one refusal");
    assert_eq!(
        health.failing_upstreams(at(20)).count(),
        0,
        "a full engine is not reported to other nodes"
    );
    assert!(!health.is_avoided("one", 1, at(120)));
    assert_eq!(health.record_refusal(&name, 1, at(120), first), first * 2);
    assert_eq!(health.failing_upstreams(at(130)).count(), 1);
    assert_eq!(health.failing_for("one", 1, at(130)), None, "its running streams continue");
    health.record_acceptance("one");
    assert_eq!(health.record_refusal(&name, 1, at(400), first), first);
    let mut now = 1000;
    for _ in 0..12 {
        now += health.record_refusal(&name, 1, at(now), first).as_millis() as u64;
    }
    assert!(health.record_refusal(&name, 1, at(now), first) <= Duration::from_secs(2));
}

/// Guards against an upstream that counts as refusing calls for as long as it is avoided for something
/// else, such as the report of another node.
#[test]
fn a_pause_for_another_reason_does_not_lengthen_refusals() {
    let mut health = HealthTable::default();
    let at = |millis| Timestamp::from_origin(Duration::from_millis(millis));
    let name = "one".into();
    health.record_refusal(&name, 1, at(0), Duration::from_millis(100));
    health.avoid(&name, 1, at(50), Duration::from_millis(500));
    assert_eq!(health.refusing_until("one", 1, at(60)), Some(at(100)));
    assert_eq!(health.refusing_until("one", 1, at(100)), None);
    assert!(health.is_avoided("one", 1, at(100)));
    assert_eq!(health.refusing_until("one", 2, at(60)), None, "a restarted one has not refused");
}

/// Guards against the load of a dead node that keeps memory reserved for ever.
#[test]
fn the_load_of_a_silent_node_expires() {
    let mut table = LoadTable::default();
    let at = |seconds| Timestamp::from_origin(Duration::from_secs(seconds));
    let load = Load { requests: 3, entered: 1, token_layers: 100.0 };
    table.set_peer("node".into(), vec![("one".into(), load)], at(0));
    let item = UpstreamLoad { upstream: "one".into(), load };
    table.add(std::slice::from_ref(&item));
    assert_eq!(table.total("one").requests, 6);
    table.expire(at(10), Duration::from_secs(2));
    assert_eq!(table.total("one").requests, 3);
    table.remove(&[item]);
    assert_eq!(table.total("one"), Load::default());
}

proptest! {
    /// Guards against totals that differ from the sum of the last loads that the nodes sent.
    #[test]
    fn totals_are_the_sums_of_the_last_messages(
        messages in prop::collection::vec((0..4_u8, 0..3_u8, 1..9_u32, 0..6_u64), 1..60),
    ) {
        let mut table = LoadTable::default();
        let mut last = BTreeMap::new();
        let mut second = 0;
        for (node, upstream, requests, pause) in messages {
            second += pause;
            let now = Timestamp::from_origin(Duration::from_secs(second));
            let load = Load { requests, entered: 1, token_layers: f64::from(requests) };
            let loads = vec![(format!("upstream-{upstream}").as_str().into(), load)];
            table.set_peer(format!("node-{node}").as_str().into(), loads, now);
            last.insert(node, (second, upstream, requests));
            table.expire(now, Duration::from_secs(2));
            last.retain(|_, (received, ..)| second - *received < 2);
            for upstream in 0..3_u8 {
                let expected: u32 = last
                    .values()
                    .filter(|(_, known, _)| *known == upstream)
                    .map(|(_, _, requests)| *requests)
                    .sum();
                prop_assert_eq!(table.total(&format!("upstream-{upstream}")).requests, expected);
            }
        }
    }
}

/// Guards against a domain that leaves half of its engines empty because two are missing for a
/// second copy: in a deployment of four domains, two held one copy instead of two, and the other
/// copies were overloaded.
#[test]
fn a_further_copy_uses_a_larger_share_of_memory_instead_of_the_spare_engines() {
    let accelerators = std::iter::repeat_n("mid", 12).chain(std::iter::repeat_n("low", 14));
    let engines: Vec<EngineView> =
        accelerators.enumerate().map(|(number, kind)| empty_engine(number, kind, "a")).collect();
    let placements = plan(&profile(), &engines);
    assert!(copies(&placements).all(|count| count == 2), "two copies");
    assert!(placements.len() <= 23, "a tenth of the engines is spare");
}

/// Guards against a planner that ends, counts on copies that do not exist, or orders layers that the
/// model does not have, because the entry of one engine names layers beyond the model.
#[test]
fn layers_beyond_the_model_do_not_change_the_plan() {
    for layers in [range(0, u32::MAX), range(u32::MAX - 1, u32::MAX), range(LAYERS, LAYERS + 1)] {
        for engines in [fleet(), loaded_fleet()] {
            let expected = plan(&profile(), &engines);
            let mut with_odd_engine = engines;
            let odd = EngineView { layers: Some(layers), ..empty_engine(99, "mid", "a") };
            with_odd_engine.push(odd);
            assert_eq!(plan(&profile(), &with_odd_engine), expected, "{layers}");
        }
    }
}

/// Guards against a sum of layers that overflows because the configuration states a very large
/// memory of an accelerator.
#[test]
fn very_large_memory_does_not_overflow_a_plan() {
    let mut profile = profile();
    let kind = AcceleratorKind { memory_mb: 1e300, step_factor: 1.0 };
    profile.accelerators.insert("huge".into(), kind);
    let engines: Vec<EngineView> = (0..4).map(|number| empty_engine(number, "huge", "a")).collect();
    let held = plan(&profile, &engines).into_iter().map(|placement| placement.layers);
    assert!(covers_model(&profile, held));
    let gap = EngineView { layers: Some(range(1, LAYERS)), ..empty_engine(9, "mid", "a") };
    let engines = [gap, empty_engine(0, "huge", "a")];
    let held = plan(&profile, &engines).into_iter().map(|placement| placement.layers);
    assert!(covers_model(&profile, held.chain([range(1, LAYERS)])));
}

/// Guards against a node that ends or miscounts because the counts in another node's message are
/// very large.
#[test]
fn very_large_counts_of_other_nodes_do_not_overflow() {
    let mut loads = LoadTable::default();
    let load = Load { requests: u32::MAX, entered: u32::MAX, token_layers: u64::MAX as f64 };
    let now = Timestamp::default();
    for node in ["one", "other"] {
        loads.set_peer(node.into(), vec![("engine".into(), load)], now);
    }
    loads.add(&[UpstreamLoad { upstream: "engine".into(), load }]);
    assert_eq!(loads.total("engine").requests, u32::MAX);
}
