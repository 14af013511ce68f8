use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use clock::{Clock, timeout};
use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper_util::rt::TokioIo;

use rustix::net::sockopt;

use crate::{
    CallError, MeteredReader, metered::InputMeter, peer_end::EndCheckedReader,
    request_progress::RequestProgress,
};

/// Time without traffic after which the kernel sends a keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the kernel closes the connection.
const MAX_KEEPALIVE_PROBES: u32 = 2;
/// Time that sent bytes may remain unacknowledged before the kernel closes the connection
/// (`TCP_USER_TIMEOUT`), in milliseconds.
const USER_TIMEOUT_MS: u32 = 3000;

/// Opens a TCP connection and disables Nagle's algorithm, which would delay each small message of a
/// token stream by up to 40 ms.
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
    enable_keepalive(&stream).map_err(|error| CallError::Connect(error.to_string()))?;
    Ok(stream)
}

/// Enables TCP keepalive, so that a connection whose state a device on the way, such as a NAT or
/// firewall, has dropped fails instead of waiting forever.
fn enable_keepalive(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, MAX_KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)
}

/// A TCP connection whose reads are limited.
pub(crate) type MeteredStream = HyperStream<(MeteredReader<TcpStream>, TcpStream)>;

/// Wraps a TCP stream for an HTTP server. `meter` counts what the peer sends.
pub(crate) fn http_stream(stream: TcpStream, meter: &Rc<InputMeter>) -> MeteredStream {
    let (reader, writer) = stream.into_split();
    HyperStream::new_plain((MeteredReader::new(reader).with_meter(meter.clone()), writer))
}

/// A TCP connection whose reads are limited, and whose end is checked.
pub(crate) type CheckedStream =
    HyperStream<(EndCheckedReader<MeteredReader<TcpStream>>, TcpStream)>;

/// Wraps a TCP stream for an HTTP client. `meter` counts what the peer sends, and `progress` says
/// whether the peer may end the connection.
pub(crate) fn checked_http_stream(
    stream: TcpStream,
    meter: &Rc<InputMeter>,
    progress: &Rc<RequestProgress>,
) -> CheckedStream {
    let socket = stream.clone();
    let (reader, writer) = stream.into_split();
    let reader = MeteredReader::new(reader).with_meter(meter.clone());
    let reader = EndCheckedReader::new(reader, socket, progress.clone());
    HyperStream::new_plain((reader, writer))
}

/// Wraps a TCP stream for libraries that read and write through tokio's traits, such as h2.
pub fn tokio_stream(stream: TcpStream) -> TokioIo<MeteredStream> {
    let (reader, writer) = stream.into_split();
    TokioIo::new(HyperStream::new_plain((MeteredReader::new(reader), writer)))
}
