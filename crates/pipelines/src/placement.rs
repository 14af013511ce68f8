use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use catalog::EngineProfile;
use types::{Domain, LayerRange, UpstreamName};

/// Share of an engine's memory that a layout gives to layers, if enough engines are there. The
/// rest holds requests.
const USUAL_SHARE: f64 = 0.70;
/// Largest share of an engine's memory that is given to layers.
const MAX_SHARE: f64 = 0.90;
/// Largest share that a further copy of a domain takes: one with little room for requests serves few.
const FURTHER_SHARE: f64 = 0.82;
/// Share of a domain's engines that stay without layers, to replace those that are lost.
const SPARE_SHARE: f64 = 0.1;
/// Step in which the share of a layout is raised until the model fits.
const SHARE_STEP: f64 = 0.005;

/// What the planner knows of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub name: UpstreamName,
    /// Failure domain.
    pub domain: Domain,
    /// Kind of its accelerator.
    pub accelerator: Arc<str>,
    /// Layers that it holds or has been ordered to hold.
    pub layers: Option<LayerRange>,
    /// Whether it can be ordered to load layers now.
    pub is_free: bool,
}

/// An engine and the layers that it should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The engine.
    pub name: UpstreamName,
    /// The layers.
    pub layers: LayerRange,
}

/// Whether the engines together hold every layer.
pub fn covers_model(profile: &EngineProfile, held: impl Iterator<Item = LayerRange>) -> bool {
    gaps(profile.layers, held).is_empty()
}

/// Plans what engines without layers should hold: whole copies of the model in each failure domain
/// that has the memory, and over the other domains together. A copy within a domain needs no pipe
/// between domains. A domain without spare engines goes without a part of a copy while another
/// domain holds that part.
pub fn plan(profile: &EngineProfile, engines: &[EngineView]) -> Vec<Placement> {
    let mut orders: Vec<Placement> = Vec::new();
    for group in groups(profile, engines) {
        orders.extend(plan_group(profile, &group));
    }
    let held = engines.iter().filter_map(|engine| engine.layers);
    let missing = gaps(profile.layers, held.chain(orders.iter().map(|order| order.layers)));
    let ordered: BTreeSet<UpstreamName> = orders.iter().map(|order| order.name.clone()).collect();
    let spare = |engine: &&EngineView| is_spare(engine) && !ordered.contains(&engine.name);
    let spare: Vec<&EngineView> = engines.iter().filter(spare).collect();
    orders.extend(fill(profile, &missing, &spare));
    orders
}

/// Completes the copies of one domain, then lays out further ones as long as spare engines remain.
fn plan_group(profile: &EngineProfile, group: &[&EngineView]) -> Vec<Placement> {
    let mut orders: Vec<Placement> = Vec::new();
    let reserve = (group.len() as f64 * SPARE_SHARE).ceil() as usize;
    loop {
        let is_free = |engine: &&&EngineView| {
            is_spare(engine) && !orders.iter().any(|order| order.name == engine.name)
        };
        let free: Vec<&EngineView> = group.iter().filter(is_free).copied().collect();
        let held = group.iter().filter_map(|engine| engine.layers);
        let held: Vec<LayerRange> = held.chain(orders.iter().map(|order| order.layers)).collect();
        let missing = incomplete(profile.layers, &held);
        let more = if missing.is_empty() {
            if held.is_empty() {
                layout(profile, &free, free.len(), MAX_SHARE)
            } else {
                layout(profile, &free, free.len().saturating_sub(reserve), FURTHER_SHARE)
            }
        } else {
            fill(profile, &missing, &free)
        };
        if more.is_empty() {
            return orders;
        }
        orders.extend(more);
    }
}

/// The layers that the copies of a domain lack. A copy counts once half of its layers are held.
fn incomplete(layers: u32, held: &[LayerRange]) -> Vec<LayerRange> {
    let count =
        |layer: u32| held.iter().filter(|range| range.start <= layer && layer < range.end).count();
    let counts: Vec<usize> = (0..layers).map(count).collect();
    let mut sorted = counts.clone();
    sorted.sort_unstable();
    let half = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
    let copies = half.max(usize::from(!held.is_empty()));
    let mut missing: Vec<LayerRange> = Vec::new();
    for layer in (0..layers).filter(|layer| counts[*layer as usize] < copies) {
        match missing.last_mut() {
            Some(last) if last.end == layer => last.end += 1,
            _ => missing.push(LayerRange { start: layer, end: layer + 1 }),
        }
    }
    missing
}

