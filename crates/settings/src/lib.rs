//! Settings: the TOML file of a node, and the configuration that operators make for the whole
//! fleet.
//!
//! Purpose: [`NodeSettings`] and [`EdgeSettings`] contain the name and the addresses of a node, and
//! the addresses of the platform's services. [`FleetConfig`] contains the operators' defaults and
//! exceptions, and is stored in the key-value service.
//!
//! Invariants: this crate returns only settings that passed all checks; a fault names the key, the
//! value, the unit and the allowed range, and all faults of a file are reported at once, except in
//! [`EdgeSettings`], where the check stops at the first one. This crate must not know how settings
//! are distributed.

mod edge;
mod fault;
mod fleet;
mod limits;
mod node;
mod policy;
pub mod schema;
mod validate;

pub use edge::{EdgeSettings, OverloadSettings, SettingsError};
pub use fault::{SettingFault, SettingFaults};
pub use fleet::{ChangeRecord, Exception, FleetConfig, ModelConfig, Scope, ServiceConfig};
pub use limits::LimitSettings;
pub use node::{ListenAddrs, LogFormat, LogLevel, LogSettings, NodeSettings, PlatformAddrs};
pub use policy::{BalancingPolicy, Policy, PolicyChange};
