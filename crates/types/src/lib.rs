//! Core types that every crate of the router shares: names, layer ranges, verdicts and bounds.
//!
//! Invariants: names are immutable and cheap to clone; a [`Verdict`] never claims more than is
//! known. This crate must not know about sockets, encodings of messages or time.

mod bounds;
mod digest;
mod layers;
mod name;
mod request;
mod verdict;

pub use bounds::{
    MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_HEADERS, MAX_KEY_BYTES, MAX_NAME_BYTES,
    MAX_OUTPUT_TOKENS, MAX_PROMPT_TOKENS,
};
pub use digest::Digest;
pub use layers::{LayerRange, Stage, check_coverage};
pub use name::{Domain, ModelName, NodeName, Organisation, RequestId, ServiceName, UpstreamName};
pub use request::{Class, Failure, FailureKind};
pub use verdict::Verdict;
