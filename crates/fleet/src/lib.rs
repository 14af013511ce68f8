//! The state of the fleet as one node knows it, and the operators' changes to it.
//!
//! Purpose: hold the configuration that is in force, the members, the upstreams that are leaving
//! and the leases for orders; change the stored configuration for operators.
//!
//! Invariants: the configuration's revision never goes down and grows by one with each accepted
//! change; a change is reported as accepted or lost only if that is certain. This crate must not
//! know how a request is served.

mod change;
mod config;
mod diff;
pub mod edit;

pub use change::{Author, ConfigStore, Outcome, ReadConfig, ReadError};
pub use config::{Adoption, CONFIG_KEY, ConfigState};
pub use diff::{Difference, diff};
