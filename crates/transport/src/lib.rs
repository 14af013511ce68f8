//! HTTP over the async runtime: a server for listeners, a client with deadlines on progress.
//!
//! Purpose: every other crate talks to its peer through this one. The client keeps the promise
//! that verdicts rest on: a [`CallError`] says [`Verdict::NotRun`](types::Verdict::NotRun) only
//! if no byte of the request was written.
//!
//! Invariants: no call waits without a deadline; a connection that missed a deadline is never
//! used again. This crate must not know what the messages mean.

mod body;
mod client;
mod connect;
mod error;
mod server;
mod sse;
mod stop;
mod write_limit;

pub use body::{Body, BodyAborted, BodyWriter};
pub use client::{HttpClient, ResponseStream, Timeouts};
pub use connect::{connect, tokio_stream};
pub use error::CallError;
pub use server::{BodyError, ConnectionId, Handler, RequestBody, Server, json_response};
pub use sse::{EventReader, EventSplitter, Events, encode_event};
pub use stop::StopSignal;

/// Header that carries the verdict of a request.
pub const VERDICT_HEADER: &str = "x-verdict";
/// Header that carries the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
