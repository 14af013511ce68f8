use serde::{Deserialize, Serialize};
use types::Digest;

use crate::EngineProcess;

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
    /// A part is refused.
    Refused {
        /// The part.
        part: Digest,
        /// The organisation for which it is refused; `None` for all.
        organisation: Option<Digest>,
        /// Crashes that led to the refusal.
        crashes: u32,
        /// Whether the refusal has ended because a request with the part began an answer.
        withdrawn: bool,
        /// Time since a request with the part last arrived, in milliseconds.
        age_ms: u32,
    },
}

/// A request that an engine process was running when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNote {
    /// Digest of the organisation's name.
    pub organisation: Digest,
    /// The shared parts of the prompt.
    pub shared: Vec<Digest>,
    /// Fingerprint of the whole request.
    pub fingerprint: Digest,
    /// Time since the attempt started, in milliseconds.
    pub age_ms: u32,
}

impl CrashNote {
    /// Splits the note into notes with at most `limit` requests or parts each.
    pub fn split(self, limit: usize) -> Vec<CrashNote> {
        match self {
            CrashNote::Crash { process, age_ms, suspects } if suspects.len() > limit => suspects
                .chunks(limit)
                .map(|suspects| {
                    let (process, suspects) = (process.clone(), suspects.to_vec());
                    CrashNote::Crash { process, age_ms, suspects }
                })
                .collect(),
            CrashNote::Begun { process, parts } if parts.len() > limit => parts
                .chunks(limit)
                .map(|parts| CrashNote::Begun { process: process.clone(), parts: parts.to_vec() })
                .collect(),
            note => vec![note],
        }
    }
}
