//! Decides which requests are refused because engines crash while they run them.
//!
//! Purpose: collect the crashes of engine processes, each with the requests that ran there, and find
//! what they have in common: a request that is sent again and again, or one part of a prompt that
//! many requests share. Both dialects of the router use it.
//!
//! Invariants: an engine may crash at any point of an answer, so that an answer which begins clears the
//! parts of its prompt only of crashes before the first event, and a whole answer of one engine clears
//! them altogether, whoever sent it; crashes during the requests of one organisation refuse a part for
//! that organisation only; memory is bounded, and the result of merging notes from other nodes depends
//! neither on their order nor on repetitions.
//! This crate must not know how requests are served or how notes are sent between nodes.

mod decision;
mod event;
mod note;
mod outgoing;
mod part_cause;
mod refusal;
mod request_cause;
mod requests;
mod sound;
mod table;

pub use event::{EngineProcess, MAX_SUSPECTS, PlacedPart, RequestParts, Suspect};
pub use note::{CrashNote, SuspectNote};
pub use refusal::{RefusalKey, RefusalSource};
pub use request_cause::{CrashedRuns, is_poison, shares_crash};
pub use table::{Applied, CrashTable, MAX_EVENTS, MAX_REFUSALS, Refusal};
