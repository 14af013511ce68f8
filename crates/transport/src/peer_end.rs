//! Whether a peer that ends its connection may thereby end the body of a response.
//!
//! A body without a length and without chunks ends with its connection. A connection that was reset
//! may look like one that has ended: the reset is reported once, by whichever of a read and a write
//! comes first, and later reads return an end. A connection that had ended before the reset reports
//! only the end.

use std::io;

use compio::{BufResult, buf::IoBufMut, io::AsyncRead, net::TcpStream};

use crate::socket_state;

/// The reading half of a connection. It fails in place of reporting the peer's end if the
/// connection has been reset.
pub(crate) struct EndCheckedReader<R> {
    inner: R,
    socket: TcpStream,
}

impl<R> EndCheckedReader<R> {
    /// Creates a reader of `socket`, of which `inner` is the reading half.
    pub(crate) fn new(inner: R, socket: TcpStream) -> EndCheckedReader<R> {
        EndCheckedReader { inner, socket }
    }

    fn check_end(&self) -> io::Result<()> {
        if socket_state::has_failed(&self.socket)? {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the peer reset the connection",
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
        BufResult(self.check_end().map(|()| 0), buffer)
    }
}
