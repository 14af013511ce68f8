use std::collections::BTreeMap;

use clock::Timestamp;
use types::UpstreamName;

/// Most marks that are kept for incarnations without an entry. An entry may lapse and come back
/// while its process is still leaving.
const MAX_UNREGISTERED: usize = 1024;

/// Who said that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LeavingSource {
    /// The upstream itself, in an answer to this node.
    Answer,
    /// Another node.
    Node,
}

/// States that an incarnation of an upstream is leaving, whatever its entry says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingMark {
    /// Who said so first.
    pub source: LeavingSource,
    /// When this node learned of it.
    pub since: Timestamp,
}

/// Marks of upstreams, each with the incarnation that is leaving. A mark needs no end: it says
/// nothing about other incarnations.
#[derive(Default)]
pub(crate) struct LeavingMarks {
    marks: BTreeMap<(UpstreamName, u64), LeavingMark>,
}

impl LeavingMarks {
    /// The mark of `incarnation` of an upstream.
    pub(crate) fn get(&self, name: &UpstreamName, incarnation: u64) -> Option<&LeavingMark> {
        self.marks.get(&(name.clone(), incarnation))
    }

    /// Adds a mark. If there are too many, drops the oldest one of those whose incarnation is not
    /// registered.
    pub(crate) fn insert(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        mark: LeavingMark,
        is_registered: impl Fn(&UpstreamName, u64) -> bool,
    ) {
        self.marks.insert((name.clone(), incarnation), mark);
        if self.marks.len() <= MAX_UNREGISTERED {
            return;
        }
        let unregistered: Vec<_> =
            self.marks.iter().filter(|((name, number), _)| !is_registered(name, *number)).collect();
        if unregistered.len() <= MAX_UNREGISTERED {
            return;
        }
        let oldest = unregistered.into_iter().min_by_key(|(_, mark)| mark.since);
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            self.marks.remove(&oldest);
        }
    }
}
