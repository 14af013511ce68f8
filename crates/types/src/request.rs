use std::{error::Error, fmt};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::Verdict;

/// Scheduling class of a request. Interactive requests take precedence over batch requests.
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
    /// A person waits for the response.
    #[default]
    Interactive,
    /// No person waits; the request may be delayed.
    Batch,
}

/// Why a request failed.
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
    /// The request is malformed or exceeds a limit.
    Invalid,
    /// The model, service or path does not exist.
    NotFound,
    /// The idempotency key was used before with a different request.
    KeyMismatch,
    /// The organisation's queue is full, the node is at its limit, or the request would wait in the
    /// queue until after its deadline.
    Overloaded,
    /// No upstream can serve the request now.
    Unavailable,
    /// The key-value service, in which the request must be recorded first, cannot be reached.
    StoreUnavailable,
    /// The deadline passed.
    Deadline,
    /// The request is refused because it crashed too many upstreams.
    Poison,
    /// The node is shutting down.
    Draining,
    /// The upstream failed after the request was sent.
    Upstream,
    /// The outcome of an earlier request with the same idempotency key is unknown.
    OutcomeUnknown,
}

/// Description of a failed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the request failed.
    pub kind: FailureKind,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Message for the caller.
    pub message: String,
}

impl Failure {
    /// Creates a failure.
    pub fn new(kind: FailureKind, verdict: Verdict, message: impl Into<String>) -> Failure {
        Failure { kind, verdict, message: message.into() }
    }

    /// Creates a failure with the verdict [`Verdict::NotRun`].
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
