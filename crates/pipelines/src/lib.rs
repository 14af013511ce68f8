//! Decisions for models whose layers are spread over engines: which engine holds which layers,
//! which engines a request passes through and how long they are predicted to take, how loaded the
//! engines are, how much of the fleet's capacity each organisation uses, when nodes tell each other,
//! and which upstreams to avoid. The crate `gateway` makes its decisions with this one; the crate
//! `node`, whose engines report their load, uses `routing` instead. Both count retries by the crate
//! `retries`; each has its own record of upstreams to avoid. The order of waiting requests is in
//! `admission`.
//!
//! Terms: a *path* is a chain of engines that together run the whole model. The crate `routing`
//! calls that a route.
//!
//! Purpose: plain functions over plain structs, so that any front end and any encoding of orders
//! can use them.
//!
//! Invariants: a chosen path runs every layer once and in order; no placement exceeds the memory
//! of an engine, even if the engine carries out an earlier order late. This crate must not know
//! about sockets or encodings.

mod beacon_plan;
mod budget;
mod crossing;
mod demand;
mod fair_share;
mod growth;
mod health;
mod latency;
mod load;
mod path;
mod path_terms;
mod pause;
mod placement;
mod rate_limit;
mod replica_limit;
mod targets;
mod unread;

pub use beacon_plan::{BEACON_INTERVAL, BeaconPlan, OtherNodes, demand_interval, demand_lifetime};
pub use budget::{BudgetUse, SharedRetryBudget};
pub use crossing::CrossingGaps;
pub use demand::{Demand, DemandKey, DemandTable, MAX_REPORTED_ORGANISATIONS, ServiceDemand};
pub use fair_share::fair_level;
pub use health::HealthTable;
pub use latency::{EngineTimes, EngineWork, PathTimes};
pub use load::{Load, LoadTable, UpstreamLoad};
pub use path::{Path, PathCandidate, PathQuery, choose_path};
pub use path_terms::{CostedPath, costed_paths, reason_against};
pub use pause::PauseTable;
pub use placement::{EngineView, Placement, covers_model, plan};
pub use rate_limit::{NodeShare, RateLimitTable, RateSource, RateUpdate};
pub use replica_limit::{Replica, ReplicaLimits};
pub use targets::PathTargets;
pub use unread::{RequestSize, UnreadTable, unread_share};
