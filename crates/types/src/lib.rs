//! Core types that all crates of the router share: names, layer ranges, failures, verdicts and size
//! limits.
//!
//! Invariants: names are immutable and cheap to clone; a [`Verdict`] never claims more than is
//! known. This crate must not know about sockets, message formats or time.

mod digest;
mod layers;
mod limits;
mod name;
mod request;
mod verdict;

pub use digest::Digest;
pub use layers::{LayerRange, Stage, check_coverage};
pub use limits::{
    MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_HEADERS, MAX_KEY_BYTES, MAX_NAME_BYTES,
    MAX_OUTPUT_TOKENS, MAX_PROMPT_TOKENS,
};
pub use name::{Domain, ModelName, NodeName, Organisation, RequestId, ServiceName, UpstreamName};
pub use request::{Class, Failure, FailureKind};
pub use verdict::Verdict;
