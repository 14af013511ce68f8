//! Updates of the catalog, and the choice of a route and a service.

use std::time::Duration;

use catalog::{
    CatalogState, Phase, RetryPolicy, Route, RoutingTable, RoutingTableBuilder, UpdateOutcome,
    Upstream, WeightedService,
};
use types::LayerRange;

fn table(version: u64) -> RoutingTable {
    RoutingTableBuilder::new(version).build()
}

fn upstream(name: &str, incarnation: u64) -> Upstream {
    Upstream {
        name: name.into(),
        incarnation,
        service: "drafts".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "a".into(),
        capacity: 4,
        phase: Phase::Serving,
        accelerator_kind: None,
        layers: None,
    }
}

fn route(host: &str, path_prefix: &str, weighted_services: &[(&str, u32)]) -> Route {
    Route {
        name: path_prefix.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        retry: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        max_gap: None,
        priority: 0,
        max_entries: 2,
        public: false,
        weighted_services: weighted_services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
    }
}

/// Guards against a late answer of the key-value service that replaces a newer configuration.
#[test]
fn an_older_table_does_not_replace_a_newer_one() {
    let mut state = CatalogState::default();
    assert_eq!(state.apply_table(table(5)), UpdateOutcome::Applied);
    assert_eq!(state.apply_table(table(4)), UpdateOutcome::Ignored);
    assert_eq!(state.apply_table(table(5)), UpdateOutcome::Ignored);
    assert_eq!(state.table().unwrap().version(), 5);
}

/// Guards against an older list that restores an upstream after a watch reported its removal.
#[test]
fn a_removed_upstream_does_not_come_back_with_an_older_entry() {
    let mut state = CatalogState::default();
    let name = "one".into();
    state.apply_upstream(&name, Some(upstream("one", 1)), 10);
    state.apply_upstream(&name, None, 12);
    assert_eq!(state.apply_upstream(&name, Some(upstream("one", 1)), 11), UpdateOutcome::Ignored);
    assert!(state.upstream("one").is_none());
    assert_eq!(state.apply_upstream(&name, Some(upstream("one", 2)), 13), UpdateOutcome::Applied);
    assert_eq!(state.upstream("one").unwrap().incarnation, 2);
}

/// Guards against entries that expired while the key-value service was unreachable and are kept for
/// ever, since no watch reports their removal.
#[test]
fn a_list_removes_missing_upstreams_unless_they_are_newer() {
    let mut state = CatalogState::default();
    state.apply_upstream(&"old".into(), Some(upstream("old", 1)), 10);
    state.apply_upstream(&"new".into(), Some(upstream("new", 1)), 30);
    let missing = state.apply_list(&[], 20);
    assert_eq!(missing, vec![("old".into(), 10)]);
    assert_eq!(state.remove_missing(&missing), vec!["old".into()]);
    assert!(state.upstream("old").is_none());
    assert!(state.upstream("new").is_some());
    assert!(state.has_list());
}

/// Guards against an upstream that is removed although its entry, which lapsed in an outage, was
/// written again.
#[test]
fn a_missing_upstream_stays_if_its_entry_was_written_again() {
    let mut state = CatalogState::default();
    let name = "one".into();
    state.apply_upstream(&name, Some(upstream("one", 1)), 10);
    let missing = state.apply_list(&[], 20);
    assert!(state.upstream("one").is_some(), "it stays until it is removed");
    state.apply_upstream(&name, Some(upstream("one", 1)), 21);
    assert_eq!(state.remove_missing(&missing), Vec::new());
    assert!(state.upstream("one").is_some());
}

