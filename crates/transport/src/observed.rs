//! The bodies and bytes of a connection of a caller, which tell the connection's state what happens to
//! them.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use compio::net::TcpStream;
use hyper::{
    body::{Frame, SizeHint},
    rt::{Read, ReadBufCursor, Write},
};

use crate::{Body, BodyAborted, abortive_close::AbortiveClose, connection::ConnectionState};

/// The body of a response, which tells the connection's state how it ended.
pub(crate) struct ObservedBody {
    inner: Body,
    state: Rc<ConnectionState>,
    /// Number of flushes of the connection when the body was aborted.
    aborted_at: Option<u64>,
}

impl ObservedBody {
    pub(crate) fn new(inner: Body, state: Rc<ConnectionState>) -> ObservedBody {
        let body = ObservedBody { inner, state, aborted_at: None };
        body.check_end();
        body
    }

    /// Reports the abort once the head and the chunks before it are written: the connection closes
    /// at the report, and discards what it has not written by then. The connection polls the body
    /// again after each flush.
    fn poll_abort(&self, aborted_at: u64) -> Poll<BodyAborted> {
        if self.state.flushes() == aborted_at {
            return Poll::Pending;
        }
        self.state.record_body_end(Err(BodyAborted));
        Poll::Ready(BodyAborted)
    }

    fn check_end(&self) {
        if hyper::body::Body::is_end_stream(&self.inner) {
            self.state.record_body_end(Ok(()));
        }
    }
}

impl Drop for ObservedBody {
    fn drop(&mut self) {
        // The response to a HEAD request ends without its body.
        if !self.state.has_body_ended() {
            self.state.record_body_end(Ok(()));
        }
    }
}

impl hyper::body::Body for ObservedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let frame = match self.aborted_at {
            Some(_) => Some(Err(BodyAborted)),
            None => std::task::ready!(Pin::new(&mut self.inner).poll_frame(context)),
        };
        match &frame {
            Some(Ok(_)) => self.check_end(),
            Some(Err(BodyAborted)) => {
                let flushes = self.state.flushes();
                let aborted_at = *self.aborted_at.get_or_insert(flushes);
                return self.poll_abort(aborted_at).map(|error| Some(Err(error)));
            }
            None => self.state.record_body_end(Ok(())),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// The bytes of a connection, which tell the connection's state what was written. While a response is
/// written that only the end of the connection ends, closing the connection resets it.
pub(crate) struct ObservedIo<S> {
    inner: S,
    state: Rc<ConnectionState>,
    abortive_close: AbortiveClose,
}

impl<S> ObservedIo<S> {
    /// Creates the bytes of a connection over `socket`.
    pub(crate) fn new(inner: S, state: Rc<ConnectionState>, socket: TcpStream) -> ObservedIo<S> {
        ObservedIo { inner, state, abortive_close: AbortiveClose::new(socket) }
    }

    /// Sets what closing the connection does now.
    fn update_close(&mut self) {
        let must_not_end = self.state.must_not_end();
        self.abortive_close.set(must_not_end);
    }
}

impl<S: Read + Unpin> Read for ObservedIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.state.record_read();
        }
        result
    }
}

impl<S: Write + Unpin> Write for ObservedIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_close();
        let result = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.state.record_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_flush(context);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.state.record_flush();
            self.update_close();
        }
        self.state.record_write(&result);
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The end would reach the caller before the reset.
        if self.abortive_close.is_set() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
