use std::{collections::BTreeMap, time::Duration};

use types::Domain;

/// Largest number of domain pairs that are kept. Six domains have 21 pairs.
const MAX_PAIRS: usize = 64;
/// Share of the error that one observation corrects.
const LEARNING_RATE: f64 = 0.2;
/// Unit of the times in the corrections, in seconds: typical of both links and decoding steps.
const SCALE_SECONDS: f64 = 0.01;
/// Allowed range of the factor between the estimated and the measured time of the engines.
const ENGINE_FACTOR_RANGE: (f64, f64) = (0.2, 10.0);

/// Costs of the links between domains, learned from measured token intervals.
///
/// A token interval is the sum of the time that the engines take and the cost of each link that the
/// token passes over. Each observation corrects both by their share of the error (normalized least
/// mean squares), so that an error in the estimated time of the engines is not attributed to the
/// links.
#[derive(Clone, Debug)]
pub struct LinkTable {
    /// Cost of each pair of domains, in units of [`SCALE_SECONDS`].
    pairs: BTreeMap<(Domain, Domain), f64>,
    /// Factor between the estimated and the measured time of the engines.
    engine_factor: f64,
}

impl Default for LinkTable {
    fn default() -> LinkTable {
        LinkTable { pairs: BTreeMap::new(), engine_factor: 1.0 }
    }
}

impl LinkTable {
    /// The cost of sending one message between two domains. An unknown link has no cost, so that it
    /// is used and its cost is learned.
    pub fn cost(&self, one: &Domain, other: &Domain) -> Duration {
        let units = self.pairs.get(&pair_key(one, other)).copied().unwrap_or(0.0);
        Duration::from_secs_f64(units * SCALE_SECONDS)
    }

    /// Factor between the estimated and the measured time of the engines.
    pub fn engine_factor(&self) -> f64 {
        self.engine_factor
    }

    /// Learns from a measured token interval. `domains` are the domains of the route's stages, in
    /// order, and `engine_time` is the estimated time of its engines.
    pub fn observe(&mut self, domains: &[Domain], engine_time: Duration, interval: Duration) {
        let mut link_counts: BTreeMap<_, f64> = BTreeMap::new();
        for (one, other) in hops(domains) {
            *link_counts.entry(pair_key(one, other)).or_default() += 1.0;
        }
        let engine_time = engine_time.as_secs_f64() / SCALE_SECONDS;
        let cost_of = |pair| self.pairs.get(pair).copied().unwrap_or(0.0);
        let link_time: f64 = link_counts.iter().map(|(pair, count)| cost_of(pair) * count).sum();
        let error =
            interval.as_secs_f64() / SCALE_SECONDS - engine_time * self.engine_factor - link_time;
        let norm = engine_time * engine_time
            + link_counts.values().map(|count| count * count).sum::<f64>();
        if norm <= 0.0 {
            return;
        }
        let correction = LEARNING_RATE * error / norm;
        self.engine_factor = (self.engine_factor + correction * engine_time)
            .clamp(ENGINE_FACTOR_RANGE.0, ENGINE_FACTOR_RANGE.1);
        for (pair, count) in link_counts {
            if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&pair) {
                continue;
            }
            let cost = self.pairs.entry(pair).or_insert(0.0);
            *cost = (*cost + correction * count).max(0.0);
        }
    }

    /// Number of domain pairs with a known cost.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether no cost is known.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }
}

/// The links that a token passes over: from each stage to the next, and from the last to the first.
fn hops(domains: &[Domain]) -> impl Iterator<Item = (&Domain, &Domain)> {
    let next = domains.iter().cycle().skip(1);
    let single = domains.len() == 1;
    domains.iter().zip(next).filter(move |_| !single)
}

/// The key of a link in [`LinkTable`], the same in both directions.
fn pair_key(one: &Domain, other: &Domain) -> (Domain, Domain) {
    if one <= other { (one.clone(), other.clone()) } else { (other.clone(), one.clone()) }
}
