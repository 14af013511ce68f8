//! What operators have published, and which upstreams exist: the beliefs that requests are routed
//! by.
//!
//! Purpose: plain data that any encoding of the configuration and any registry of upstreams can
//! fill in, and the rules by which newer statements replace older ones.
//!
//! Invariants: a [`Table`] is immutable; neither the table nor an upstream is ever replaced by an
//! older statement. This crate must not know where the statements come from.

mod beliefs;
mod engine;
mod publications;
mod table;
mod upstream;

pub use beliefs::{Adoption, Beliefs};
pub use engine::{AcceleratorKind, EngineProfile};
pub use publications::Publications;
pub use table::{Access, Repeat, Route, Service, Share, Table, TableBuilder};
pub use upstream::{Phase, Upstream};
