use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use clock::{Clock, timeout};
use compio::runtime::{JoinHandle, spawn};
use h2::RecvStream;
use transport::CallError;

use super::{
    RelayReply, RelayRequest, WINDOW_BYTES,
    message::{encode, read_frame},
    write,
};
use crate::{frame::broken, query::stream_request};

/// Longest time to open the connection and to hand over the request: several round trips between
/// failure domains.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time until the other node accepts the request, which it does before it runs it. One that does
/// not hangs.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);

/// The body of a response to a relayed request. The request is cancelled when it is dropped.
pub struct RelayBody {
    unread: Bytes,
    stream: RecvStream,
    _connection: ConnectionTask,
}

/// Sends a request to the node at `addr`, and waits until `limit` for its reply. The error says
/// whether an upstream may have run the request.
pub async fn send(
    clock: &dyn Clock,
    addr: SocketAddr,
    request: &RelayRequest,
    limit: Duration,
) -> Result<(RelayReply, RelayBody), CallError> {
    let not_sent = |error: CallError| CallError::Connect(error.to_string());
    let frame = encode(request).map_err(not_sent)?;
    let open_limit = OPEN_TIMEOUT.min(limit);
    let opening = open(clock, addr, open_limit);
    let opened = timeout(clock, open_limit, opening).await;
    let (mut sender, connection) = opened.map_err(|_| CallError::ConnectTimeout)??;
    let exchange = async {
        let (response, mut stream) =
            sender.send_request(stream_request(), false).map_err(broken)?;
        write(&mut stream, frame, true).await?;
        let accepted = timeout(clock, ACCEPT_TIMEOUT, response).await;
        let accepted = accepted.map_err(|_| CallError::Timeout)?.map_err(broken)?;
        let mut stream = accepted.into_body();
        let (reply, unread) = read_frame(&mut stream).await?;
        Ok((reply, unread, stream))
    };
    let exchanged = timeout(clock, limit, exchange).await.map_err(|_| CallError::Timeout)?;
    let (reply, unread, stream) = exchanged?;
    Ok((reply, RelayBody { unread, stream, _connection: connection }))
}

impl RelayBody {
    /// Waits at most `limit` for the next bytes. `None` means that the body is complete.
    pub async fn next(
        &mut self,
        clock: &dyn Clock,
        limit: Duration,
    ) -> Result<Option<Bytes>, CallError> {
        if !self.unread.is_empty() {
            return Ok(Some(std::mem::take(&mut self.unread)));
        }
        let data = timeout(clock, limit, self.stream.data()).await;
        let Some(data) = data.map_err(|_| CallError::Timeout)? else { return Ok(None) };
        let data = data.map_err(broken)?;
        self.stream.flow_control().release_capacity(data.len()).map_err(broken)?;
        Ok(Some(data))
    }
}

/// The task of a connection, which ends when this is dropped.
struct ConnectionTask {
    _task: JoinHandle<()>,
}

/// Opens a connection. An error means that nothing was sent.
async fn open(
    clock: &dyn Clock,
    addr: SocketAddr,
    limit: Duration,
) -> Result<(h2::client::SendRequest<Bytes>, ConnectionTask), CallError> {
    let stream = transport::connect(clock, addr, limit).await?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .enable_push(false);
    let not_sent = |error: h2::Error| CallError::Connect(error.to_string());
    let handshake = builder.handshake(transport::tokio_stream(stream));
    let (sender, connection) = handshake.await.map_err(not_sent)?;
    let task = spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%addr, %error, "connection of a relayed request has ended");
        }
    });
    let sender = sender.ready().await.map_err(not_sent)?;
    Ok((sender, ConnectionTask { _task: task }))
}
