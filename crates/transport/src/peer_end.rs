//! Whether a peer that ends its connection may thereby end the body of a response.
//!
//! A body without a length and without chunks ends with its connection. Two failures of the peer look
//! alike:
//!
//! - The connection was reset. That is reported once, by whichever of a read and a write comes first,
//!   and later reads return an end. A connection that had ended before the reset reports only the end.
//! - The peer ended its side of the connection and resets it later. What tells this from a complete
//!   response is the request: a peer that has not received all of it has not answered it.

use std::{io, rc::Rc};

use compio::{BufResult, buf::IoBufMut, io::AsyncRead, net::TcpStream};

use crate::{request_progress::RequestProgress, socket_state, turn::yield_now};

/// The reading half of a connection. It fails in place of reporting the peer's end if the
/// connection has been reset or the peer has not received the whole request.
pub(crate) struct EndCheckedReader<R> {
    inner: R,
    socket: TcpStream,
    progress: Rc<RequestProgress>,
}

impl<R> EndCheckedReader<R> {
    /// Creates a reader of `socket`, of which `inner` is the reading half.
    pub(crate) fn new(
        inner: R,
        socket: TcpStream,
        progress: Rc<RequestProgress>,
    ) -> EndCheckedReader<R> {
        EndCheckedReader { inner, socket, progress }
    }

    async fn check_end(&self) -> io::Result<()> {
        if self.progress.is_unsent() {
            // The HTTP library hands the request back, to be sent over another connection.
            return Ok(());
        }
        if !self.progress.is_written() {
            // The HTTP library, which reads before it writes, may not have noticed yet that the
            // last part is written.
            yield_now().await;
        }
        if socket_state::has_failed(&self.socket)? {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the peer reset the connection",
            ));
        }
        if !self.progress.is_written() || socket_state::unacknowledged_bytes(&self.socket)? > 0 {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "the peer ended the connection before it had received the whole request",
            ));
        }
        Ok(())
    }
}

impl<R: AsyncRead> AsyncRead for EndCheckedReader<R> {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        let BufResult(result, buffer) = self.inner.read(buffer).await;
        if !matches!(result, Ok(0)) {
            return BufResult(result, buffer);
        }
        BufResult(self.check_end().await.map(|()| 0), buffer)
    }
}
