use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use clock::Timestamp;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use types::Digest;

use crate::{
    RequestParts, Suspect,
    event::{CrashEvent, Evidence},
};

/// Time for which a refusal is kept after a request that it applies to last arrived.
pub(crate) const REFUSAL_LIFETIME: Duration = Duration::from_secs(600);

/// Time after a refusal within which a crash is put down to requests that had been sent before.
const EXPLAINED_TIME: Duration = Duration::from_secs(1);

/// From where a node knows a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalSource {
    /// It decided so itself.
    Decision,
    /// Another node told it.
    Peer,
    /// It read the key-value service.
    Store,
}

/// Identifies a refusal: of the requests with a part of a prompt, with a combination of parts, or with
/// a whole content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusalKey {
    /// The part, or the fingerprint of the request, or the digest of a combination of parts.
    pub id: Digest,
    /// The organisation whose requests are refused; `None` for all.
    pub organisation: Option<Digest>,
}

impl RefusalKey {
    /// The key of the refusal of requests that have all of `parts`, which are in ascending order.
    pub fn new(parts: &[Digest], organisation: Option<Digest>) -> RefusalKey {
        let id = match parts {
            [part] => *part,
            _ => {
                let bytes: Vec<[u8; 16]> = parts.iter().map(|part| part.0.to_le_bytes()).collect();
                Digest::of(&bytes.iter().map(<[u8; 16]>::as_slice).collect::<Vec<_>>())
            }
        };
        RefusalKey { id, organisation }
    }

    /// Whether requests of an organisation are refused under this key.
    fn covers(&self, organisation: Digest) -> bool {
        self.organisation.is_none_or(|own| own == organisation)
    }

    /// Whether the refusal explains a crash. A crash long after the refusal had another cause, or the
    /// refusal is wrong: no request that it applies to has been sent since.
    pub(crate) fn explains(&self, state: &RefusalState, event: &CrashEvent) -> bool {
        state.is_recent_at(event.at)
            && state.applies_to(|part| event.contains(part))
            && event.suspects(Evidence::All).any(|suspect| {
                self.covers(suspect.organisation) && state.applies_to(|part| suspect.has_part(part))
            })
    }
}

/// What is known of a refusal.
#[derive(Clone, Debug)]
pub(crate) struct RefusalState {
    /// The parts that a request must have to be refused, all of them, in ascending order. A long list
    /// comes in several notes.
    pub(crate) parts: Arc<[Digest]>,
    /// Number of these parts; zero if only the end of the refusal is known.
    pub(crate) part_count: usize,
    pub(crate) crashes: u32,
    pub(crate) source: RefusalSource,
    pub(crate) since: Timestamp,
    pub(crate) last_seen: Timestamp,
    /// How often the refusal has ended and begun again: odd if it has ended. The highest one that any
    /// node knows holds.
    pub(crate) revision: u32,
}

impl RefusalState {
    /// Whether the refusal has ended because a request with one of its parts was answered.
    pub(crate) fn is_withdrawn(&self) -> bool {
        !self.revision.is_multiple_of(2)
    }

    /// Whether requests are refused: with some of the parts unknown, sound ones would be.
    pub(crate) fn is_in_force(&self) -> bool {
        !self.is_withdrawn() && self.part_count > 0 && self.parts.len() == self.part_count
    }

    /// Whether a request that crashed its engine at this time may have been sent before the refusal.
    fn is_recent_at(&self, crashed_at: Timestamp) -> bool {
        crashed_at <= self.since + EXPLAINED_TIME
    }

    /// Whether a request that contains these parts is refused.
    fn applies_to(&self, contains: impl Fn(Digest) -> bool) -> bool {
        self.is_in_force() && self.parts.iter().all(|part| contains(*part))
    }

    /// Merges what a note says of the same refusal.
    fn merge(&mut self, other: RefusalState) {
        self.last_seen = self.last_seen.max(other.last_seen);
        self.crashes = self.crashes.max(other.crashes);
        self.part_count = self.part_count.max(other.part_count);
        if other.parts.iter().any(|part| !self.parts.contains(part)) {
            let parts: BTreeSet<Digest> = self.parts.iter().chain(&*other.parts).copied().collect();
            self.parts = parts.into_iter().collect();
        }
        if other.revision > self.revision {
            (self.revision, self.source, self.since) = (other.revision, other.source, other.since);
        }
    }
}

/// The refusals.
#[derive(Debug, Default)]
pub(crate) struct RefusalTable {
    states: HashMap<RefusalKey, RefusalState>,
}

