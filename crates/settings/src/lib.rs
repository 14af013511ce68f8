//! Settings: what a node is told by its TOML file, and what operators configure for the fleet.
//!
//! Purpose: [`NodeSettings`] name a node, its addresses and its platform; [`FleetConfig`] holds
//! the operators' defaults and exceptions, which the key-value service keeps.
//!
//! Invariants: a value that leaves this crate has passed its checks; a fault names the key, the
//! value, the unit and the bound, and all faults are reported at once. This crate must not know
//! how settings are distributed.

mod edge;
mod fault;
mod fleet;
mod node;
mod policy;
pub mod schema;
mod validate;

pub use edge::{EdgeSettings, SettingsError};
pub use fault::{SettingFault, SettingFaults};
pub use fleet::{ChangeRecord, Exception, FleetConfig, ModelConfig, Scope, ServiceConfig};
pub use node::{ListenAddrs, LogFormat, LogLevel, LogSettings, NodeSettings, PlatformAddrs};
pub use policy::{Policy, PolicyChange, RouteKind};
