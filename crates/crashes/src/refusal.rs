use std::{collections::HashMap, time::Duration};

use clock::Timestamp;
use strum::{Display, IntoStaticStr};
use types::Digest;

use crate::RequestParts;

/// Time for which a refusal is kept after a request with the part last arrived.
pub(crate) const REFUSAL_LIFETIME: Duration = Duration::from_secs(600);

/// Time after the refusal of a part within which a crash is put down to requests with the part that had
/// been sent before.
const EXPLAINED_TIME: Duration = Duration::from_secs(1);

/// From where a node knows that a part is refused.
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

/// A part of prompts, or a whole request, that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RefusedPart {
    /// The part, or the fingerprint of the request.
    pub part: Digest,
    /// The organisation for which it is refused; `None` for all.
    pub organisation: Option<Digest>,
}

/// What is known of a refused part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalState {
    pub(crate) crashes: u32,
    pub(crate) source: RefusalSource,
    pub(crate) since: Timestamp,
    pub(crate) last_seen: Timestamp,
    /// How often the refusal has ended and begun again: odd if it has ended. The highest one that any
    /// node knows holds.
    pub(crate) revision: u32,
}

impl RefusalState {
    /// Whether the refusal has ended because a request with the part was answered.
    pub(crate) fn is_withdrawn(&self) -> bool {
        !self.revision.is_multiple_of(2)
    }
}

/// The parts that are refused.
#[derive(Debug, Default)]
pub(crate) struct RefusalTable {
    states: HashMap<RefusedPart, RefusalState>,
}

impl RefusalTable {
    pub(crate) fn get(&self, refused: &RefusedPart) -> Option<&RefusalState> {
        self.states.get(refused)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RefusedPart, &RefusalState)> {
        self.states.iter()
    }

    /// The parts that are refused for two organisations or more, with the crashes during the
    /// requests of all.
    pub(crate) fn shared_parts(&self) -> Vec<(Digest, u32)> {
        let mut organisations: HashMap<Digest, (usize, u32)> = HashMap::new();
        for (refused, state) in &self.states {
            if refused.organisation.is_some() && !state.is_withdrawn() {
                let (count, crashes) = organisations.entry(refused.part).or_default();
                *count += 1;
                *crashes = crashes.saturating_add(state.crashes);
            }
        }
        let shared = organisations.into_iter().filter(|(_, (count, _))| *count > 1);
        shared.map(|(part, (_, crashes))| (part, crashes)).collect()
    }

    /// Whether the refusal of a part explains a crash during a request of an organisation. A crash long
    /// after the refusal had another cause, or the refusal is wrong: no request with the part has been
    /// sent since.
    pub(crate) fn explains(
        &self,
        part: Digest,
        organisation: Digest,
        crashed_at: Timestamp,
    ) -> bool {
        let scopes = [Some(organisation), None];
        scopes.into_iter().any(|organisation| {
            let refused = RefusedPart { part, organisation };
            self.states.get(&refused).is_some_and(|state| {
                !state.is_withdrawn() && crashed_at <= state.since + EXPLAINED_TIME
            })
        })
    }

    /// Ends a refusal. Returns whether it was in force.
    pub(crate) fn withdraw_one(&mut self, refused: &RefusedPart) -> bool {
        let state = self.states.get_mut(refused).filter(|state| !state.is_withdrawn());
        let is_refused = state.is_some();
        if let Some(state) = state {
            state.revision += 1;
        }
        is_refused
    }

    /// The refusal that applies to a request, which is kept alive by this.
    pub(crate) fn check(
        &mut self,
        request: &RequestParts,
        now: Timestamp,
    ) -> Option<(RefusedPart, RefusalState)> {
        let scopes = [Some(request.organisation), None];
        for part in request.shared.iter().copied().chain([request.fingerprint]) {
            for organisation in scopes {
                let refused = RefusedPart { part, organisation };
                if let Some(state) =
                    self.states.get_mut(&refused).filter(|state| !state.is_withdrawn())
                {
                    state.last_seen = now;
                    return Some((refused, *state));
                }
            }
        }
        None
    }

    /// Merges what is known of a refused part. Returns whether that is new.
    pub(crate) fn merge(
        &mut self,
        refused: RefusedPart,
        state: RefusalState,
        limit: usize,
    ) -> bool {
        if let Some(known) = self.states.get_mut(&refused) {
            known.last_seen = known.last_seen.max(state.last_seen);
            known.crashes = known.crashes.max(state.crashes);
            let is_new = state.revision > known.revision;
            if is_new {
                (known.revision, known.source, known.since) =
                    (state.revision, state.source, state.since);
            }
            return is_new;
        }
        self.states.insert(refused, state);
        if self.states.len() > limit {
            self.drop_one();
        }
        self.states.contains_key(&refused)
    }

    /// Drops the refusal that was not seen for the longest time, of the organisation that has most of
    /// them: one that sends ever new contents which crash engines does not push out those of others.
    fn drop_one(&mut self) {
        let mut counts: HashMap<Option<Digest>, usize> = HashMap::new();
        for refused in self.states.keys() {
            *counts.entry(refused.organisation).or_default() += 1;
        }
        let Some(most) = counts.values().copied().max() else { return };
        let oldest = self
            .states
            .iter()
            .filter(|(refused, _)| counts.get(&refused.organisation) == Some(&most))
            .min_by_key(|(refused, state)| (state.last_seen, **refused))
            .map(|(refused, _)| *refused);
        if let Some(oldest) = oldest {
            self.states.remove(&oldest);
        }
    }

    /// Ends the refusals of the given parts. Returns those that ended.
    pub(crate) fn withdraw(&mut self, parts: &[Digest]) -> Vec<RefusedPart> {
        let applying = self
            .states
            .iter_mut()
            .filter(|(refused, state)| !state.is_withdrawn() && parts.contains(&refused.part));
        applying
            .map(|(refused, state)| {
                state.revision += 1;
                *refused
            })
            .collect()
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.states.retain(|_, state| now.since(state.last_seen) < REFUSAL_LIFETIME);
    }
}
