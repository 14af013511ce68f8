//! The lifecycle of requests that are routed by the operators' published table, and the node that
//! runs it.
//!
//! Purpose: identify the organisation, find the route, admit, choose upstreams, send, forward,
//! recover, and end with a verdict and one log line; beside it one task for each peer: the
//! key-value service, the other nodes, and the planner of layers.
//!
//! Invariants: a request that may not be repeated is sent again only if it has not run; an event
//! of a stream reaches the caller once and in order; an answer that is not whole never looks
//! whole; catalog state is never replaced by older state. This crate must not know the encoding of any
//! message.

mod admission;
mod attempt;
mod buffered;
mod builder;
mod crashes;
mod lifecycle;
mod metrics;
mod node;
mod outcome;
mod peering;
mod planner;
mod run;
mod store;
mod stream;
mod stream_probe;
mod updates;
mod wakeup;

pub use builder::GatewayBuilder;
pub use node::Gateway;
pub use peering::{exchange_datagrams, register};
pub use run::serve;
pub use store::watch_store;
