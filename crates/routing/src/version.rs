use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use clock::Timestamp;
use types::{LayerRange, ModelName};

use crate::{LoadView, candidates::cheapest_chain};

impl LoadView {
    /// The version of a model that new requests run on: the `wanted` one if the available engines
    /// cover all layers of it, otherwise another one that they cover. While the engines change to a
    /// new version, the old one is used until the new one is covered.
    pub fn served_version(
        &self,
        model: &ModelName,
        wanted: &Arc<str>,
        layers: u32,
        now: Timestamp,
    ) -> Arc<str> {
        let mut versions: BTreeMap<&Arc<str>, BTreeSet<LayerRange>> = BTreeMap::new();
        for engine in self.engines.values().filter(|engine| engine.is_available(now)) {
            let Some(report) = &engine.report else { continue };
            if report.model == *model {
                versions.entry(&report.version).or_default().insert(report.layers);
            }
        }
        let covered = |ranges: &BTreeSet<LayerRange>| {
            let ranges: Vec<_> = ranges.iter().map(|range| (*range, 1)).collect();
            cheapest_chain(&ranges, layers).is_some()
        };
        if versions.get(wanted).is_some_and(covered) {
            return wanted.clone();
        }
        // If several versions are covered, the one whose name sorts last is probably the newest.
        let other = versions.iter().rev().find(|(_, ranges)| covered(ranges));
        other.map_or_else(|| wanted.clone(), |(version, _)| (*version).clone())
    }
}
