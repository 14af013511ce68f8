use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use catalog::ModelProfile;
use types::{Domain, LayerRange, UpstreamName};

/// Largest share of an engine's memory that the weights of its layers take if there are enough
/// engines; a copy uses the smallest share that fits. The rest is left for the KV caches of
/// requests. Engines that fill gaps load up to this share.
const PREFERRED_MAX_SHARE: f64 = 0.70;
/// Largest share of an engine's memory that the weights of its layers may take.
const MAX_SHARE: f64 = 0.90;
/// Largest share for further copies of the model in a group of engines (see [`copy_groups`]). It is
/// smaller than for the first copy, since a copy with little memory left for KV caches serves few
/// requests.
const MAX_FURTHER_SHARE: f64 = 0.82;
/// Share of a group's engines that further copies leave without layers, to replace lost engines.
const SPARE_SHARE: f64 = 0.1;
/// Increment by which the share of memory is raised until the model fits.
const SHARE_STEP: f64 = 0.005;

/// State of an engine as far as the planner needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub name: UpstreamName,
    /// Failure domain that it runs in.
    pub domain: Domain,
    /// Name of the kind of its accelerator.
    pub accelerator_kind: Arc<str>,
    /// Layers that it holds or has been ordered to load.
    pub layers: Option<LayerRange>,
    /// Whether it may be ordered to load layers now if it holds none. The planner sets this unless
    /// the engine is avoided.
    pub may_be_ordered: bool,
}

/// An engine and the layers that it should load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The engine.
    pub name: UpstreamName,
    /// The layers that it should load.
    pub layers: LayerRange,
}

/// Whether the layer ranges `held` together cover the whole model.
pub fn covers_model(profile: &ModelProfile, held: impl Iterator<Item = LayerRange>) -> bool {
    unheld_layers(profile.layers, held).is_empty()
}

/// Plans which layers the engines without layers should load.
///
/// Each failure domain with enough memory gets whole copies of the model, since requests on a copy
/// within one domain need no link between domains. The other domains together form one group that
/// shares its copies. A group without spare engines goes without the layers that its copies lack.
/// If no other group holds them either, spare engines of any domain load them.
pub fn plan(profile: &ModelProfile, engines: &[EngineView]) -> Vec<Placement> {
    // An engine that names layers which the model does not have is not known to hold any others.
    let is_known =
        |engine: &&EngineView| engine.layers.is_none_or(|layers| layers.end <= profile.layers);
    let engines: Vec<&EngineView> = engines.iter().filter(is_known).collect();
    let mut placements: Vec<Placement> = Vec::new();
    for group in copy_groups(profile, &engines) {
        placements.extend(plan_group(profile, &group));
    }
    let held = engines.iter().filter_map(|engine| engine.layers);
    let unheld = unheld_layers(
        profile.layers,
        held.chain(placements.iter().map(|placement| placement.layers)),
    );
    let placed: BTreeSet<UpstreamName> =
        placements.iter().map(|placement| placement.name.clone()).collect();
    let is_unplaced = |engine: &&EngineView| is_spare(engine) && !placed.contains(&engine.name);
    let unplaced: Vec<&EngineView> = engines.into_iter().filter(is_unplaced).collect();
    placements.extend(fill_gaps(profile, &unheld, &unplaced));
    placements
}

/// Completes the copies of one group, then plans further ones as long as enough spare engines are
/// left.
fn plan_group(profile: &ModelProfile, group: &[&EngineView]) -> Vec<Placement> {
    let mut placements: Vec<Placement> = Vec::new();
    let reserve = (group.len() as f64 * SPARE_SHARE).ceil() as usize;
    loop {
        let is_unplaced = |engine: &&&EngineView| {
            is_spare(engine) && !placements.iter().any(|placement| placement.name == engine.name)
        };
        let unplaced: Vec<&EngineView> = group.iter().filter(is_unplaced).copied().collect();
        let held = group.iter().filter_map(|engine| engine.layers);
        let held: Vec<LayerRange> =
            held.chain(placements.iter().map(|placement| placement.layers)).collect();
        let missing = under_replicated_layers(profile.layers, &held);
        let new_placements = if missing.is_empty() {
            if held.is_empty() {
                plan_copy(profile, &unplaced, unplaced.len(), MAX_SHARE)
            } else {
                plan_copy(
                    profile,
                    &unplaced,
                    unplaced.len().saturating_sub(reserve),
                    MAX_FURTHER_SHARE,
                )
            }
        } else {
            fill_gaps(profile, &missing, &unplaced)
        };
        if new_placements.is_empty() {
            return placements;
        }
        placements.extend(new_placements);
    }
}

/// The layers that the copies of a group lack: those that fewer engines hold than the group has
/// copies. The number of copies is the median of how many engines hold each layer, and at least one
/// if any layer is held: a copy counts once half of its layers are held.
fn under_replicated_layers(layers: u32, held: &[LayerRange]) -> Vec<LayerRange> {
    let count =
        |layer: u32| held.iter().filter(|range| range.start <= layer && layer < range.end).count();
    let counts: Vec<usize> = (0..layers).map(count).collect();
    let mut sorted = counts.clone();
    sorted.sort_unstable();
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
    let copies = median.max(usize::from(!held.is_empty()));
    let mut missing: Vec<LayerRange> = Vec::new();
    for layer in (0..layers).filter(|layer| counts[*layer as usize] < copies) {
        match missing.last_mut() {
            Some(last) if last.end == layer => last.end += 1,
            _ => missing.push(LayerRange { start: layer, end: layer + 1 }),
        }
    }
    missing
}

