//! Load and experiment tool: sends requests to nodes the way callers do and measures the answers.
//!
//! Invariant: an outcome holds what a caller could see, nothing more. This crate must not know
//! how the router works inside.

mod client;
mod open_loop;
mod outcome;
mod percentiles;

pub use client::{CallerClient, Completion, Filing};
pub use open_loop::{Planned, Sample, poisson, run_open_loop};
pub use outcome::{CompletionOutcome, FilingOutcome};
pub use percentiles::Percentiles;
