//! Choice of routes, load estimates, learned link costs and cached prefixes.

use std::{net::SocketAddr, time::Duration};

use clock::Timestamp;
use proptest::prelude::*;
use routing::{
    EngineState, LeastOutstanding, LinkTable, LoadReport, LoadView, LowestLatency, PrefixTable,
    RoundRobin, RoutePolicy, RouteRequest,
};
use types::{Domain, LayerRange, Stage, check_coverage};

const LAYERS: u32 = 12;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_origin(Duration::from_millis(millis))
}

fn report(start: u32, end: u32, step_millis: u64) -> LoadReport {
    LoadReport {
        incarnation: 1,
        model: "m".into(),
        version: "1".into(),
        layers: LayerRange { start, end },
        slots: 8,
        running: 0,
        step: Duration::from_millis(step_millis),
        prefill: Duration::from_micros(100),
        leaving: false,
    }
}

/// Adds an engine that has sent one report.
fn add_engine(view: &mut LoadView, name: &str, domain: &str, report: LoadReport) {
    let mut engine = EngineState::new(addr(1), domain.into());
    engine.record_report(report, Duration::ZERO, at(0));
    view.engines.insert(name.into(), engine);
}

fn request() -> RouteRequest {
    RouteRequest {
        model: "m".into(),
        version: "1".into(),
        layers: LAYERS,
        prompt_tokens: 500,
        output_tokens: 10,
        node_domain: "north".into(),
        avoid: Vec::new(),
        slot_percent: 100,
        prefixes: [].into(),
        block_tokens: 50,
    }
}

fn names(route: &[Stage]) -> Vec<&str> {
    route.iter().map(|stage| stage.engine.as_str()).collect()
}

proptest! {
    /// Guards against routes that skip or repeat a layer, for any layer ranges of the engines.
    #[test]
    fn a_route_covers_every_layer_once(
        ranges in prop::collection::vec((0u32..LAYERS, 1u32..=LAYERS, 1u64..20), 0..24),
        seed in any::<u64>(),
    ) {
        let mut view = LoadView::default();
        for (index, (start, length, step)) in ranges.into_iter().enumerate() {
            let report = report(start, (start + length).min(LAYERS), step);
            add_engine(&mut view, &format!("e{index}"), "north", report);
        }
        let policies: [Box<dyn RoutePolicy>; 3] = [
            Box::new(LowestLatency::new(seed)),
            Box::new(RoundRobin::default()),
            Box::new(LeastOutstanding),
        ];
        let found: Vec<_> = policies
            .into_iter()
            .map(|mut policy| policy.choose(&view, &request(), at(0)))
            .collect();
        for route in &found {
            prop_assert_eq!(route.is_some(), found[1].is_some());
            if let Some(route) = route {
                let covered = check_coverage(route.iter().map(|stage| stage.layers), LAYERS);
                prop_assert_eq!(covered, Ok(()));
            }
        }
    }

    /// Guards against a link table that grows with the number of domains, and against negative
    /// costs.
    #[test]
    fn the_size_of_the_link_table_is_bounded(
        routes in prop::collection::vec((0u32..100, 0u32..100, 0u64..1000), 1..300),
    ) {
        let mut links = LinkTable::default();
        for (one, other, millis) in routes {
            let domains: [Domain; 2] = [one.to_string().into(), other.to_string().into()];
            links.observe(&domains, Duration::from_millis(5), Duration::from_millis(millis));
            prop_assert!(links.len() <= 64);
        }
    }
}

/// Guards against routes over a slow link between domains after its cost was learned.
#[test]
fn routes_stay_in_one_domain_after_link_costs_are_learned() {
    let mut view = LoadView::default();
    for domain in ["north", "south"] {
        add_engine(&mut view, &format!("{domain}-0"), domain, report(0, 6, 2));
        add_engine(&mut view, &format!("{domain}-1"), domain, report(6, 12, 2));
    }
    let route = |names: [&str; 2]| {
        let stage = |name: &str, start| Stage {
            engine: name.into(),
            addr: addr(1),
            layers: LayerRange { start, end: start + 6 },
        };
        [stage(names[0], 0), stage(names[1], 6)]
    };
    for _ in 0..50 {
        let near = Duration::from_millis(4);
        view.observe_interval(&route(["north-0", "north-1"]), near);
        view.observe_interval(&route(["south-0", "south-1"]), near);
        let far = Duration::from_millis(44);
        view.observe_interval(&route(["north-0", "south-1"]), far);
    }
    let cost = view.links.cost(&"north".into(), &"south".into());
    assert!(cost.abs_diff(Duration::from_millis(20)) < Duration::from_millis(3), "{cost:?}");
    let mut policy = LowestLatency::new(1);
    for _ in 0..50 {
        let route = policy.choose(&view, &request(), at(0)).expect("engines cover the model");
        let domain = |stage: &Stage| stage.engine.split('-').next().map(str::to_owned);
        assert_eq!(domain(&route[0]), domain(&route[1]));
    }
}