impl RefusalTable {
    pub(crate) fn get(&self, key: &RefusalKey) -> Option<&RefusalState> {
        self.states.get(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RefusalKey, &RefusalState)> {
        self.states.iter()
    }

    fn in_force(&self) -> impl Iterator<Item = (&RefusalKey, &RefusalState)> {
        self.states.iter().filter(|(_, state)| state.is_in_force())
    }

    /// The refusals in force, with their parts, in the order of their keys.
    pub(crate) fn all_in_force(&self) -> Vec<(RefusalKey, Arc<[Digest]>)> {
        let mut refusals: Vec<(RefusalKey, Arc<[Digest]>)> =
            self.in_force().map(|(key, state)| (*key, state.parts.clone())).collect();
        refusals.sort_unstable();
        refusals
    }

    /// The parts that are refused for two organisations or more, with the crashes during the requests
    /// of all. They have to be the same for both: what one caller gets refused for itself would else
    /// widen a refusal of another one.
    pub(crate) fn shared_parts(&self) -> Vec<(Arc<[Digest]>, u32)> {
        let mut organisations: BTreeMap<Digest, (usize, u32, &Arc<[Digest]>)> = BTreeMap::new();
        for (key, state) in self.in_force().filter(|(key, _)| key.organisation.is_some()) {
            let (count, crashes, _) = organisations.entry(key.id).or_insert((0, 0, &state.parts));
            *count += 1;
            *crashes = crashes.saturating_add(state.crashes);
        }
        let shared = organisations.into_values().filter(|(count, ..)| *count > 1);
        shared.map(|(_, crashes, parts)| (parts.clone(), crashes)).collect()
    }

    /// Whether a refusal of parts explains a crash.
    pub(crate) fn explains(&self, event: &CrashEvent) -> bool {
        self.in_force().any(|(key, state)| key.explains(state, event))
    }

    /// Whether the refusal of a whole request explains a crash during it.
    pub(crate) fn explains_request(&self, suspect: &Suspect, crashed_at: Timestamp) -> bool {
        let parts = [suspect.fingerprint];
        [Some(suspect.organisation), None].into_iter().any(|organisation| {
            let state = self.states.get(&RefusalKey::new(&parts, organisation));
            state.is_some_and(|state| state.is_in_force() && state.is_recent_at(crashed_at))
        })
    }

    /// Ends a refusal. Returns whether it was in force.
    pub(crate) fn withdraw_one(&mut self, key: &RefusalKey) -> bool {
        let state = self.states.get_mut(key).filter(|state| !state.is_withdrawn());
        let is_refused = state.is_some();
        if let Some(state) = state {
            state.revision += 1;
        }
        is_refused
    }

    /// The refusal that applies to a request, which is kept alive by this. Of several it is the one
    /// with the fewest parts.
    pub(crate) fn check(
        &mut self,
        request: &RequestParts,
        now: Timestamp,
    ) -> Option<(RefusalKey, RefusalState)> {
        let contains = |part: Digest| part == request.fingerprint || request.shared.contains(&part);
        let applying = self
            .states
            .iter_mut()
            .filter(|(key, state)| key.covers(request.organisation) && state.applies_to(contains));
        applying
            .map(|(key, state)| {
                state.last_seen = now;
                (*key, state.clone())
            })
            .min_by_key(|(key, state)| (state.part_count, *key))
    }

    /// Merges what is known of a refusal. Returns whether it has begun or ended by this.
    pub(crate) fn merge(&mut self, key: RefusalKey, state: RefusalState, limit: usize) -> bool {
        if let Some(known) = self.states.get_mut(&key) {
            let before = (known.is_in_force(), known.revision);
            known.merge(state);
            return (known.is_in_force(), known.revision) != before;
        }
        let is_complete = state.is_withdrawn() || state.is_in_force();
        self.states.insert(key, state);
        if self.states.len() > limit {
            self.drop_one();
        }
        is_complete && self.states.contains_key(&key)
    }

    /// Drops the refusal that was not seen for the longest time, of the organisation that has most of
    /// them: one that sends ever new contents which crash engines does not push out those of others.
    fn drop_one(&mut self) {
        let mut counts: HashMap<Option<Digest>, usize> = HashMap::new();
        for key in self.states.keys() {
            *counts.entry(key.organisation).or_default() += 1;
        }
        let Some(most) = counts.values().copied().max() else { return };
        let oldest = self
            .states
            .iter()
            .filter(|(key, _)| counts.get(&key.organisation) == Some(&most))
            .min_by_key(|(key, state)| (state.last_seen, **key))
            .map(|(key, _)| *key);
        if let Some(oldest) = oldest {
            self.states.remove(&oldest);
        }
    }

    /// The refusals in force that have one of `parts`.
    pub(crate) fn of_parts(&self, parts: &[Digest]) -> Vec<RefusalKey> {
        let has_part = |state: &RefusalState| state.parts.iter().any(|part| parts.contains(part));
        let concerned = self.in_force().filter(|(_, state)| has_part(state));
        let mut keys: Vec<RefusalKey> = concerned.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.states.retain(|_, state| now.since(state.last_seen) < REFUSAL_LIFETIME);
    }
}
