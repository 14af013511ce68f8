//! How much of a request the HTTP library has written.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::{
    body::{Frame, SizeHint},
    rt::{Read, ReadBufCursor, Write},
};

use crate::{Body, BodyAborted};

/// How much of the last request on a connection is written.
#[derive(Default)]
pub(crate) struct RequestProgress {
    stage: Cell<Stage>,
    /// Whether the HTTP library has taken the whole body, of which it may still hold a part.
    body_taken: Cell<bool>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    /// The whole request was passed to the socket, or there is none.
    #[default]
    Written,
    /// Nothing of the request was passed to the socket.
    Unsent,
    /// A part of the request may have been passed to the socket.
    Sending,
}

impl RequestProgress {
    /// Wraps the body of a request that is sent next.
    pub(crate) fn track(self: &Rc<Self>, body: Body) -> TrackedBody {
        self.stage.set(Stage::Unsent);
        self.body_taken.set(hyper::body::Body::is_end_stream(&body));
        TrackedBody { inner: body, progress: self.clone() }
    }

    /// Whether nothing of the request was passed to the socket.
    pub(crate) fn is_unsent(&self) -> bool {
        self.stage.get() == Stage::Unsent
    }

    /// Whether the whole request was passed to the socket.
    pub(crate) fn is_written(&self) -> bool {
        self.stage.get() == Stage::Written
    }

    /// Records that the HTTP library writes.
    fn record_write(&self) {
        if self.stage.get() == Stage::Unsent {
            self.stage.set(Stage::Sending);
        }
    }

    /// Records that the HTTP library has written all that it held.
    fn record_flush(&self) {
        if self.stage.get() == Stage::Sending && self.body_taken.get() {
            self.stage.set(Stage::Written);
        }
    }
}

/// The body of a request, which records when the HTTP library has taken all of it.
pub(crate) struct TrackedBody {
    inner: Body,
    progress: Rc<RequestProgress>,
}

impl TrackedBody {
    pub(crate) fn into_inner(self) -> Body {
        self.inner
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let frame = std::task::ready!(Pin::new(&mut self.inner).poll_frame(context));
        self.progress.body_taken.set(frame.is_none() || self.inner.is_end_stream());
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// The bytes of a connection, which record when the HTTP library has written all that it held.
pub(crate) struct TrackedIo<S> {
    inner: S,
    progress: Rc<RequestProgress>,
}

impl<S> TrackedIo<S> {
    pub(crate) fn new(inner: S, progress: Rc<RequestProgress>) -> TrackedIo<S> {
        TrackedIo { inner, progress }
    }
}

impl<S: Read + Unpin> Read for TrackedIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: Write + Unpin> Write for TrackedIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.record_write();
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_flush(context);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.progress.record_flush();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
