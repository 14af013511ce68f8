//! The peer crate for operators: the HTTP API through which they read the state, metrics and
//! request traces of a node and shut it down.
//!
//! Invariants: a response states what the node knows at that moment, never an estimate. This crate
//! must not know how a node works inside; it calls the node through the [`AdminApi`] trait.

mod admin;
pub mod api;

use futures_util::future::LocalBoxFuture;

pub use admin::AdminServer;

/// The operations that a node offers to operators.
pub trait AdminApi {
    /// Whether the node can serve requests, and if not, the reason.
    fn readiness(&self) -> api::Readiness;

    /// The node's state, including that of the engines it knows.
    fn status(&self) -> api::NodeStatus;

    /// The node's metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// The decisions made for a request, as traces collected from the nodes.
    fn explain(&self, request: &str) -> LocalBoxFuture<'_, Vec<api::Trace>>;

    /// The state of all nodes in the membership, collected from them.
    fn fleet(&self) -> LocalBoxFuture<'_, api::FleetStatus>;

    /// Starts a graceful shutdown.
    fn drain(&self);
}
