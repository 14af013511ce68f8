use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Time for which a peer may accept no bytes before the connection fails. It is longer than any
/// pause of a caller that still reads, and limits how long a caller that never reads takes up
/// resources.
const WRITE_STALL_LIMIT: Duration = Duration::from_secs(30);

/// A connection whose writes fail if the peer accepts no bytes for [`WRITE_STALL_LIMIT`].
pub(crate) struct WriteTimeout<S> {
    inner: S,
    clock: Rc<dyn Clock>,
    expiry: Option<LocalBoxFuture<'static, ()>>,
}

impl<S> WriteTimeout<S> {
    pub(crate) fn new(clock: Rc<dyn Clock>, inner: S) -> WriteTimeout<S> {
        WriteTimeout { inner, clock, expiry: None }
    }

    /// Returns the result of a finished write unchanged, and fails a write that has been pending
    /// for too long.
    fn check_stall<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.expiry = None;
            return result;
        }
        let clock = &self.clock;
        let expiry = self.expiry.get_or_insert_with(|| clock.sleep(WRITE_STALL_LIMIT));
        if expiry.poll_unpin(context).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the peer accepts no bytes")))
    }
}

impl<S: Read + Unpin> Read for WriteTimeout<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_read(context, buffer)
    }
}

impl<S: Write + Unpin> Write for WriteTimeout<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_write(context, bytes);
        this.check_stall(context, result)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_flush(context);
        this.check_stall(context, result)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_shutdown(context);
        this.check_stall(context, result)
    }
}