/// Guards against sending all requests between two reports to the engine that reported the least
/// load.
#[test]
fn requests_between_two_reports_are_spread_over_engines() {
    let mut view = LoadView::default();
    for name in ["a", "b", "c", "d"] {
        let running = if name == "a" { 0 } else { 2 };
        add_engine(&mut view, name, "north", LoadReport { running, ..report(0, 12, 2) });
    }
    let mut policy = LowestLatency::new(1);
    for _ in 0..16 {
        let route = policy.choose(&view, &request(), at(1)).expect("engines cover the model");
        view.start_request(&route, at(1));
    }
    let most = view.engines.values().map(|engine| engine.outstanding).max();
    assert!(most <= Some(7), "{most:?} of 16 requests went to one of 4 engines");
}

/// Guards against more sessions on an engine than it has slots, and against slots that stay unused.
#[test]
fn an_engine_gets_as_many_sessions_as_it_has_free_slots() {
    let mut view = LoadView::default();
    add_engine(&mut view, "a", "north", LoadReport { running: 3, ..report(0, 12, 2) });
    let mut policy = LowestLatency::new(1);
    let mut started = 0;
    while let Some(route) = policy.choose(&view, &request(), at(0)) {
        view.start_request(&route, at(0));
        started += 1;
        assert!(started <= 8, "the engine has 8 slots");
    }
    assert_eq!(started, 5, "3 of 8 slots are used by other nodes");
    let unlimited = RouteRequest { slot_percent: 0, ..request() };
    assert!(policy.choose(&view, &unlimited, at(0)).is_some());
}

/// Guards against counting the node's own sessions a second time because the engine reports them
/// too.
#[test]
fn reported_sessions_of_this_node_are_not_counted_twice() {
    let mut view = LoadView::default();
    add_engine(&mut view, "a", "north", report(0, 12, 2));
    let route = LowestLatency::new(1).choose(&view, &request(), at(0)).expect("there is an engine");
    (0..4).for_each(|_| view.start_request(&route, at(0)));
    let engine = view.engines.get_mut("a").expect("engine is known");
    engine.record_report(LoadReport { running: 4, ..report(0, 12, 2) }, Duration::ZERO, at(1000));
    assert_eq!(engine.estimated_sessions(), 4);
}

/// Guards against prefills that a cached prefix would make unnecessary, and against an overload of
/// the engine that has cached a popular prefix.
#[test]
fn the_engine_with_the_cached_prefix_is_used_until_it_is_loaded() {
    let mut view = LoadView::default();
    for name in ["a", "b"] {
        add_engine(&mut view, name, "north", report(0, 12, 2));
    }
    view.prefixes.record_stored(1, &"a".into(), at(0));
    view.prefixes.record_stored(2, &"a".into(), at(0));
    let cached_request =
        RouteRequest { prefixes: [1, 2, 3].into(), block_tokens: 200, ..request() };
    let mut policy = LowestLatency::new(1);
    let mut routes = Vec::new();
    for _ in 0..12 {
        let route = policy.choose(&view, &cached_request, at(1)).expect("engines cover the model");
        view.start_request(&route, at(1));
        routes.push(names(&route)[0].to_owned());
    }
    assert_eq!(routes[..3], ["a", "a", "a"]);
    assert!(routes.iter().any(|name| name == "b"), "the engine with the prefix gets all requests");
}

/// Guards against a prefix table that grows without bound or uses outdated entries.
#[test]
fn the_prefix_table_is_bounded_and_its_entries_expire() {
    let mut table = PrefixTable::default();
    for prefix in 0..20_000 {
        table.record_stored(prefix, &"a".into(), at(0));
    }
    assert!(table.len() <= 8192);
    let engine = "a".into();
    assert_eq!(table.cached_blocks(&[19_998, 19_999], &engine, at(0)), 2);
    table.record_evicted(19_999, &engine);
    assert_eq!(table.cached_blocks(&[19_998, 19_999], &engine, at(0)), 1);
    assert_eq!(
        table.cached_blocks(&[19_998], &engine, at(60_000)),
        0,
        "the event of the eviction may have been lost"
    );
    table.record_stored(19_998, &engine, at(60_000));
    table.remove_engine(&engine);
    assert_eq!(table.cached_blocks(&[19_998], &engine, at(60_000)), 0);
}

/// Guards against a node that ends requests with a panic because the load report of one engine
/// contains very large numbers.
#[test]
fn very_large_numbers_in_a_report_do_not_end_the_choice_of_a_route() {
    for slots in [0, u32::MAX] {
        let odd = LoadReport {
            slots,
            running: u32::MAX,
            step: Duration::from_micros(u64::MAX),
            prefill: Duration::from_micros(u64::MAX),
            ..report(0, 12, 2)
        };
        let mut view = LoadView::default();
        add_engine(&mut view, "odd", "north", odd.clone());
        add_engine(&mut view, "sound", "north", report(0, 12, 2));
        let whole = Stage {
            engine: "odd".into(),
            addr: addr(1),
            layers: LayerRange { start: 0, end: LAYERS },
        };
        let route = [whole];
        view.start_request(&route, at(1));
        view.start_prefill(&route, u32::MAX);
        view.start_prefill(&route, u32::MAX);
        view.observe_interval(&route, Duration::from_millis(20));
        assert!(view.expected_step(&route) > Duration::ZERO);
        let unlimited = RouteRequest { slot_percent: 0, ..request() };
        let chosen = LowestLatency::new(1).choose(&view, &unlimited, at(1)).expect("a route");
        assert_eq!(names(&chosen), ["sound"]);
        view.engines.remove("sound");
        assert!(LowestLatency::new(1).choose(&view, &unlimited, at(1)).is_some());
    }
}
