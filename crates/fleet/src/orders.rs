//! Decides which orders engines need, so that every layer range of every model keeps its
//! replicas.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use settings::{FleetConfig, ModelConfig};
use types::{Domain, LayerRange, ModelName, UpstreamName};

/// Key of the lease for orders in the key-value service. There is one for the fleet: with a
/// holder per model, two holders could give orders to the same engine, and the fencing token of
/// one would shut out the other.
pub const ORDER_LEASE_KEY: &str = "orders/holder";

/// What an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedLayers {
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: Arc<str>,
    /// Layers.
    pub layers: LayerRange,
}

/// What the planner needs to know about an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Name of the engine.
    pub name: UpstreamName,
    /// Failure domain.
    pub domain: Domain,
    /// What the engine has loaded, or has been ordered to load.
    pub loaded: Option<LoadedLayers>,
    /// Whether an order to the engine is still being carried out.
    pub pending: bool,
}

/// An order that an engine needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Engine that gets the order.
    pub engine: UpstreamName,
    /// What the engine is to load.
    pub load: LoadedLayers,
    /// Whether the engine may get the order only while it runs no session, because no other
    /// engine could take the session over.
    pub when_idle: bool,
}

/// Plans at most one order for each model. `engines` holds the engines that are reachable and not
/// leaving.
pub fn plan_orders(config: &FleetConfig, engines: &[EngineView]) -> Vec<PlannedOrder> {
    let mut taken = Vec::new();
    let mut orders = Vec::new();
    for (model, target) in &config.models {
        let planned = plan_model(model, target, engines, &taken);
        if let Some(order) = planned {
            taken.push(order.engine.clone());
            orders.push(order);
        }
    }
    orders
}

fn plan_model(
    model: &ModelName,
    target: &ModelConfig,
    engines: &[EngineView],
    taken: &[UpstreamName],
) -> Option<PlannedOrder> {
    let ranges = wanted_ranges(model, target, engines);
    let mut holders: BTreeMap<LayerRange, Vec<&EngineView>> =
        ranges.into_iter().map(|range| (range, Vec::new())).collect();
    for engine in engines {
        let Some(loaded) = &engine.loaded else { continue };
        if loaded.model == *model
            && loaded.version == target.version
            && let Some(range) = holders.get_mut(&loaded.layers)
        {
            range.push(engine);
        }
    }
    // The range with the fewest replicas is repaired first.
    let (range, replicas) = holders.iter().min_by_key(|(_, replicas)| replicas.len())?;
    if replicas.len() >= target.replicas as usize {
        return None;
    }
    let load =
        LoadedLayers { model: model.clone(), version: target.version.clone(), layers: *range };
    if let Some(engine) = spare_engine(engines, replicas, taken) {
        return Some(PlannedOrder { engine: engine.name.clone(), load, when_idle: false });
    }
    let covered = holders.values().all(|replicas| !replicas.is_empty());
    let (engine, when_idle) = outdated_engine(model, target, engines, taken, covered)?;
    Some(PlannedOrder { engine: engine.name.clone(), load, when_idle })
}

/// The layer ranges that a model is split into: equal parts if the configuration names a number of
/// stages, otherwise the ranges that engines hold.
fn wanted_ranges(
    model: &ModelName,
    target: &ModelConfig,
    engines: &[EngineView],
) -> Vec<LayerRange> {
    if let Some(stages) = target.stages {
        let stages = stages.min(target.layers);
        let bound = |stage: u32| target.layers * stage / stages;
        return (0..stages)
            .map(|stage| LayerRange { start: bound(stage), end: bound(stage + 1) })
            .collect();
    }
    let mut ranges: Vec<LayerRange> = engines
        .iter()
        .filter_map(|engine| engine.loaded.as_ref())
        .filter(|loaded| loaded.model == *model)
        .map(|loaded| loaded.layers)
        .collect();
    ranges.sort();
    ranges.dedup();
    ranges
}

/// An engine without a model, in the failure domain that holds the fewest of the replicas.
fn spare_engine<'a>(
    engines: &'a [EngineView],
    replicas: &[&EngineView],
    taken: &[UpstreamName],
) -> Option<&'a EngineView> {
    let mut per_domain: HashMap<&Domain, usize> = HashMap::new();
    for replica in replicas {
        *per_domain.entry(&replica.domain).or_default() += 1;
    }
    engines
        .iter()
        .filter(|engine| engine.loaded.is_none() && !engine.pending)
        .filter(|engine| !taken.contains(&engine.name))
        .min_by_key(|engine| per_domain.get(&engine.domain).copied().unwrap_or(0))
}

/// An engine with an older version of the model, and whether it may change only while it is idle.
///
/// While the new version is not covered, an engine may change if its layer range has another holder
/// of the old version, which takes over its sessions. Once the new version is covered, requests run
/// on it, and the last holders of the old version follow when their sessions have ended. Only one
/// engine of a model changes its version at a time.
fn outdated_engine<'a>(
    model: &ModelName,
    target: &ModelConfig,
    engines: &'a [EngineView],
    taken: &[UpstreamName],
    covered: bool,
) -> Option<(&'a EngineView, bool)> {
    let of_model =
        |engine: &&EngineView| engine.loaded.as_ref().is_some_and(|loaded| loaded.model == *model);
    if engines.iter().filter(of_model).any(|engine| engine.pending) {
        return None;
    }
    engines.iter().filter(of_model).find_map(|engine| {
        let loaded = engine.loaded.as_ref()?;
        if loaded.version == target.version || taken.contains(&engine.name) {
            return None;
        }
        let holders = engines.iter().filter(|other| other.loaded.as_ref() == Some(loaded)).count();
        match (holders > 1, covered) {
            (true, _) => Some((engine, false)),
            (false, true) => Some((engine, true)),
            (false, false) => None,
        }
    })
}
