//! The tasks that talk to the platform and the engines.

mod config;
mod engine;
mod vms;

pub(crate) use config::watch_config;
pub(crate) use vms::poll_vms;
