//! Requests that a node without links to the upstreams passes on to another node, which runs them and
//! returns the response. Each has a connection of its own, an HTTP/2 stream of frames and body bytes,
//! so that dropping either end cancels the other one, and no silent connection is shared.

mod client;
mod message;
mod server;

pub use client::{RelayBody, send};
pub use message::{EntryProcess, RelayFailure, RelayHead, RelayReply, RelayRequest};
pub use server::{RelayHandler, RelayResponse, RelayServer};

use bytes::Bytes;
use h2::SendStream;
use std::future::poll_fn;
use transport::CallError;

use crate::frame::broken;

/// Largest request or head of a response, in bytes. It bounds what an incoming connection holds.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Flow-control window of a connection, in bytes. The body of a response is read as fast as its caller
/// takes it, so the window bounds what is buffered for a slow one.
const WINDOW_BYTES: u32 = 64 << 10;

/// Writes bytes as fast as the other node takes them, and ends the stream with them if they are the
/// last ones.
async fn write(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    is_last: bool,
) -> Result<(), CallError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|context| stream.poll_capacity(context)).await;
        let capacity = capacity.ok_or_else(|| CallError::Broken("stream ended".into()))?;
        let part = bytes.split_to(capacity.map_err(broken)?.min(bytes.len()));
        stream.send_data(part, is_last && bytes.is_empty()).map_err(broken)?;
    }
    Ok(())
}
