//! The peer crate for operators: the HTTP interface through which they watch and steer a node.
//!
//! Invariants: an answer tells what the node knows now, never a guess. This crate must not know
//! how a node works inside; it asks through the [`AdminApi`] trait.

mod admin;
pub mod api;

use futures_util::future::LocalBoxFuture;

pub use admin::AdminServer;

/// What operators can ask of a node.
pub trait AdminApi {
    /// Whether the node can serve requests.
    fn readiness(&self) -> api::Readiness;

    /// The node's state.
    fn status(&self) -> api::NodeStatus;

    /// The node's metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// What was decided for a request, gathered from the nodes.
    fn explain(&self, request: &str) -> LocalBoxFuture<'_, Vec<api::Trace>>;

    /// The state of all members, gathered from them.
    fn fleet(&self) -> LocalBoxFuture<'_, api::FleetStatus>;

    /// Starts a graceful shutdown.
    fn drain(&self);
}