/// Guards against ready engines that get no requests because the registry is unreachable and does
/// not contain their layers, and against the use of layers that an earlier incarnation reported.
#[test]
fn reported_layers_are_used_until_the_registry_contains_layers() {
    let mut state = CatalogState::default();
    let layers = |start, end| LayerRange { start, end };
    let name = "one".into();
    assert_eq!(state.apply_layers(&name, 1, layers(0, 5)), UpdateOutcome::Ignored);
    state.apply_upstream(&name, Some(upstream("one", 1)), 10);
    assert_eq!(state.apply_layers(&name, 2, layers(0, 5)), UpdateOutcome::Ignored);
    assert_eq!(state.apply_layers(&name, 1, layers(0, 5)), UpdateOutcome::Applied);
    assert_eq!(state.layers(state.upstream("one").unwrap()), Some(layers(0, 5)));
    state.apply_upstream(&name, Some(upstream("one", 2)), 11);
    assert_eq!(state.layers(state.upstream("one").unwrap()), None);
    let registered = Upstream { layers: Some(layers(2, 6)), ..upstream("one", 2) };
    state.apply_upstream(&name, Some(registered), 12);
    assert_eq!(state.layers(state.upstream("one").unwrap()), Some(layers(2, 6)));
}

/// Guards against a request that is handled by a route with a shorter prefix.
#[test]
fn the_route_with_the_longest_matching_prefix_is_chosen() {
    let table = RoutingTableBuilder::new(1)
        .route(route("h", "/a/", &[("s", 1)]))
        .route(route("h", "/a/b/", &[("s", 1)]))
        .route(route("other", "/a/b/c/", &[("s", 1)]))
        .build();
    assert_eq!(&*table.route("h", "/a/b/c/d").unwrap().path_prefix, "/a/b/");
    assert_eq!(&*table.route("h", "/a/x").unwrap().path_prefix, "/a/");
    assert!(table.route("h", "/b/").is_none());
    assert!(table.route("none", "/a/").is_none());
}

/// Guards against requests to a service that operators disabled by setting its weight to zero.
#[test]
fn requests_are_split_over_services_by_weight() {
    let split = route("h", "/a/", &[("none", 0), ("most", 9), ("few", 1)]);
    assert_eq!(split.service(0.0).unwrap().as_str(), "most");
    assert_eq!(split.service(0.89).unwrap().as_str(), "most");
    assert_eq!(split.service(0.95).unwrap().as_str(), "few");
    assert_eq!(route("h", "/a/", &[]).service(0.5), None);
}

/// Guards against access without a key after all keys were removed.
#[test]
fn requests_need_a_key_when_no_organisation_has_one() {
    let table = RoutingTableBuilder::new(1).require_keys().build();
    assert!(table.requires_key());
    assert!(table.access("k").is_none());
}

/// Guards against a request that ends in a panic, or goes to the wrong service, because the weights
/// of its route are very large.
#[test]
fn weights_whose_sum_exceeds_the_range_of_a_weight_are_used() {
    let route = route("h", "/", &[("s1", u32::MAX), ("s2", u32::MAX)]);
    assert_eq!(route.service(0.1).map(|name| name.as_str()), Some("s1"));
    assert_eq!(route.service(0.9).map(|name| name.as_str()), Some("s2"));
}

/// Guards against ranks that count a priority twice, count routes of other services or without
/// weight, or lie beyond the number of ranks for an organisation's own priority.
#[test]
fn priorities_are_ranked_within_their_service() {
    let route = |path: &str, priority, services: &[(&str, u32)]| Route {
        priority,
        ..route("host", path, services)
    };
    let table = RoutingTableBuilder::new(1)
        .route(route("/a/", 7, &[("model", 1)]))
        .route(route("/b/", 3, &[("model", 1), ("other", 0)]))
        .route(route("/c/", 7, &[("model", 1)]))
        .route(route("/d/", u32::MAX, &[("model", 1)]))
        .route(route("/e/", 0, &[("other", 1)]))
        .build();
    let rank = |priority| table.priority_rank("model", priority);
    assert_eq!([rank(3), rank(7), rank(u32::MAX)], [(0, 3), (1, 3), (2, 3)]);
    assert_eq!([rank(0), rank(5), rank(8)], [(0, 3), (1, 3), (2, 3)]);
    assert_eq!(table.priority_rank("other", 9), (0, 1));
    assert_eq!(table.priority_rank("unknown", 9), (0, 1));
}
