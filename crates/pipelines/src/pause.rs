use std::collections::HashMap;

use clock::Timestamp;
use types::UpstreamName;

/// Upstreams that have asked this node to send them nothing for a while. A pause belongs to one
/// incarnation of an upstream and is no sign of a failure.
#[derive(Debug, Default)]
pub struct PauseTable {
    ends: HashMap<UpstreamName, PauseEnd>,
}

/// When the pause of an incarnation of an upstream ends.
#[derive(Clone, Copy, Debug)]
struct PauseEnd {
    incarnation: u64,
    at: Timestamp,
}

impl PauseTable {
    /// Starts a pause of `incarnation` of an upstream, or extends it. An end that is earlier than
    /// the known one changes nothing. Returns the end that is in force.
    pub fn pause_until(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        until: Timestamp,
        now: Timestamp,
    ) -> Timestamp {
        self.ends.retain(|_, end| now < end.at);
        let end = self.ends.entry(name.clone()).or_insert(PauseEnd { incarnation, at: until });
        // A pause of an earlier process says nothing about this one.
        if end.incarnation < incarnation {
            *end = PauseEnd { incarnation, at: until };
        }
        if end.incarnation == incarnation {
            end.at = end.at.max(until);
        }
        end.at
    }

    /// When the pause of `incarnation` of an upstream ends; `None` if it is not paused.
    pub fn end(&self, name: &str, incarnation: u64, now: Timestamp) -> Option<Timestamp> {
        let end = self.ends.get(name)?;
        (end.incarnation == incarnation && now < end.at).then_some(end.at)
    }

    /// Whether no upstream is paused.
    pub fn is_empty(&self, now: Timestamp) -> bool {
        self.ends.values().all(|end| now >= end.at)
    }
}
