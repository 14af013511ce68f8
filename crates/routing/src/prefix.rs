use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use clock::Timestamp;
use types::UpstreamName;

/// Largest number of prefixes that are kept.
const MAX_PREFIXES: usize = 8192;
/// Largest number of engines that are kept for each prefix.
const MAX_HOLDERS: usize = 16;
/// Time after which a prefix counts as evicted. An event that reports its eviction may have been
/// lost, so an entry is not valid for ever.
const ENTRY_TTL: Duration = Duration::from_secs(60);

/// Which engines have cached which prompt prefixes, according to their cache events.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    /// For each prefix, the engines that have cached it and the time of their last event.
    holders: HashMap<u64, BTreeMap<UpstreamName, Timestamp>>,
    /// Prefixes in the order in which they were added.
    insertion_order: VecDeque<u64>,
}

impl PrefixTable {
    /// Records that an engine has cached a prefix.
    pub fn record_stored(&mut self, prefix: u64, engine: &UpstreamName, now: Timestamp) {
        if !self.holders.contains_key(&prefix) {
            self.insertion_order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        if holders.len() < MAX_HOLDERS || holders.contains_key(engine) {
            holders.insert(engine.clone(), now);
        }
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Records that an engine has evicted a prefix.
    pub fn record_evicted(&mut self, prefix: u64, engine: &UpstreamName) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.remove(engine);
        }
    }

    /// Removes an engine that has restarted or left.
    pub fn remove_engine(&mut self, engine: &UpstreamName) {
        for holders in self.holders.values_mut() {
            holders.remove(engine);
        }
    }

    /// Number of leading prefix blocks that an engine has cached.
    pub fn cached_blocks(&self, prefixes: &[u64], engine: &UpstreamName, now: Timestamp) -> usize {
        let holds = |prefix: &u64| {
            let stored = self.holders.get(prefix).and_then(|holders| holders.get(engine));
            stored.is_some_and(|time| now.since(*time) < ENTRY_TTL)
        };
        prefixes.iter().rposition(holds).map_or(0, |index| index + 1)
    }

    /// Number of known prefixes.
    pub fn len(&self) -> usize {
        self.insertion_order.len()
    }

    /// Whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.insertion_order.is_empty()
    }
}
