use std::collections::BTreeMap;

use clock::Timestamp;
use types::{LayerRange, Stage, UpstreamName};

use crate::{EngineState, LoadView, RouteRequest};

/// An engine that can run a stage of a route.
pub(crate) struct Candidate<'a> {
    pub(crate) name: &'a UpstreamName,
    pub(crate) state: &'a EngineState,
    pub(crate) layers: LayerRange,
}

impl Candidate<'_> {
    pub(crate) fn stage(&self) -> Stage {
        Stage { engine: self.name.clone(), addr: self.state.addr, layers: self.layers }
    }
}

/// The engines that can run a request, grouped by layer range. The engines of a range are replicas
/// of each other. Engines on which the request has failed are left out of a range that has others.
pub(crate) fn candidates<'a>(
    view: &'a LoadView,
    request: &RouteRequest,
    now: Timestamp,
) -> BTreeMap<LayerRange, Vec<Candidate<'a>>> {
    let mut ranges: BTreeMap<LayerRange, Vec<Candidate<'a>>> = BTreeMap::new();
    for (name, state) in &view.engines {
        let Some(report) = &state.report else { continue };
        if state.is_available(now) && state.serves(request) && state.has_slot(request.slot_percent)
        {
            let layers = report.layers;
            ranges.entry(layers).or_default().push(Candidate { name, state, layers });
        }
    }
    for range in ranges.values_mut() {
        if range.iter().any(|candidate| !request.avoid.contains(candidate.name)) {
            range.retain(|candidate| !request.avoid.contains(candidate.name));
        }
    }
    ranges
}

/// The chain of layer ranges that covers layers 0 to `layers` at the smallest total cost. `ranges`
/// contains the cost of each range. Returns `None` if there is no such chain.
pub(crate) fn cheapest_chain(ranges: &[(LayerRange, u64)], layers: u32) -> Option<Vec<LayerRange>> {
    // The ranges are sorted by their start, so the smallest cost up to a layer is final when the
    // chain is extended from there.
    let mut best: BTreeMap<u32, (u64, Vec<LayerRange>)> = BTreeMap::new();
    best.insert(0, (0, Vec::new()));
    let mut sorted = ranges.to_vec();
    sorted.sort();
    for (range, cost) in sorted {
        let Some((base, chain)) = best.get(&range.start).cloned() else { continue };
        let total = base + cost;
        if best.get(&range.end).is_none_or(|(known, _)| total < *known) {
            let mut chain = chain;
            chain.push(range);
            best.insert(range.end, (total, chain));
        }
    }
    best.remove(&layers).map(|(_, chain)| chain)
}
