use std::{io, net::SocketAddr, time::Duration};

use clock::{Clock, timeout};
use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper_util::rt::TokioIo;

use rustix::net::sockopt;

use crate::CallError;

/// Silence after which a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection breaks.
const PROBE_LIMIT: u32 = 2;
/// Milliseconds that written bytes may stay without an acknowledgement.
const UNACKNOWLEDGED_MS: u32 = 3000;

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
        .map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => CallError::Refused,
            _ => CallError::Connect(error.to_string()),
        })?;
    stream.set_nodelay(true).map_err(|error| CallError::Connect(error.to_string()))?;
    keep_alive(&stream).map_err(|error| CallError::Connect(error.to_string()))?;
    Ok(stream)
}

/// Makes the system probe a silent connection, so that one that something between the two ends has
/// lost track of breaks in place of waiting for good.
fn keep_alive(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_AFTER)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, PROBE_LIMIT)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_MS)
}

/// Wraps a TCP stream for libraries that read and write through tokio's traits, such as h2.
pub fn tokio_stream(stream: TcpStream) -> TokioIo<HyperStream<TcpStream>> {
    TokioIo::new(HyperStream::new_plain(stream))
}
