//! The peer crate for model engines: their HTTP API, and an HTTP client behind the [`Engine`]
//! trait.
//!
//! Purpose: start, resume and cancel token streams over a route, that is, a sequence of engines
//! that each run a range of the model's layers; export and import KV caches; read load reports and
//! cache events; send orders to load or unload a model.
//!
//! Invariants: every token that [`TokenStream`] yields has passed [`ReceiptCheck`], which verifies
//! that each layer ran exactly once, in order, and for the attempt that the stream belongs to. This
//! crate must not know how routes are chosen or when a request is retried.

pub mod api;
mod check;
mod client;
mod stream;

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use transport::CallError;

pub use check::{LayerViolation, ReceiptCheck};
pub use client::HttpEngine;
pub use stream::{EventSource, StreamError, StreamItem, TokenStream};

/// A model engine.
pub trait Engine {
    /// Starts or resumes a token stream on a route whose first stage is this engine.
    fn generate(
        self: Rc<Self>,
        request: api::Generate,
    ) -> LocalBoxFuture<'static, Result<TokenStream, CallError>>;

    /// Cancels the attempts of a session up to a given number.
    fn cancel(&self, cancel: api::Cancel) -> LocalBoxFuture<'_, Result<(), CallError>>;

    /// Reads the engine's latest load report.
    fn load(&self) -> LocalBoxFuture<'_, Result<api::Load, CallError>>;

    /// Reads the cache events whose sequence numbers are larger than `after`.
    fn cache_events(&self, after: u64) -> LocalBoxFuture<'_, Result<api::CacheEvents, CallError>>;

    /// Exports the KV cache of a session.
    fn export_kv(&self, session: &str) -> LocalBoxFuture<'_, Result<api::KvCache, CallError>>;

    /// Imports the KV cache of a session.
    fn import_kv(&self, cache: api::KvCache) -> LocalBoxFuture<'_, Result<(), CallError>>;

    /// Closes the idle connections, so that the next call opens a new one. An idle connection may
    /// have stopped carrying data although the engine itself works.
    fn drop_idle(&self) {}

    /// Sends an order. `guard` is called once the connection is open, just before the order is
    /// written. If it returns `false`, the sender is no longer allowed to send the order, and the
    /// call fails without sending it.
    fn order<'a>(
        &'a self,
        order: api::Order,
        guard: &'a dyn Fn() -> bool,
    ) -> LocalBoxFuture<'a, Result<api::OrderReply, CallError>>;
}
