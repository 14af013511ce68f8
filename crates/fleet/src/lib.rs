//! The state of the fleet as one node knows it, and the operators' changes to it.
//!
//! Purpose: hold the configuration that is in force, the members, the upstreams that are leaving
//! and the crashes of requests; plan the orders to engines; change the stored configuration for
//! operators.
//!
//! Invariants: the configuration's revision never goes down and grows by one with each accepted
//! change; a change is reported as accepted or lost only if that is certain; facts merge by rules
//! for which order and repetition do not matter, so that all nodes that saw the same facts agree.
//! This crate must not know how a request is served or how facts travel.

mod change;
mod config;
mod diff;
pub mod edit;
mod fact;
mod orders;
mod rendezvous;
mod table;

pub use change::{Author, ConfigStore, ReadError, VersionedConfig, WriteOutcome};
pub use config::{CONFIG_KEY, ConfigState, ConfigUpdate};
pub use diff::{Difference, diff};
pub use fact::{Crash, CrashId, Fact, LeavingMark, LeavingSource, Member, MemberState};
pub use orders::{EngineView, LoadedLayers, ORDER_LEASE_KEY, PlannedOrder, plan_orders};
pub use rendezvous::rendezvous_choose;
pub use table::{FACT_TTL_MILLIS, FleetTable, MAX_CRASHES, MAX_MARKS, MAX_MEMBERS};
