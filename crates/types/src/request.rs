use std::{error::Error, fmt};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::Verdict;

/// Class of a request. Interactive requests go before batch requests.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// Nobody waits; the request may be delayed.
    Batch,
}

/// Why a request got no regular answer.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FailureKind {
    /// The request is malformed or exceeds a bound.
    Invalid,
    /// The model, service or path does not exist.
    NotFound,
    /// The idempotency key was used with another request.
    KeyMismatch,
    /// The organisation's queue or the node is full, or the wait would pass the deadline.
    Overloaded,
    /// No upstream can serve the request now.
    Unavailable,
    /// The key-value service that must record the request cannot be reached.
    StoreUnavailable,
    /// The deadline passed.
    Deadline,
    /// The request crashed too many upstreams and is refused.
    Poison,
    /// The node is shutting down.
    Draining,
    /// The upstream failed after the request was sent.
    Upstream,
    /// The outcome of an earlier send with the same idempotency key is unknown.
    OutcomeUnknown,
}

/// A failed request: the kind, what happened, and whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the request failed.
    pub kind: FailureKind,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// A sentence for the caller.
    pub message: String,
}

impl Failure {
    /// Creates a failure.
    pub fn new(kind: FailureKind, verdict: Verdict, message: impl Into<String>) -> Failure {
        Failure { kind, verdict, message: message.into() }
    }

    /// Creates a failure of a request that did not reach an upstream.
    pub fn not_run(kind: FailureKind, message: impl Into<String>) -> Failure {
        Failure::new(kind, Verdict::NotRun, message)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}, {})", self.message, self.kind, self.verdict)
    }
}

impl Error for Failure {}
