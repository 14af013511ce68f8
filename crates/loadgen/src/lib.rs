//! Load and experiment tool: sends requests to nodes the way callers do and measures the answers.
//!
//! Invariant: an outcome holds what a caller could see, nothing more. This crate must not know
//! how the router works inside.

mod client;
mod outcome;

pub use client::{CallerClient, Draft, Filing};
pub use outcome::{DraftOutcome, FilingOutcome};
