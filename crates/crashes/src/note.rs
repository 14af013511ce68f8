use serde::{Deserialize, Serialize};
use types::Digest;

use crate::{EngineProcess, PlacedPart, RefusalKey};

/// Something that a node knows about crashes and tells the other nodes. Times are given as ages, so
/// that the nodes' clocks need not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashNote {
    /// An engine process has crashed.
    Crash {
        /// The process.
        process: EngineProcess,
        /// Time since the crash was noticed, in milliseconds.
        age_ms: u32,
        /// The requests of the sender that the process was running.
        suspects: Vec<SuspectNote>,
    },
    /// Requests with these parts have begun an answer since a crash.
    Begun {
        /// The process that crashed.
        process: EngineProcess,
        /// The parts.
        parts: Vec<Digest>,
    },
    /// Requests with these parts have been answered whole by one engine since a crash.
    Answered {
        /// The process that crashed.
        process: EngineProcess,
        /// The parts.
        parts: Vec<Digest>,
    },
    /// Requests are refused: those with a part of a prompt, with several parts together, or with a
    /// whole content.
    Refused {
        /// The refusal.
        key: RefusalKey,
        /// The parts that a request must have to be refused, all of them. A long list comes in several
        /// notes.
        parts: Vec<Digest>,
        /// Number of these parts in all notes; zero if only the end of the refusal is known.
        part_count: u32,
        /// Crashes that led to the refusal.
        crashes: u32,
        /// How often the refusal has ended and begun again: odd if it has ended because a request
        /// with one of the parts was answered.
        revision: u32,
        /// Time since such a request last arrived, in milliseconds.
        age_ms: u32,
    },
}

/// A request that an engine process was running when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNote {
    /// Digest of the organisation's name.
    pub organisation: Digest,
    /// The shared parts of the prompt that may have caused the crash. A long list comes in several
    /// notes.
    pub shared: Vec<PlacedPart>,
    /// Fingerprint of the whole request.
    pub fingerprint: Digest,
    /// Time since the attempt started, in milliseconds.
    pub age_ms: u32,
    /// Time since the process last sent a part of the answer, in milliseconds.
    pub silence_ms: u32,
    /// Whether the answer had begun.
    pub has_begun: bool,
}

impl SuspectNote {
    /// Splits the note into notes with at most `limit` parts each.
    fn split(self, limit: usize) -> Vec<SuspectNote> {
        if self.shared.len() <= limit {
            return vec![self];
        }
        let pieces = self.shared.chunks(limit);
        pieces.map(|shared| SuspectNote { shared: shared.to_vec(), ..self.clone() }).collect()
    }
}

impl CrashNote {
    /// Splits the note into notes with at most `max_suspects` requests and `max_parts` parts each.
    pub fn split(self, max_suspects: usize, max_parts: usize) -> Vec<CrashNote> {
        match self {
            CrashNote::Crash { process, age_ms, suspects } => {
                let pieces = suspects.into_iter().flat_map(|suspect| suspect.split(max_parts));
                group(pieces.collect(), max_suspects, max_parts)
                    .into_iter()
                    .map(|suspects| CrashNote::Crash { process: process.clone(), age_ms, suspects })
                    .collect()
            }
            CrashNote::Begun { process, parts } if parts.len() > max_parts => parts
                .chunks(max_parts)
                .map(|parts| CrashNote::Begun { process: process.clone(), parts: parts.to_vec() })
                .collect(),
            CrashNote::Answered { process, parts } if parts.len() > max_parts => parts
                .chunks(max_parts)
                .map(|parts| CrashNote::Answered {
                    process: process.clone(),
                    parts: parts.to_vec(),
                })
                .collect(),
            CrashNote::Refused { key, parts, part_count, crashes, revision, age_ms }
                if parts.len() > max_parts =>
            {
                let piece = |parts: &[Digest]| CrashNote::Refused {
                    key,
                    parts: parts.to_vec(),
                    part_count,
                    crashes,
                    revision,
                    age_ms,
                };
                parts.chunks(max_parts).map(piece).collect()
            }
            note => vec![note],
        }
    }
}

/// Groups suspects in their order, as many into each group as the limits allow. There is at least one
/// group, also without suspects.
fn group(
    suspects: Vec<SuspectNote>,
    max_suspects: usize,
    max_parts: usize,
) -> Vec<Vec<SuspectNote>> {
    let mut groups: Vec<Vec<SuspectNote>> = vec![Vec::new()];
    let mut parts = 0;
    for suspect in suspects {
        let last = groups.last().map_or(0, Vec::len);
        parts += suspect.shared.len();
        if last == max_suspects || (last > 0 && parts > max_parts) {
            parts = suspect.shared.len();
            groups.push(Vec::new());
        }
        if let Some(group) = groups.last_mut() {
            group.push(suspect);
        }
    }
    groups
}
