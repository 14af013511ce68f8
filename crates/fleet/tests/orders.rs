//! Guards the planning of orders: lost replicas are replaced, nothing is ordered twice, and a
//! change of version never leaves a layer range without a holder.

use fleet::{EngineView, LoadedLayers, PlannedOrder, plan_orders};
use settings::{FleetConfig, ModelConfig};
use types::LayerRange;

const MODEL: &str = "permits";

fn config(version: &str, replicas: u32) -> FleetConfig {
    let model = ModelConfig { version: version.into(), layers: 24, replicas, stages: Some(3) };
    FleetConfig { models: [(MODEL.into(), model)].into(), ..FleetConfig::default() }
}

fn load(version: &str, stage: u32) -> LoadedLayers {
    let layers = LayerRange { start: 8 * stage, end: 8 * (stage + 1) };
    LoadedLayers { model: MODEL.into(), version: version.into(), layers }
}

fn engine(name: &str, domain: &str, loaded: Option<LoadedLayers>) -> EngineView {
    EngineView { name: name.into(), domain: domain.into(), loaded, pending: false }
}

/// Carries out planned orders until there are none, and returns them.
fn carry_out(config: &FleetConfig, engines: &mut [EngineView]) -> Vec<PlannedOrder> {
    let mut given = Vec::new();
    loop {
        let planned = plan_orders(config, engines);
        if planned.is_empty() {
            return given;
        }
        for order in planned {
            let engine = engines.iter_mut().find(|e| e.name == order.engine);
            engine.expect("ordered engine exists").loaded = Some(order.load.clone());
            given.push(order);
        }
        assert!(given.len() < 100, "planning does not come to an end: {given:?}");
    }
}

#[test]
fn lost_replica_is_loaded_on_a_spare_in_another_domain() {
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
    let expected = PlannedOrder { engine: "g".into(), load: load("1", 2), when_idle: false };
    assert_eq!(orders, [expected]);
}

#[test]
fn engine_with_a_pending_order_is_not_ordered_again() {
    let mut engines =
        vec![engine("a", "north", Some(load("1", 0))), engine("b", "north", Some(load("1", 1)))];
    engines.push(EngineView { pending: true, ..engine("c", "north", Some(load("1", 2))) });
    assert_eq!(plan_orders(&config("1", 1), &engines), []);
}

#[test]
fn two_models_do_not_take_the_same_spare() {
    let mut config = config("1", 1);
    let other = ModelConfig { version: "1".into(), layers: 8, replicas: 1, stages: Some(1) };
    config.models.insert("summaries".into(), other);
    let engines = [engine("a", "north", None)];
    assert_eq!(plan_orders(&config, &engines).len(), 1);
}

#[test]
fn change_of_version_keeps_one_version_covered() {
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
        let idle = covered(&engines, "2");
        assert!(idle || !order.when_idle, "order waits for an idle engine too early: {order:?}");
        let engine = engines.iter_mut().find(|engine| engine.name == order.engine);
        engine.expect("ordered engine exists").loaded = Some(order.load);
        assert!(covered(&engines, "1") || covered(&engines, "2"), "no version is covered");
    }
    assert!(
        engines.iter().all(|engine| engine.loaded.as_ref().is_some_and(|l| &*l.version == "2"))
    );
}

#[test]
fn empty_fleet_is_loaded_from_nothing() {
    let mut engines: Vec<_> =
        (0..6).map(|index| engine(&format!("e{index}"), "north", None)).collect();
    let given = carry_out(&config("1", 2), &mut engines);
    assert_eq!(given.len(), 6);
    assert_eq!(plan_orders(&config("1", 2), &engines), []);
}
