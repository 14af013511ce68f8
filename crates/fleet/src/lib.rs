//! The state of the fleet as one node knows it.
//!
//! Purpose: hold the configuration that is in force, the members, the upstreams that are leaving
//! and the leases for orders.
//!
//! Invariants: the configuration's revision never goes down. This crate must not know how a
//! request is served.

mod config;
mod orders;

pub use config::{Adoption, CONFIG_KEY, ConfigState};
pub use orders::{EngineFacts, Loaded, ORDER_LEASE_KEY, PlannedOrder, plan_orders};
