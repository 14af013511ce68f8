//! The library that assembles a node of the router.
//!
//! It connects the clients and servers of each peer (callers, engines, services, the platform,
//! operators, other nodes) with the crates that decide (`routing`, `claims`, `fleet`). Each
//! connection and each peer has a task of its own.
//!
//! Invariants:
//! - Each token reaches the caller once, in order, and only after the stages' layer
//!   receipts for it were checked.
//! - A non-idempotent call with an idempotency key is sent only under a claim of that key. Without
//!   a key it is sent once, except that another replica gets it if it did not run on the first.
//! - No `RefCell` borrow of the node's state is held across an `await`.
//! - No code in this crate depends on how messages are encoded.

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
