use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use clock::Timestamp;
use types::UpstreamName;

/// Prefixes that are kept.
const MAX_PREFIXES: usize = 8192;
/// Engines that are kept for each prefix.
const MAX_HOLDERS: usize = 16;
/// Time after which a prefix counts as evicted. Events get lost, evictions among them, so that
/// an entry cannot be trusted for ever.
const HOLD_TIME: Duration = Duration::from_secs(60);

/// Which engines hold which prompt prefixes, as far as their cache events tell.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    holders: HashMap<u64, BTreeMap<UpstreamName, Timestamp>>,
    /// Prefixes in the order in which they were added.
    order: VecDeque<u64>,
}

impl PrefixTable {
    /// Takes in that an engine has stored a prefix.
    pub fn record_stored(&mut self, prefix: u64, engine: &UpstreamName, now: Timestamp) {
        if !self.holders.contains_key(&prefix) {
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        if holders.len() < MAX_HOLDERS || holders.contains_key(engine) {
            holders.insert(engine.clone(), now);
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Takes in that an engine has evicted a prefix.
    pub fn record_evicted(&mut self, prefix: u64, engine: &UpstreamName) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.remove(engine);
        }
    }

    /// Forgets an engine that has restarted or left.
    pub fn remove_engine(&mut self, engine: &UpstreamName) {
        for holders in self.holders.values_mut() {
            holders.remove(engine);
        }
    }

    /// How many of the leading prefix blocks an engine holds.
    pub fn cached_blocks(&self, prefixes: &[u64], engine: &UpstreamName, now: Timestamp) -> usize {
        let holds = |prefix: &u64| {
            let stored = self.holders.get(prefix).and_then(|holders| holders.get(engine));
            stored.is_some_and(|time| now.since(*time) < HOLD_TIME)
        };
        prefixes.iter().rposition(holds).map_or(0, |index| index + 1)
    }

    /// Number of prefixes that are kept.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
