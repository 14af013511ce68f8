//! The library that assembles a node of the router.
//!
//! Purpose: connect the peers (callers, engines, services, the platform, operators) with the
//! decisions (routing, claims, fleet state), with one task for each connection and peer.
//!
//! Invariants: a token reaches the caller once, in order, after its receipts were checked; a
//! non-idempotent call is sent only under a claim, or once if it has no key; state is borrowed
//! only between awaits. This crate must not know the encoding of any message.

mod admin;
mod admission;
mod backend;
mod builder;
mod completion;
mod crashes;
mod gather;
mod leaving;
mod members;
mod metered;
mod metrics;
mod peering;
mod replicas;
mod run;
mod service_call;
mod state;
mod tasks;
mod trace;

pub use builder::{Connector, NodeBuilder};
pub use metrics::{OrganisationLabels, metric_names};
pub use run::run;
pub use state::Node;
