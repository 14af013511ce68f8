//! Catalog state is never replaced by older statements.

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
        accelerator: None,
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
        max_attempts: 2,
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

/// Guards against a late answer of the store that takes a newer configuration back.
#[test]
fn an_older_table_does_not_replace_a_newer_one() {
    let mut state = CatalogState::default();
    assert_eq!(state.apply_table(table(5)), UpdateOutcome::Applied);
    assert_eq!(state.apply_table(table(4)), UpdateOutcome::Stale);
    assert_eq!(state.apply_table(table(5)), UpdateOutcome::Stale);
    assert_eq!(state.table().unwrap().version(), 5);
}

/// Guards against a listed entry that brings back an upstream whose removal was seen in a watch.
#[test]
fn a_removed_upstream_does_not_come_back_with_an_older_entry() {
    let mut state = CatalogState::default();
    let name = "one".into();
    state.apply_upstream(&name, Some(upstream("one", 1)), 10);
    state.apply_upstream(&name, None, 12);
    assert_eq!(state.apply_upstream(&name, Some(upstream("one", 1)), 11), UpdateOutcome::Stale);
    assert!(state.upstream("one").is_none());
    assert_eq!(state.apply_upstream(&name, Some(upstream("one", 2)), 13), UpdateOutcome::Applied);
    assert_eq!(state.upstream("one").unwrap().incarnation, 2);
}

/// Guards against entries that lapsed while the store was away and would stay believed for good.
#[test]
fn a_list_removes_what_it_does_not_name_but_not_what_is_newer() {
    let mut state = CatalogState::default();
    state.apply_upstream(&"old".into(), Some(upstream("old", 1)), 10);
    state.apply_upstream(&"new".into(), Some(upstream("new", 1)), 30);
    let gone = state.apply_list(&[], 20);
    assert_eq!(gone, vec!["old".into()]);
    assert!(state.upstream("new").is_some());
    assert!(state.is_loaded());
}

/// Guards against engines that are ready and get no requests while the registry cannot show their
/// layers, and against layers of an earlier start.
#[test]
fn reported_layers_hold_until_the_registry_shows_its_own() {
    let mut state = CatalogState::default();
    let layers = |start, end| LayerRange { start, end };
    let name = "one".into();
    assert_eq!(state.apply_layers(&name, 1, layers(0, 5)), UpdateOutcome::Stale);
    state.apply_upstream(&name, Some(upstream("one", 1)), 10);
    assert_eq!(state.apply_layers(&name, 2, layers(0, 5)), UpdateOutcome::Stale);
    assert_eq!(state.apply_layers(&name, 1, layers(0, 5)), UpdateOutcome::Applied);
    assert_eq!(state.layers(state.upstream("one").unwrap()), Some(layers(0, 5)));
    state.apply_upstream(&name, Some(upstream("one", 2)), 11);
    assert_eq!(state.layers(state.upstream("one").unwrap()), None);
    let shown = Upstream { layers: Some(layers(2, 6)), ..upstream("one", 2) };
    state.apply_upstream(&name, Some(shown), 12);
    assert_eq!(state.layers(state.upstream("one").unwrap()), Some(layers(2, 6)));
}

/// Guards against a request that is handled by a shorter prefix than the one it belongs to.
#[test]
fn the_longest_prefix_of_the_host_is_the_route() {
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

/// Guards against requests for a service with weight zero, which the operators took out.
#[test]
fn a_split_follows_its_weights() {
    let split = route("h", "/a/", &[("none", 0), ("most", 9), ("few", 1)]);
    assert_eq!(split.service(0.0).unwrap().as_str(), "most");
    assert_eq!(split.service(0.89).unwrap().as_str(), "most");
    assert_eq!(split.service(0.95).unwrap().as_str(), "few");
    assert_eq!(route("h", "/a/", &[]).service(0.5), None);
}

/// Guards against open access after all keys were taken away.
#[test]
fn a_table_without_any_key_left_still_needs_one() {
    let table = RoutingTableBuilder::new(1).require_keys().build();
    assert!(table.requires_key());
    assert!(table.access("k").is_none());
}
