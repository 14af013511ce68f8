//! HTTP/1.1 over the async runtime: a server, and a client with time limits on progress.
//!
//! Purpose: the other crates use this one to talk to their peers. The client guarantees what the
//! verdicts depend on: a [`CallError`] reports [`Verdict::NotRun`](types::Verdict::NotRun) only if
//! no byte of the request was written.
//!
//! Invariants: no call waits without a time limit; a peer that always has more bytes to read keeps no
//! task and no timer of the thread from running; a connection on which a call timed out is never used
//! again. This crate must not know what the messages mean.

mod abortive_close;
mod activity;
mod body;
mod client;
mod connect;
mod connection;
mod descriptors;
mod error;
mod eviction;
mod held;
mod idle;
mod limits;
mod memory;
mod metered;
mod observed;
mod open_connections;
mod peer_end;
mod request_body;
mod request_progress;
mod response;
mod server;
mod signals;
mod socket_state;
mod sse;
mod stop;
mod turn;
mod write_timeout;

pub use body::{Body, BodyAborted, BodyWriter};
pub use client::{HttpClient, Timeouts};
pub use connect::{connect, tokio_stream};
pub use connection::{ConnectionId, ConnectionObserver, CutCause, RequestLabel};
pub use descriptors::descriptor_limit;
pub use error::CallError;
pub use held::{CallerMemory, HeldBuffer};
pub use idle::IdleLimit;
pub use limits::{Refusal, ServerLimits};
pub use memory::{MemoryAccount, Reservation, Shortage};
pub use metered::MeteredReader;
pub use request_body::{BodyError, RequestBody};
pub use response::ResponseStream;
pub use server::{Handler, Server, json_response};
pub use signals::SignalListener;
pub use sse::{EventReader, EventSplitter, Events, encode_event};
pub use stop::StopSignal;
pub use turn::TurnLimit;

/// Header that carries the verdict of a request.
pub const VERDICT_HEADER: &str = "x-verdict";
/// Header that carries the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
