//! The request lifecycle of a node that routes by the routing table which operators publish, and
//! the background tasks of that node.
//!
//! Purpose: a request is attributed to its organisation, matched to a route, admitted and sent to
//! chosen upstreams; the response is forwarded, a failed attempt is retried or resumed, and the
//! request ends with a verdict and one log line. There is one background task each to watch the
//! key-value service, to keep the node registered there, to exchange datagrams with the other
//! nodes, to store refused parts of prompts, and to plan: the planner orders engines to load
//! layers.
//!
//! Invariants: a request that may not be repeated is sent again only if it has not run; each event
//! of a stream reaches the caller once and in order; a truncated response is never presented as
//! complete; catalog state is never replaced by older state. This crate must not know the encoding
//! of any message.
//!
//! Terms: the *key-value service* is the platform's store of the routing table, of the entries in
//! which upstreams and nodes register, and of leases; fields and types call it the store. Log lines
//! and metrics call the routing table the configuration. The *entry upstream* of a request is the
//! one that it is sent to: the first engine of its path, or a replica of a plain service, which
//! runs no model. A *path* is a chain of engines that together run the whole model; a *route* is a
//! rule of the routing table for a host and a prefix of URL paths. The *selection* of an attempt is
//! the upstreams chosen for it: a path or one replica. [`Gateway`] is the state of this node, which
//! the daemon `gypsumrack-edge` runs; the other registered nodes are its *members*, which the load
//! table calls peers. A node is *stopping* from the stop signal until its process exits; messages
//! to callers say that it is shutting down, and the interfaces of other crates that it is draining.

mod admission;
mod attempt;
mod audience;
mod beacons;
mod buffered;
mod builder;
mod caller_limits;
mod crashes;
mod demand;
mod entries;
mod event_gaps;
mod explain;
mod fleet_metrics;
mod flow;
mod leaving;
mod lifecycle;
mod links;
mod members;
mod metrics;
mod node;
mod observed_store;
mod observer;
mod outcome;
mod path_choice;
mod path_targets;
mod pauses;
mod peering;
mod planner;
mod pressure;
mod rate_limits;
mod refusals;
mod relay;
mod relay_run;
mod replica_choice;
mod replica_limits;
mod retry_budget;
mod run;
mod runs;
mod selection;
mod stopping;
mod store;
mod stream;
mod stream_attempt;
mod stream_probe;
mod unread;
mod updates;
mod usability;
mod wait_queue;
mod wakeup;

pub use builder::GatewayBuilder;
pub use caller_limits::idle_limit;
pub use node::Gateway;
pub use peering::{exchange_datagrams, register};
pub use planner::run_planner;
pub use refusals::store_refusals;
pub use run::{Signals, serve};
pub use store::watch_store;
