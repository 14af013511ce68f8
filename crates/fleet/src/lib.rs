//! The state of the fleet as one node knows it.
//!
//! Purpose: hold the configuration that is in force, the members, the upstreams that are leaving,
//! the crashes of requests and the leases for orders.
//!
//! Invariants: the configuration's revision never goes down; facts merge by rules for which
//! order and repetition do not matter, so that all nodes that saw the same facts agree. This crate
//! must not know how a request is served or how facts travel.

mod config;
mod orders;

pub use config::{Adoption, CONFIG_KEY, ConfigState};
pub use orders::{EngineFacts, Loaded, ORDER_LEASE_KEY, PlannedOrder, plan_orders};
mod fact;
mod rendezvous;
mod table;

pub use fact::{Crash, CrashId, Fact, LeavingMark, MarkSource, Member, MemberState};
pub use rendezvous::choose;
pub use table::{FACT_LIFE_MILLIS, FleetTable, MAX_CRASHES, MAX_MARKS, MAX_MEMBERS};
