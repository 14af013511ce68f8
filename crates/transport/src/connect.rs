use std::{net::SocketAddr, time::Duration};

use clock::{Clock, timeout};
use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper_util::rt::TokioIo;

use crate::CallError;

/// Opens a TCP connection without Nagle's delay, which would hold back each small message of a
/// token stream for up to 40 ms.
pub async fn connect(
    clock: &dyn Clock,
    addr: SocketAddr,
    limit: Duration,
) -> Result<TcpStream, CallError> {
    let stream = timeout(clock, limit, TcpStream::connect(addr))
        .await
        .map_err(|_| CallError::ConnectTimeout)?
        .map_err(|error| CallError::Connect(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| CallError::Connect(error.to_string()))?;
    Ok(stream)
}

/// Wraps a TCP stream for libraries that read and write through tokio's traits, such as h2.
pub fn tokio_stream(stream: TcpStream) -> TokioIo<HyperStream<TcpStream>> {
    TokioIo::new(HyperStream::new_plain(stream))
}
