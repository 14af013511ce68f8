//! The peer crate for model engines: their HTTP API, and a client behind the [`Engine`] trait.
//!
//! Purpose: start, resume and cancel token streams over a route of layer ranges, move KV cache,
//! read load and cache events, and give orders.
//!
//! Invariants: every token that [`TokenStream`] yields has passed [`ReceiptCheck`], which proves
//! that each layer ran once, in order, for the attempt that is current. This crate must not know
//! how routes are chosen or when a request is retried.

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

    /// Cancels an attempt of a session.
    fn cancel(&self, cancel: api::Cancel) -> LocalBoxFuture<'_, Result<(), CallError>>;

    /// Reads the engine's last load report.
    fn load(&self) -> LocalBoxFuture<'_, Result<api::Load, CallError>>;

    /// Reads the cache events after sequence number `after`.
    fn cache_events(&self, after: u64) -> LocalBoxFuture<'_, Result<api::CacheEvents, CallError>>;

    /// Exports the KV cache of a session.
    fn export_kv(&self, session: &str) -> LocalBoxFuture<'_, Result<api::KvCache, CallError>>;

    /// Imports the KV cache of a session.
    fn import_kv(&self, cache: api::KvCache) -> LocalBoxFuture<'_, Result<(), CallError>>;

    /// Drops the idle connections, so that the next call opens a new one. An idle connection may
    /// have fallen silent while the engine works.
    fn drop_idle(&self) {}

    /// Gives an order. `guard` is asked once the connection is open, just before the order is
    /// written, whether its sender may still give it.
    fn order<'a>(
        &'a self,
        order: api::Order,
        guard: &'a dyn Fn() -> bool,
    ) -> LocalBoxFuture<'a, Result<api::OrderReply, CallError>>;
}
