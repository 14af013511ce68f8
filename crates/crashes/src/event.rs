use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use clock::Timestamp;
use serde::{Deserialize, Serialize};
use types::{Digest, UpstreamName};

/// Largest number of requests that are remembered of one crash, of those that had begun an answer and
/// of the others.
pub const MAX_SUSPECTS: usize = 48;
/// Largest number of parts of prompts that are remembered of the requests of one crash. It allows
/// prompts of a hundred parts, and bounds the memory that callers with longer ones take up.
const MAX_PARTS: usize = 8192;

/// One process of an engine: the engine's name and incarnation.
pub type EngineProcess = (UpstreamName, u64);

/// What a request consists of, as far as crashes are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestParts {
    /// Digest of the organisation's name.
    pub organisation: Digest,
    /// Parts of the prompt that other requests have as well, in the order of the prompt.
    pub shared: Arc<[Digest]>,
    /// Fingerprint of the whole request, the most specific of its parts.
    pub fingerprint: Digest,
}

impl RequestParts {
    /// The organisation, the shared parts and the fingerprint.
    pub(crate) fn subjects(&self) -> impl Iterator<Item = Digest> + '_ {
        let shared = self.shared.iter().copied();
        [self.organisation].into_iter().chain(shared).chain([self.fingerprint])
    }
}

/// A shared part of a prompt and its place in the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlacedPart {
    /// Number of shared parts before it.
    pub place: u32,
    /// The part.
    pub part: Digest,
}

/// A request that an engine process was running when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Digest of the organisation's name.
    pub organisation: Digest,
    /// Shared parts of the prompt that may have caused the crash, by place.
    pub shared: Vec<PlacedPart>,
    /// Fingerprint of the whole request.
    pub fingerprint: Digest,
    /// When the attempt started that ran on the process.
    pub started: Timestamp,
    /// When the process last sent a part of the answer; the start if it sent none.
    pub progress: Timestamp,
    /// Whether the answer had begun, on this process or on one before it.
    pub has_begun: bool,
}

impl Suspect {
    /// Creates a suspect whose answer had not begun.
    pub fn silent(parts: &RequestParts, started: Timestamp) -> Suspect {
        let shared = parts.shared.iter().zip(0..);
        Suspect {
            organisation: parts.organisation,
            shared: shared.map(|(part, place)| PlacedPart { place, part: *part }).collect(),
            fingerprint: parts.fingerprint,
            started,
            progress: started,
            has_begun: false,
        }
    }

    /// Creates a suspect whose answer had begun.
    pub fn begun(parts: &RequestParts, started: Timestamp, progress: Timestamp) -> Suspect {
        Suspect { progress, has_begun: true, ..Suspect::silent(parts, started) }
    }

    /// Time for which the request had run when its engine process crashed.
    pub(crate) fn run_time(&self, crashed_at: Timestamp) -> Duration {
        crashed_at.since(self.started)
    }

    pub(crate) fn parts(&self) -> impl Iterator<Item = Digest> + '_ {
        self.shared.iter().map(|placed| placed.part)
    }

    /// Whether the part is one of those that may have caused the crash.
    pub(crate) fn has_part(&self, part: Digest) -> bool {
        self.shared.iter().any(|placed| placed.part == part)
    }

    /// The organisation, the shared parts and the fingerprint.
    pub(crate) fn subjects(&self) -> impl Iterator<Item = Digest> + '_ {
        [self.organisation].into_iter().chain(self.parts()).chain([self.fingerprint])
    }

    /// Adds what another note says of the same request. Returns whether a part is new.
    fn merge(&mut self, other: Suspect) -> bool {
        // Repeated notes differ by their time on the way.
        self.started = self.started.min(other.started);
        self.progress = self.progress.max(other.progress);
        let known = self.shared.len();
        // A note may leave out parts, and a long list comes in several notes.
        self.shared.extend(other.shared);
        self.shared.sort_unstable();
        self.shared.dedup();
        self.shared.len() > known
    }
}

/// Which requests count as evidence when the cause of crashes is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Those whose answer had not begun. An answer that begins clears their parts.
    Silent,
    /// Those whose answer had begun as well. Only a whole answer clears the parts of these, since an
    /// engine may crash at any point of an answer.
    All,
}

/// Requests that a process was running when it crashed, by fingerprint.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectSet {
    suspects: BTreeMap<Digest, Suspect>,
    /// Organisations, parts and fingerprints of the suspects.
    subjects: HashSet<Digest>,
    part_count: usize,
}

