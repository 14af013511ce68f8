use std::{
    error::Error,
    fmt,
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::{FutureExt, SinkExt, StreamExt, future::LocalBoxFuture};
use hyper::body::{Frame, SizeHint};

/// Largest piece of a complete body that is passed to the HTTP library, which copies it. The library
/// takes the next one when the peer has taken most of the last, so that a slow peer holds no second
/// copy of the body.
const MAX_PIECE_BYTES: usize = 16 << 10;
/// Maximum number of chunks buffered between the writer and the reader. It limits the memory that
/// is taken up by a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Body of a request or response to send.
pub enum Body {
    /// A body that is complete in memory; `None` if it is empty or already sent.
    Full(Option<Bytes>),
    /// A body that is produced while it is sent.
    Streamed {
        /// Writes the body. It is polled by the connection's task and dropped with the body, so
        /// that the work ends when the reader disconnects.
        producer: Option<LocalBoxFuture<'static, ()>>,
        /// Chunks that the producer has written.
        chunks: mpsc::Receiver<Result<Bytes, BodyAborted>>,
    },
}

/// The producer aborted a body, so the connection is closed before the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body was aborted by its producer")
    }
}

impl Error for BodyAborted {}

impl Body {
    /// Creates an empty body.
    pub fn empty() -> Body {
        Body::Full(None)
    }

    /// Creates a body that is written by the future that `produce` returns.
    pub fn streamed<F>(produce: impl FnOnce(BodyWriter) -> F) -> Body
    where
        F: Future<Output = ()> + 'static,
    {
        let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let producer = produce(BodyWriter { sender }).boxed_local();
        Body::Streamed { producer: Some(producer), chunks }
    }
}

impl<T: Into<Bytes>> From<T> for Body {
    fn from(bytes: T) -> Body {
        let bytes = bytes.into();
        Body::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            Body::Full(bytes) => Poll::Ready(next_piece(bytes).map(|piece| Ok(Frame::data(piece)))),
            Body::Streamed { producer, chunks } => {
                if let Some(future) = producer
                    && future.poll_unpin(context).is_ready()
                {
                    *producer = None;
                }
                chunks.poll_next_unpin(context).map(|chunk| chunk.map(|c| c.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Body::Streamed { .. } => SizeHint::default(),
        }
    }
}

/// Takes the next piece of a complete body.
fn next_piece(bytes: &mut Option<Bytes>) -> Option<Bytes> {
    match bytes {
        Some(rest) if rest.len() > MAX_PIECE_BYTES => Some(rest.split_to(MAX_PIECE_BYTES)),
        _ => bytes.take(),
    }
}

/// Writes the chunks of a streamed body.
#[derive(Clone)]
pub struct BodyWriter {
    sender: mpsc::Sender<Result<Bytes, BodyAborted>>,
}

impl BodyWriter {
    /// Writes one chunk, and waits while the buffer is full. Returns `false` if the reader has
    /// disconnected.
    pub async fn write(&mut self, chunk: impl Into<Bytes>) -> bool {
        self.sender.send(Ok(chunk.into())).await.is_ok()
    }

    /// Closes the connection without the final chunk, so that the reader can tell that the body is
    /// incomplete.
    pub async fn abort(mut self) {
        // Sending fails only if the reader has already disconnected.
        let _ = self.sender.send(Err(BodyAborted)).await;
    }
}
