//! Decisions on whether a request is admitted, waits or is refused while capacity is scarce.
//!
//! Purpose: plain functions and structs that any front end can use. [`fill_limit`] says how full an
//! engine may be for a request to be admitted. [`FleetLoad`] estimates how long a request waits, and
//! [`retry_after`] says when a refused caller should come back. [`AdmissionQueue`] orders the requests
//! that wait.
//!
//! Invariants: a fill limit is from 0 to 1 and never lower for a more urgent request with the same
//! draw; the size of every structure is bounded; no input, however absurd, makes a function panic.
//! This crate must not know upstreams, sockets, messages or settings files.
//!
//! Terms: the *rank* of a request is the position of its priority among the priorities of the routes
//! to its service; rank 0 is the most urgent. A *draw* is a random number from 0 to 1 that is drawn
//! once for each request.

mod fill;
mod flow;
mod queue;
mod size;

pub use fill::{FillRange, Standing, fill_limit, own_part};
pub use flow::{FleetLoad, Flow, retry_after};
pub use queue::{AdmissionQueue, Enqueued, QueueLimits, Ticket, Waiting};
pub use size::SizeHints;
