//! What one node knows about the fleet, that is, about the router's nodes and their upstreams; and
//! changes to the configuration of the fleet.
//!
//! Purpose: hold the configuration in force and the facts that nodes exchange: the members, the
//! upstreams that are leaving, and the crashes of upstreams during requests; plan which layers engines are ordered to load; change the stored configuration
//! for operators.
//!
//! Invariants: the configuration's revision never decreases and grows by one with each accepted
//! change; a change is reported as accepted or as conflicting only if that is certain; the result
//! of merging facts depends neither on their order nor on repetitions, so nodes that have received
//! the same facts agree. This crate must not know how requests are served or how facts are sent
//! between nodes.

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
pub use fact::{Crash, CrashId, Fact, LeavingMark, LeavingSource, Member, MemberState, RunTime};
pub use orders::{EngineView, LayerAssignment, LoadCommand, ORDER_LEASE_KEY, plan_orders};
pub use rendezvous::rendezvous_choose;
pub use table::{FACT_TTL_MILLIS, FleetTable, MAX_CRASHES, MAX_LEAVING_MARKS, MAX_MEMBERS};