/// Whether the engine holds no layers and may be ordered to load some.
fn is_spare(engine: &EngineView) -> bool {
    engine.layers.is_none() && engine.may_be_ordered
}

/// The groups of engines that hold copies of the model: one for each domain with enough memory for
/// a copy, and one for all other domains together.
fn copy_groups<'a>(profile: &ModelProfile, engines: &[&'a EngineView]) -> Vec<Vec<&'a EngineView>> {
    let mut domains: BTreeMap<&Domain, Vec<&EngineView>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(*engine);
    }
    let (mut groups, others): (Vec<_>, Vec<_>) =
        domains.into_values().partition(|members| has_room(profile, members, MAX_SHARE));
    let others: Vec<&EngineView> = others.into_iter().flatten().collect();
    if !others.is_empty() {
        groups.push(others);
    }
    groups
}

/// Whether a copy of the model fits into `share` of the memory of the engines in `members`.
fn has_room(profile: &ModelProfile, members: &[&EngineView], share: f64) -> bool {
    let layers =
        |engine: &&EngineView| u64::from(profile.layers_within(&engine.accelerator_kind, share));
    members.iter().map(layers).sum::<u64>() >= u64::from(profile.layers)
}

/// Spreads a whole copy over at most `limit` of the engines in `unplaced`.
///
/// It takes the fewest engines that can hold the copy in `PREFERRED_MAX_SHARE` of their memory, the
/// best ones first, and of their memory the smallest share in which it fits. If `limit` engines do
/// not suffice, a share of up to `max_share` is used. All engines use the same share, so that they
/// have room for the same number of requests. The result is empty if the copy does not fit.
fn plan_copy(
    profile: &ModelProfile,
    unplaced: &[&EngineView],
    limit: usize,
    max_share: f64,
) -> Vec<Placement> {
    let mut sorted = unplaced.to_vec();
    sorted.sort_by(|one, other| {
        let step_factor = |engine: &EngineView| {
            profile
                .accelerators
                .get(&engine.accelerator_kind)
                .map_or(f64::MAX, |kind| kind.step_factor)
        };
        let memory = |engine: &EngineView| {
            profile.accelerators.get(&engine.accelerator_kind).map_or(0.0, |kind| kind.memory_mb)
        };
        // Memory divided by step time: slow accelerators with little memory come last.
        let value = |engine: &EngineView| memory(engine) / step_factor(engine);
        value(other).total_cmp(&value(one)).then_with(|| one.name.cmp(&other.name))
    });
    let count = (1..=limit).find(|count| has_room(profile, &sorted[..*count], PREFERRED_MAX_SHARE));
    let members = &sorted[..count.unwrap_or(limit)];
    let mut share = SHARE_STEP;
    while !has_room(profile, members, share) {
        share += SHARE_STEP;
        if share > max_share {
            return Vec::new();
        }
    }
    let mut start = 0;
    let mut placements = Vec::new();
    for engine in members {
        let length =
            profile.layers_within(&engine.accelerator_kind, share).min(profile.layers - start);
        if length == 0 {
            continue;
        }
        let layers = LayerRange { start, end: start + length };
        start = layers.end;
        placements.push(Placement { name: engine.name.clone(), layers });
    }
    placements
}

/// Assigns the layers in `missing` to the engines in `unplaced`, those with the most memory first,
/// until there are no engines left.
fn fill_gaps(
    profile: &ModelProfile,
    missing: &[LayerRange],
    unplaced: &[&EngineView],
) -> Vec<Placement> {
    let mut remaining = unplaced.to_vec();
    remaining.sort_by_key(|engine| {
        std::cmp::Reverse(profile.layers_within(&engine.accelerator_kind, PREFERRED_MAX_SHARE))
    });
    let mut remaining = remaining.into_iter();
    let mut placements = Vec::new();
    for gap in missing {
        let mut start = gap.start;
        while start < gap.end {
            let Some(engine) = remaining.next() else { return placements };
            let length = profile.layers_within(&engine.accelerator_kind, PREFERRED_MAX_SHARE);
            if length == 0 {
                continue;
            }
            let layers = LayerRange { start, end: gap.end.min(start.saturating_add(length)) };
            start = layers.end;
            placements.push(Placement { name: engine.name.clone(), layers });
        }
    }
    placements
}

/// The layers that none of the ranges `held` contains.
fn unheld_layers(layers: u32, held: impl Iterator<Item = LayerRange>) -> Vec<LayerRange> {
    let mut held: Vec<LayerRange> = held.collect();
    held.sort();
    let mut missing = Vec::new();
    let mut next = 0;
    for range in held {
        if range.start > next {
            missing.push(LayerRange { start: next, end: range.start });
        }
        next = next.max(range.end);
    }
    if next < layers {
        missing.push(LayerRange { start: next, end: layers });
    }
    missing
}
