//! The models, engines and requests that chores use.

use std::{collections::BTreeMap, time::Duration};

use loadgen::{Completion, Filing};
use settings::{FleetConfig, ModelConfig, ServiceConfig};
use standins::reference;
use types::Class;

use crate::cluster::EngineSpec;

/// Failure domains of the cluster.
pub(crate) const DOMAINS: [&str; 3] = ["north", "middle", "south"];
/// Models and their layers.
pub(crate) const MODELS: [(&str, u32); 2] = [("permits", 24), ("summaries", 12)];
/// Layer ranges of each model.
pub(crate) const RANGES: u32 = 3;

/// The configuration of the cluster.
pub(crate) fn fleet_config() -> FleetConfig {
    let models = MODELS.map(|(name, layers)| {
        (
            name.into(),
            ModelConfig { version: "1".into(), layers, replicas: 2, stages: Some(RANGES) },
        )
    });
    let registry =
        ServiceConfig { lookup: Some("/filings/by-key/{key}".into()), ..ServiceConfig::default() };
    FleetConfig {
        revision: 1,
        author: "xtask".into(),
        models: BTreeMap::from(models),
        services: BTreeMap::from([("registry".into(), registry)]),
        ..FleetConfig::default()
    }
}

/// Engines that hold each layer range of each model `replicas` times.
pub(crate) fn engine_specs(replicas: u32) -> Vec<EngineSpec> {
    let mut specs = Vec::new();
    for (model, layers) in MODELS {
        let per_range = layers / RANGES;
        for range in 0..RANGES {
            for replica in 0..replicas {
                let first = range * per_range;
                specs.push(EngineSpec {
                    name: format!("{model}-{range}-{replica}"),
                    domain: DOMAINS[(replica as usize) % DOMAINS.len()].into(),
                    args: vec![
                        format!("--model={model}"),
                        format!("--first-layer={first}"),
                        format!("--end-layer={}", first + per_range),
                    ],
                });
            }
        }
    }
    specs
}

/// The completion with a number.
pub(crate) fn completion(number: u32) -> Completion {
    let (model, _) = MODELS[number as usize % MODELS.len()];
    Completion {
        id: format!("draft-{number}"),
        organisation: format!("organisation-{}", number % 10),
        class: Class::Interactive,
        model: model.into(),
        prompt: format!(
            "Draft number {number} about gravel from the river bar at kilometre {number}"
        ),
        max_tokens: 24,
        deadline: Duration::from_secs(20),
    }
}

/// The text that a correct run of a completion generates.
pub(crate) fn expected_text(completion: &Completion) -> String {
    let layers =
        MODELS.iter().find(|(model, _)| *model == completion.model).map_or(0, |model| model.1);
    reference::completion(&completion.model, layers, &completion.prompt, completion.max_tokens)
}

/// The filing with a number.
pub(crate) fn filing(number: u32, first_send: bool) -> Filing {
    Filing {
        id: String::new(),
        organisation: format!("organisation-{}", number % 10),
        key: format!("filing-{number}"),
        text: format!("Claim on bar {number}"),
        first_send,
        deadline: Duration::from_secs(10),
    }
}
