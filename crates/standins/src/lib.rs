//! Test doubles of the systems around the router: a model engine, a plain HTTP service, the
//! key-value service, the list of VMs, the weight store and the users' platform. A TCP relay
//! injects faults into the links between processes.
//!
//! Purpose: let demos, fault tests and benchmarks run the router against real processes. Each
//! test double is one process; `POST /control` injects and clears its faults.
//!
//! Invariant: the engines generate the text of [`reference::completion`] only if every layer ran
//! exactly once and in order for each position, so comparing the two detects a wrong run. This
//! crate must not depend on the router's internals.

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
