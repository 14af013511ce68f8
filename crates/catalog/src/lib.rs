//! What operators have published, and which upstreams exist: the state that requests are routed
//! by.
//!
//! Purpose: plain data that any encoding of the configuration and any registry of upstreams can
//! fill in, and the rules by which newer statements replace older ones.
//!
//! Invariants: a [`RoutingTable`] is immutable; neither the table nor an upstream is ever replaced by an
//! older statement. This crate must not know where the statements come from.

mod codec;
mod engine;
mod state;
mod table;
mod upstream;

pub use codec::CatalogCodec;
pub use engine::{AcceleratorKind, EngineProfile};
pub use state::{CatalogState, UpdateOutcome};
pub use table::{
    Access, RetryPolicy, Route, RoutingTable, RoutingTableBuilder, Service, WeightedService,
};
pub use upstream::{Phase, Upstream};
