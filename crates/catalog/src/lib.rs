//! The operators' configuration and the registered upstreams: the state that routing decisions are
//! based on.
//!
//! Purpose: plain data that any encoding of the configuration and any registry of upstreams can
//! fill in, and the rules by which newer revisions replace older ones.
//!
//! Invariants: a [`RoutingTable`] is immutable; neither the table nor the entry of an upstream is
//! ever replaced by an older revision; an incarnation of an upstream that is marked as leaving stays
//! leaving, whatever its entries say. This crate must not know where the data comes from.
//!
//! Terms: the *registry* is the set of entries that upstreams write to the platform's key-value
//! service. A revision of the registry is a revision of that service.

mod codec;
mod engine;
mod latency;
mod leaving;
mod state;
mod table;
mod upstream;

pub use codec::CatalogCodec;
pub use engine::{AcceleratorKind, ModelProfile};
pub use latency::LatencyModel;
pub use leaving::{LeavingMark, LeavingSource};
pub use state::{CatalogState, UpdateOutcome};
pub use table::{
    Access, RetryPolicy, Route, RoutingTable, RoutingTableBuilder, Service, WeightedService,
};
pub use upstream::{Phase, Upstream};
