use std::{collections::BTreeMap, time::Duration};

use types::Domain;

/// Pairs of domains that are kept. Six domains have 21 pairs.
const MAX_PAIRS: usize = 64;
/// Share of an error that one observation corrects.
const RATE: f64 = 0.2;
/// Scale of the corrections: a time that is typical of both links and steps, in seconds.
const SCALE: f64 = 0.01;
/// Range of the factor between the estimated and the measured time of the engines.
const FACTOR_RANGE: (f64, f64) = (0.2, 10.0);

/// Costs of the links between domains, learned from measured token intervals.
///
/// A token interval is the engines' time and the cost of each link that the token passes. Each
/// observation corrects both by their share of the error (normalized least mean squares), so that
/// an error of the engines' estimate does not end up in the links.
#[derive(Clone, Debug)]
pub struct LinkTable {
    /// Cost of each pair of domains, in units of [`SCALE`].
    pairs: BTreeMap<(Domain, Domain), f64>,
    engine_factor: f64,
}

impl Default for LinkTable {
    fn default() -> LinkTable {
        LinkTable { pairs: BTreeMap::new(), engine_factor: 1.0 }
    }
}

impl LinkTable {
    /// The cost of one message between two domains. An unknown link costs nothing, so it is tried.
    pub fn cost(&self, one: &Domain, other: &Domain) -> Duration {
        let units = self.pairs.get(&key(one, other)).copied().unwrap_or(0.0);
        Duration::from_secs_f64(units * SCALE)
    }

    /// Factor between the estimated and the measured time of the engines.
    pub fn engine_factor(&self) -> f64 {
        self.engine_factor
    }

    /// Takes in a measured token interval of a route through `domains`, in stage order, whose
    /// engines were estimated to take `engines`.
    pub fn observe(&mut self, domains: &[Domain], engines: Duration, interval: Duration) {
        let mut passes: BTreeMap<_, f64> = BTreeMap::new();
        for (one, other) in hops(domains) {
            *passes.entry(key(one, other)).or_default() += 1.0;
        }
        let engines = engines.as_secs_f64() / SCALE;
        let known = |pair| self.pairs.get(pair).copied().unwrap_or(0.0);
        let links: f64 = passes.iter().map(|(pair, count)| known(pair) * count).sum();
        let error = interval.as_secs_f64() / SCALE - engines * self.engine_factor - links;
        let norm = engines * engines + passes.values().map(|count| count * count).sum::<f64>();
        if norm <= 0.0 {
            return;
        }
        let step = RATE * error / norm;
        self.engine_factor =
            (self.engine_factor + step * engines).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        for (pair, count) in passes {
            if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&pair) {
                continue;
            }
            let cost = self.pairs.entry(pair).or_insert(0.0);
            *cost = (*cost + step * count).max(0.0);
        }
    }

    /// Number of pairs that are kept.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether no pair is known.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }
}

/// The links that a token passes: from each stage to the next, and from the last to the first.
fn hops(domains: &[Domain]) -> impl Iterator<Item = (&Domain, &Domain)> {
    let next = domains.iter().cycle().skip(1);
    let single = domains.len() == 1;
    domains.iter().zip(next).filter(move |_| !single)
}

fn key(one: &Domain, other: &Domain) -> (Domain, Domain) {
    if one <= other { (one.clone(), other.clone()) } else { (other.clone(), one.clone()) }
}
