//! The state of the fleet as one node knows it.
//!
//! Purpose: hold the configuration that is in force, the members, the upstreams that are leaving
//! and the leases for orders.
//!
//! Invariants: the configuration's revision never goes down. This crate must not know how a
//! request is served.

mod config;

pub use config::{Adoption, CONFIG_KEY, ConfigState};
