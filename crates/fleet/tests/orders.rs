//! Planning of orders: missing replicas are loaded, no order is given twice, and during a change of
//! version each layer range stays loaded in one version.

use fleet::{EngineView, LayerAssignment, LoadCommand, plan_orders};
use settings::{FleetConfig, ModelConfig};
use types::LayerRange;

const MODEL: &str = "permits";

fn config(version: &str, replicas: u32) -> FleetConfig {
    let model = ModelConfig { version: version.into(), layers: 24, replicas, stages: Some(3) };
    FleetConfig { models: [(MODEL.into(), model)].into(), ..FleetConfig::default() }
}

fn load(version: &str, stage: u32) -> LayerAssignment {
    let layers = LayerRange { start: 8 * stage, end: 8 * (stage + 1) };
    LayerAssignment { model: MODEL.into(), version: version.into(), layers }
}

fn engine(name: &str, domain: &str, loaded: Option<LayerAssignment>) -> EngineView {
    EngineView { name: name.into(), domain: domain.into(), loaded, pending: false, reported: true }
}

/// Plans orders and executes them until none is needed. Returns the executed orders.
fn execute_orders(config: &FleetConfig, engines: &mut [EngineView]) -> Vec<LoadCommand> {
    let mut executed = Vec::new();
    loop {
        let planned = plan_orders(config, engines);
        if planned.is_empty() {
            return executed;
        }
        for order in planned {
            let engine = engines.iter_mut().find(|e| e.name == order.engine);
            engine.expect("ordered engine exists").loaded = Some(order.load.clone());
            executed.push(order);
        }
        assert!(executed.len() < 100, "new orders are planned without end: {executed:?}");
    }
}

#[test]
fn missing_replica_is_loaded_on_a_spare_engine_in_another_domain() {
    let engines = [
        engine("a", "north", Some(load("1", 0))),
        engine("b", "south", Some(load("1", 0))),
        engine("c", "north", Some(load("1", 1))),
        engine("d", "south", Some(load("1", 1))),
        engine("e", "north", Some(load("1", 2))),
        engine("f", "north", None),
        engine("g", "south", None),
    ];
    let orders = plan_orders(&config("1", 2), &engines);
    let expected = LoadCommand { engine: "g".into(), load: load("1", 2), when_idle: false };
    assert_eq!(orders, [expected]);
}

#[test]
fn engine_with_a_pending_order_gets_no_other_order() {
    let mut engines =
        vec![engine("a", "north", Some(load("1", 0))), engine("b", "north", Some(load("1", 1)))];
    engines.push(EngineView { pending: true, ..engine("c", "north", Some(load("1", 2))) });
    assert_eq!(plan_orders(&config("1", 1), &engines), []);
}

/// Guards against a spare engine that is used up for layers which an engine that has just joined
/// already holds.
#[test]
fn nothing_is_ordered_while_an_engine_has_not_reported_yet() {
    let mut engines = [
        engine("a", "north", Some(load("1", 0))),
        engine("b", "north", Some(load("1", 1))),
        EngineView { reported: false, ..engine("c", "north", None) },
        engine("spare", "south", None),
    ];
    assert_eq!(plan_orders(&config("1", 1), &engines), []);
    engines[2] = engine("c", "north", Some(load("1", 2)));
    assert_eq!(plan_orders(&config("1", 1), &engines), []);
}

#[test]
fn two_models_do_not_get_the_same_spare_engine() {
    let mut config = config("1", 1);
    let other = ModelConfig { version: "1".into(), layers: 8, replicas: 1, stages: Some(1) };
    config.models.insert("summaries".into(), other);
    let engines = [engine("a", "north", None)];
    assert_eq!(plan_orders(&config, &engines).len(), 1);
}

#[test]
fn one_version_stays_covered_during_a_change_of_version() {
    let mut engines: Vec<_> = (0..6)
        .map(|index| engine(&format!("e{index}"), "north", Some(load("1", index / 2))))
        .collect();
    let config = config("2", 2);
    let covered = |engines: &[EngineView], version: &str| {
        (0..3).all(|stage| {
            engines.iter().any(|engine| engine.loaded.as_ref() == Some(&load(version, stage)))
        })
    };
    while let Some(order) = plan_orders(&config, &engines).pop() {
        let new_covered = covered(&engines, "2");
        assert!(
            new_covered || !order.when_idle,
            "order for an idle engine before the new version is covered: {order:?}"
        );
        let engine = engines.iter_mut().find(|engine| engine.name == order.engine);
        engine.expect("ordered engine exists").loaded = Some(order.load);
        assert!(covered(&engines, "1") || covered(&engines, "2"), "neither version is covered");
    }
    assert!(
        engines.iter().all(|engine| engine.loaded.as_ref().is_some_and(|l| &*l.version == "2"))
    );
}

#[test]
fn engines_without_a_model_are_ordered_to_load_all_replicas() {
    let mut engines: Vec<_> =
        (0..6).map(|index| engine(&format!("e{index}"), "north", None)).collect();
    let executed = execute_orders(&config("1", 2), &mut engines);
    assert_eq!(executed.len(), 6);
    assert_eq!(plan_orders(&config("1", 2), &engines), []);
}

/// Guards against orders to load layers that the model does not have, because one engine reports
/// such layers.
#[test]
fn layers_that_the_model_does_not_have_are_not_ordered() {
    let config = {
        let model = ModelConfig { version: "1".into(), layers: 24, replicas: 2, stages: None };
        FleetConfig { models: [(MODEL.into(), model)].into(), ..FleetConfig::default() }
    };
    for (start, end) in [(0, u32::MAX), (24, 32), (u32::MAX, 0), (5, 5)] {
        let layers = LayerRange { start, end };
        let odd = LayerAssignment { layers, ..load("1", 0) };
        let engines = [
            engine("a", "north", Some(load("1", 0))),
            engine("b", "north", Some(load("1", 0))),
            engine("odd", "north", Some(odd)),
            engine("spare", "south", None),
        ];
        assert_eq!(plan_orders(&config, &engines), [], "{layers}");
    }
}
