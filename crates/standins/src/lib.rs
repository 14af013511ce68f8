//! Test doubles of the outside systems: a model engine, a plain service, the key-value service,
//! the list of VMs and the weight store; and a relay that disturbs the links between processes.
//!
//! Purpose: let demos, fault tests and benchmarks run the router against real processes. Each
//! double is one process; its faults are switched by `POST /control`.
//!
//! Invariant: the text that the engines generate is a function of the prompt and of every layer
//! having run once, in order, so [`reference::completion`] detects a wrong run. This crate must
//! not know how the router works inside.

mod control;
pub mod engine;
pub mod keyvalue;
pub mod platform;
pub mod reference;
pub mod relay;
mod server;
pub mod service;
pub mod vms;
pub mod weights;

pub use control::EngineFaults;
