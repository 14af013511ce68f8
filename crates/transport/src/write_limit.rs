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

/// Time after which a peer that takes no bytes loses its connection. It is longer than any pause
/// of a caller that still reads, and bounds what a caller that never reads costs.
const WRITE_LIMIT: Duration = Duration::from_secs(30);

/// A connection whose writes fail when the peer takes no bytes for a while.
pub(crate) struct WriteLimit<S> {
    inner: S,
    clock: Rc<dyn Clock>,
    expiry: Option<LocalBoxFuture<'static, ()>>,
}

impl<S> WriteLimit<S> {
    pub(crate) fn new(clock: Rc<dyn Clock>, inner: S) -> WriteLimit<S> {
        WriteLimit { inner, clock, expiry: None }
    }

    /// Passes a finished write on, and fails one that has waited for too long.
    fn limit<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.expiry = None;
            return result;
        }
        let clock = &self.clock;
        let expiry = self.expiry.get_or_insert_with(|| clock.sleep(WRITE_LIMIT));
        if expiry.poll_unpin(context).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the peer takes no bytes")))
    }
}

impl<S: Read + Unpin> Read for WriteLimit<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_read(context, buffer)
    }
}

impl<S: Write + Unpin> Write for WriteLimit<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_write(context, bytes);
        this.limit(context, result)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_flush(context);
        this.limit(context, result)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_shutdown(context);
        this.limit(context, result)
    }
}