impl SuspectSet {
    pub(crate) fn get(&self, fingerprint: Digest) -> Option<&Suspect> {
        self.suspects.get(&fingerprint)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Suspect> {
        self.suspects.values()
    }

    /// Whether the digest is that of an organisation, a part or a whole request.
    fn contains(&self, subject: Digest) -> bool {
        self.subjects.contains(&subject)
    }

    /// Adds a suspect, up to the limits. Which suspects remain then is the same for all nodes and
    /// does not depend on their order, and a caller cannot choose it without choosing its
    /// fingerprints. Returns whether anything has changed.
    fn add(&mut self, process: &EngineProcess, suspect: Suspect) -> bool {
        let fingerprint = suspect.fingerprint;
        if let Some(known) = self.suspects.get_mut(&fingerprint) {
            self.subjects.extend(suspect.parts());
            let before = known.shared.len();
            let has_new = known.merge(suspect);
            self.part_count += known.shared.len() - before;
            self.enforce_limits(process);
            return has_new && self.suspects.contains_key(&fingerprint);
        }
        if self.suspects.len() >= MAX_SUSPECTS && self.is_last(process, fingerprint) {
            return false;
        }
        self.subjects.extend(suspect.subjects());
        self.part_count += suspect.shared.len();
        self.suspects.insert(fingerprint, suspect);
        self.enforce_limits(process);
        self.suspects.contains_key(&fingerprint)
    }

    /// Whether the rank of a fingerprint is after those of all suspects.
    fn is_last(&self, process: &EngineProcess, fingerprint: Digest) -> bool {
        let own = rank(process, fingerprint);
        self.suspects.keys().all(|other| rank(process, *other) < own)
    }

    /// Drops suspects until the limits hold.
    fn enforce_limits(&mut self, process: &EngineProcess) {
        let mut has_dropped = false;
        while self.suspects.len() > MAX_SUSPECTS
            || (self.part_count > MAX_PARTS && self.suspects.len() > 1)
        {
            let last = self.suspects.keys().copied().max_by_key(|other| rank(process, *other));
            let Some(dropped) = last.and_then(|last| self.suspects.remove(&last)) else { break };
            self.part_count -= dropped.shared.len();
            has_dropped = true;
        }
        if has_dropped {
            self.subjects = self.suspects.values().flat_map(Suspect::subjects).collect();
        }
    }
}

/// Place of a suspect in the order in which suspects are kept.
fn rank(process: &EngineProcess, fingerprint: Digest) -> Digest {
    let (name, incarnation) = process;
    Digest::of(&[name.as_bytes(), &incarnation.to_le_bytes(), &fingerprint.0.to_le_bytes()])
}

/// A crash of an engine process, as far as all nodes have reported it.
#[derive(Clone, Debug)]
pub(crate) struct CrashEvent {
    /// When the first node noticed it.
    pub(crate) at: Timestamp,
    /// The requests that had begun no answer.
    pub(crate) silent: SuspectSet,
    /// The requests that had begun an answer.
    pub(crate) begun: SuspectSet,
    /// Parts and organisations whose requests have begun an answer since, and requests that have
    /// succeeded.
    cleared: HashSet<Digest>,
    /// Parts and organisations whose requests have been answered whole by one engine since, and
    /// requests that have succeeded.
    answered: HashSet<Digest>,
}

impl CrashEvent {
    pub(crate) fn new(at: Timestamp) -> CrashEvent {
        CrashEvent {
            at,
            silent: SuspectSet::default(),
            begun: SuspectSet::default(),
            cleared: HashSet::new(),
            answered: HashSet::new(),
        }
    }

    /// Adds a suspect. Returns whether anything has changed.
    pub(crate) fn add(&mut self, process: &EngineProcess, suspect: Suspect) -> bool {
        let set = if suspect.has_begun { &mut self.begun } else { &mut self.silent };
        set.add(process, suspect)
    }

    /// The suspects that count under this evidence.
    pub(crate) fn suspects(&self, evidence: Evidence) -> impl Iterator<Item = &Suspect> {
        let begun = (evidence == Evidence::All).then_some(&self.begun);
        self.silent.iter().chain(begun.into_iter().flat_map(SuspectSet::iter))
    }

    /// Whether a subject of a suspect no longer counts: requests that have it have begun an answer
    /// since or, if the answer of the suspect had begun, have been answered.
    pub(crate) fn is_cleared(&self, subject: Digest, suspect: &Suspect) -> bool {
        let has_begun = !suspect.has_begun && self.cleared.contains(&subject);
        has_begun || self.is_answered(subject)
    }

    /// Whether requests that have the subject have been answered since.
    pub(crate) fn is_answered(&self, subject: Digest) -> bool {
        self.answered.contains(&subject)
    }

    /// Organisations, parts and fingerprints of the suspects, without duplicates.
    pub(crate) fn subjects(&self) -> impl Iterator<Item = Digest> + '_ {
        self.silent.subjects.union(&self.begun.subjects).copied()
    }

    /// Whether the digest is that of an organisation, a part or a whole request of a suspect.
    pub(crate) fn contains(&self, subject: Digest) -> bool {
        self.silent.contains(subject) || self.begun.contains(subject)
    }

    /// Clears the subjects of an answer that has begun. Returns those for which that is new. Only
    /// subjects of the crash are kept, which bounds their number.
    pub(crate) fn clear_begun(&mut self, subjects: &[Digest]) -> Vec<Digest> {
        let is_new = |subject: &Digest| {
            self.silent.contains(*subject)
                && !self.cleared.contains(subject)
                && !self.is_answered(*subject)
        };
        let new: Vec<Digest> = subjects.iter().copied().filter(is_new).collect();
        self.cleared.extend(new.iter().copied());
        new
    }

    /// Clears the subjects of a whole answer. Returns those for which that is new.
    pub(crate) fn clear_answered(&mut self, subjects: &[Digest]) -> Vec<Digest> {
        let is_new = |subject: &Digest| self.contains(*subject) && !self.answered.contains(subject);
        let new: Vec<Digest> = subjects.iter().copied().filter(is_new).collect();
        self.answered.extend(new.iter().copied());
        new
    }

    pub(crate) fn cleared(&self) -> impl Iterator<Item = Digest> + '_ {
        self.cleared.iter().copied()
    }

    pub(crate) fn answered(&self) -> impl Iterator<Item = Digest> + '_ {
        self.answered.iter().copied()
    }
}