fn is_spare(engine: &EngineView) -> bool {
    engine.layers.is_none() && engine.is_free
}

/// The engines of each copy of the model.
fn groups<'a>(profile: &EngineProfile, engines: &'a [EngineView]) -> Vec<Vec<&'a EngineView>> {
    let mut domains: BTreeMap<&Domain, Vec<&EngineView>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    let (mut whole, rest): (Vec<_>, Vec<_>) = domains.into_values().partition(|members| {
        let layers = |engine: &&EngineView| profile.layers_within(&engine.accelerator, MAX_SHARE);
        members.iter().map(layers).sum::<u32>() >= profile.layers
    });
    let rest: Vec<&EngineView> = rest.into_iter().flatten().collect();
    if !rest.is_empty() {
        whole.push(rest);
    }
    whole
}

/// Spreads a whole copy over at most `limit` engines without layers: the fastest ones that hold it in
/// the usual share of their memory, or else in one up to `max_share`, each with the same share, so
/// that all have room for as many requests.
fn layout(
    profile: &EngineProfile,
    free: &[&EngineView],
    limit: usize,
    max_share: f64,
) -> Vec<Placement> {
    let mut sorted = free.to_vec();
    sorted.sort_by(|one, other| {
        let factor = |engine: &EngineView| {
            profile.accelerators.get(&engine.accelerator).map_or(f64::MAX, |kind| kind.step_factor)
        };
        let size = |engine: &EngineView| {
            profile.accelerators.get(&engine.accelerator).map_or(0.0, |kind| kind.memory_mb)
        };
        // Memory per cost of a step: slow accelerators with little memory go last.
        let worth = |engine: &EngineView| size(engine) / factor(engine);
        worth(other).total_cmp(&worth(one)).then_with(|| one.name.cmp(&other.name))
    });
    let fits = |members: &[&EngineView], share: f64| {
        let layers = |engine: &&EngineView| profile.layers_within(&engine.accelerator, share);
        members.iter().map(layers).sum::<u32>() >= profile.layers
    };
    let count = (1..=limit).find(|count| fits(&sorted[..*count], USUAL_SHARE));
    let members = &sorted[..count.unwrap_or(limit)];
    let mut share = SHARE_STEP;
    while !fits(members, share) {
        share += SHARE_STEP;
        if share > max_share {
            return Vec::new();
        }
    }
    let mut start = 0;
    let mut placements = Vec::new();
    for engine in members {
        let length = profile.layers_within(&engine.accelerator, share).min(profile.layers - start);
        if length == 0 {
            continue;
        }
        let layers = LayerRange { start, end: start + length };
        start = layers.end;
        placements.push(Placement { name: engine.name.clone(), layers });
    }
    placements
}

/// Gives missing ranges to free engines, the largest engines first, as far as these go.
fn fill(profile: &EngineProfile, missing: &[LayerRange], free: &[&EngineView]) -> Vec<Placement> {
    let mut left = free.to_vec();
    left.sort_by_key(|engine| {
        std::cmp::Reverse(profile.layers_within(&engine.accelerator, USUAL_SHARE))
    });
    let mut left = left.into_iter();
    let mut placements = Vec::new();
    for gap in missing {
        let mut start = gap.start;
        while start < gap.end {
            let Some(engine) = left.next() else { return placements };
            let length = profile.layers_within(&engine.accelerator, USUAL_SHARE);
            if length == 0 {
                continue;
            }
            let layers = LayerRange { start, end: gap.end.min(start + length) };
            start = layers.end;
            placements.push(Placement { name: engine.name.clone(), layers });
        }
    }
    placements
}

/// The ranges of layers that none of `held` covers.
fn gaps(layers: u32, held: impl Iterator<Item = LayerRange>) -> Vec<LayerRange> {
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
