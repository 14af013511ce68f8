//! Load generator for benchmarks and experiments: sends requests to nodes as callers do and
//! measures the responses.
//!
//! Invariant: an outcome holds only what a caller can observe. This crate must not know how the
//! router works inside.

mod client;
mod open_loop;
mod outcome;
mod percentiles;

pub use client::{CallerClient, Completion, Filing};
pub use open_loop::{Planned, Sample, poisson, run_open_loop};
pub use outcome::{CompletionOutcome, FilingOutcome};
pub use percentiles::Percentiles;
