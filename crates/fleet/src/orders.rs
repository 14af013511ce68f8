//! Plans orders: which engine is to load which layers of which model, so that each layer range of
//! each model has the configured number of replicas.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use settings::{FleetConfig, ModelConfig};
use types::{Domain, LayerRange, ModelName, UpstreamName};

/// Key, in the key-value service, of the lease whose holder gives orders. There is one lease for
/// the whole fleet: with one per model, two holders could give orders to the same engine, and the
/// engine would refuse the orders of the holder with the lower fencing token.
pub const ORDER_LEASE_KEY: &str = "orders/holder";

/// A layer range of a model that an engine has loaded or is to load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayerAssignment {
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: Arc<str>,
    /// Layers.
    pub layers: LayerRange,
}

/// What the planning needs to know about an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Name of the engine.
    pub name: UpstreamName,
    /// Failure domain of the engine.
    pub domain: Domain,
    /// What the engine has loaded, or has been ordered to load.
    pub loaded: Option<LayerAssignment>,
    /// Whether the engine is still carrying out an order.
    pub pending: bool,
    /// Whether the engine has reported what it has loaded.
    pub reported: bool,
}

/// Command to an engine to load a range of a model's layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadCommand {
    /// Engine that gets the order.
    pub engine: UpstreamName,
    /// Layers that the engine is to load.
    pub load: LayerAssignment,
    /// Whether the order may be given only while the engine runs no session, because no other
    /// engine could take over the session.
    pub when_idle: bool,
}

/// Plans at most one order for each model. `engines` are the engines that can be reached and are
/// not leaving. While one of them has not reported yet, nothing is planned: it may hold the layers
/// that seem to be missing.
pub fn plan_orders(config: &FleetConfig, engines: &[EngineView]) -> Vec<LoadCommand> {
    if engines.iter().any(|engine| !engine.reported) {
        return Vec::new();
    }
    let mut ordered_engines = Vec::new();
    let mut orders = Vec::new();
    for (model, target) in &config.models {
        let planned = plan_model(model, target, engines, &ordered_engines);
        if let Some(order) = planned {
            ordered_engines.push(order.engine.clone());
            orders.push(order);
        }
    }
    orders
}

fn plan_model(
    model: &ModelName,
    target: &ModelConfig,
    engines: &[EngineView],
    ordered_engines: &[UpstreamName],
) -> Option<LoadCommand> {
    let ranges = wanted_ranges(model, target, engines);
    let mut replicas_by_range: BTreeMap<LayerRange, Vec<&EngineView>> =
        ranges.into_iter().map(|range| (range, Vec::new())).collect();
    for engine in engines {
        let Some(loaded) = &engine.loaded else { continue };
        if loaded.model == *model
            && loaded.version == target.version
            && let Some(replicas) = replicas_by_range.get_mut(&loaded.layers)
        {
            replicas.push(engine);
        }
    }
    // The range with the fewest replicas gets the next one.
    let (range, replicas) = replicas_by_range.iter().min_by_key(|(_, replicas)| replicas.len())?;
    if replicas.len() >= target.replicas as usize {
        return None;
    }
    let load =
        LayerAssignment { model: model.clone(), version: target.version.clone(), layers: *range };
    if let Some(engine) = spare_engine(engines, replicas, ordered_engines) {
        return Some(LoadCommand { engine: engine.name.clone(), load, when_idle: false });
    }
    let covered = replicas_by_range.values().all(|replicas| !replicas.is_empty());
    let (engine, when_idle) = outdated_engine(model, target, engines, ordered_engines, covered)?;
    Some(LoadCommand { engine: engine.name.clone(), load, when_idle })
}

/// The layer ranges into which a model is split: equal parts if the configuration gives a number of
/// stages, otherwise the ranges of its layers that engines have loaded.
fn wanted_ranges(
    model: &ModelName,
    target: &ModelConfig,
    engines: &[EngineView],
) -> Vec<LayerRange> {
    if let Some(stages) = target.stages {
        let stages = stages.min(target.layers);
        let stage_start = |stage: u32| target.layers * stage / stages;
        return (0..stages)
            .map(|stage| LayerRange { start: stage_start(stage), end: stage_start(stage + 1) })
            .collect();
    }
    let mut ranges: Vec<LayerRange> = engines
        .iter()
        .filter_map(|engine| engine.loaded.as_ref())
        .filter(|loaded| loaded.model == *model)
        .map(|loaded| loaded.layers)
        .filter(|layers| !layers.is_empty() && layers.end <= target.layers)
        .collect();
    ranges.sort();
    ranges.dedup();
    ranges
}

/// An engine that has no model and no order, in the failure domain that has the fewest of the
/// replicas.
fn spare_engine<'a>(
    engines: &'a [EngineView],
    replicas: &[&EngineView],
    ordered_engines: &[UpstreamName],
) -> Option<&'a EngineView> {
    let mut replicas_per_domain: HashMap<&Domain, usize> = HashMap::new();
    for replica in replicas {
        *replicas_per_domain.entry(&replica.domain).or_default() += 1;
    }
    engines
        .iter()
        .filter(|engine| engine.loaded.is_none() && !engine.pending)
        .filter(|engine| !ordered_engines.contains(&engine.name))
        .min_by_key(|engine| replicas_per_domain.get(&engine.domain).copied().unwrap_or(0))
}

/// An engine that has another version of the model than the configured one, and whether it may
/// change the version only while it is idle.
///
/// `covered` says whether each layer range of the configured version is loaded on some engine. If
/// not, an engine may change its version only if another engine has the same layers of the old
/// version and can take over its sessions. Once the configured version is covered, new requests use
/// it, and the last engines with the old version change when their sessions have ended. Only one
/// engine of a model changes its version at a time.
fn outdated_engine<'a>(
    model: &ModelName,
    target: &ModelConfig,
    engines: &'a [EngineView],
    ordered_engines: &[UpstreamName],
    covered: bool,
) -> Option<(&'a EngineView, bool)> {
    let has_model =
        |engine: &&EngineView| engine.loaded.as_ref().is_some_and(|loaded| loaded.model == *model);
    if engines.iter().filter(has_model).any(|engine| engine.pending) {
        return None;
    }
    engines.iter().filter(has_model).find_map(|engine| {
        let loaded = engine.loaded.as_ref()?;
        if loaded.version == target.version || ordered_engines.contains(&engine.name) {
            return None;
        }
        let replica_count =
            engines.iter().filter(|other| other.loaded.as_ref() == Some(loaded)).count();
        match (replica_count > 1, covered) {
            (true, _) => Some((engine, false)),
            (false, true) => Some((engine, true)),
            (false, false) => None,
        }
    })
}
