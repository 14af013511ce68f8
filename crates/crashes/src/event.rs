use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use clock::Timestamp;
use types::{Digest, UpstreamName};

/// One process of an engine: the engine's name and incarnation.
pub type EngineProcess = (UpstreamName, u64);

/// What a request consists of, as far as crashes are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestParts {
    /// Digest of the organisation's name.
    pub organisation: Digest,
    /// Parts of the prompt that other requests have as well, in the order of the prompt. A later
    /// part is more specific than an earlier one.
    pub shared: Arc<[Digest]>,
    /// Fingerprint of the whole request, the most specific of its parts.
    pub fingerprint: Digest,
}

impl RequestParts {
    /// The organisation, the shared parts and the fingerprint, from the least to the most specific.
    pub(crate) fn subjects(&self) -> impl Iterator<Item = Digest> + '_ {
        let shared = self.shared.iter().copied();
        [self.organisation].into_iter().chain(shared).chain([self.fingerprint])
    }
}

/// A request that an engine process was running when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub parts: RequestParts,
    /// When the attempt started that ran on the process.
    pub started: Timestamp,
}

impl Suspect {
    /// Time for which the request had run when its engine process crashed.
    pub(crate) fn run_time(&self, crashed_at: Timestamp) -> Duration {
        crashed_at.since(self.started)
    }
}

/// A crash of an engine process, as far as all nodes have reported it.
#[derive(Clone, Debug)]
pub(crate) struct CrashEvent {
    /// When the first node noticed it.
    pub(crate) at: Timestamp,
    /// The requests that the process was running, by fingerprint.
    pub(crate) suspects: BTreeMap<Digest, Suspect>,
    /// Parts and organisations whose requests have begun an answer since, and requests that have
    /// succeeded.
    pub(crate) cleared: BTreeSet<Digest>,
}

impl CrashEvent {
    pub(crate) fn new(at: Timestamp) -> CrashEvent {
        CrashEvent { at, suspects: BTreeMap::new(), cleared: BTreeSet::new() }
    }

    /// Adds a suspect, up to `limit`. Which suspects remain then is the same for all nodes and does
    /// not depend on their order, and a caller cannot choose it without choosing its fingerprints.
    /// Returns whether anything has changed.
    pub(crate) fn add(&mut self, process: &EngineProcess, suspect: Suspect, limit: usize) -> bool {
        let fingerprint = suspect.parts.fingerprint;
        if let Some(known) = self.suspects.get_mut(&fingerprint) {
            // Repeated notes differ by their time on the way.
            known.started = known.started.min(suspect.started);
            // A request whose answer had begun is reported without its shared parts.
            let is_fuller = suspect.parts.shared.len() > known.parts.shared.len();
            if is_fuller {
                known.parts = suspect.parts;
            }
            return is_fuller;
        }
        self.suspects.insert(fingerprint, suspect);
        if self.suspects.len() <= limit {
            return true;
        }
        let rank = |fingerprint: &Digest| {
            let (name, incarnation) = process;
            Digest::of(&[name.as_bytes(), &incarnation.to_le_bytes(), &fingerprint.0.to_le_bytes()])
        };
        let dropped = self.suspects.keys().copied().max_by_key(rank);
        if let Some(dropped) = dropped {
            self.suspects.remove(&dropped);
        }
        dropped != Some(fingerprint)
    }

    /// The suspects that have this part, if it is not cleared.
    pub(crate) fn suspects_with(&self, part: Digest) -> impl Iterator<Item = &Suspect> {
        let is_cleared = self.cleared.contains(&part);
        self.suspects.values().filter(move |suspect| {
            !is_cleared && suspect.parts.subjects().any(|subject| subject == part)
        })
    }
}
