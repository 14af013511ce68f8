use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use clock::timeout;
use futures_util::future::{Either, select};
use http::{Method, Request};
use transport::CallError;

use crate::{
    Direction, Message, Peers,
    frame::{FrameReader, FrameWriter, WINDOW_BYTES, broken},
};

impl Peers {
    /// Sends a query to the node at `addr` and returns the answer. The query has a connection of
    /// its own, so that neither a silent link nor a large snapshot delays it. Fails if the answer
    /// does not arrive within `limit`.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        query: &Message,
        limit: Duration,
    ) -> Result<Message, CallError> {
        let answer = timeout(&*self.clock, limit, self.send_query(addr, query, limit)).await;
        answer.unwrap_or(Err(CallError::Timeout))
    }

    /// Opens a connection, sends the query and waits for the answer.
    async fn send_query(
        &self,
        addr: SocketAddr,
        query: &Message,
        limit: Duration,
    ) -> Result<Message, CallError> {
        let stream = transport::connect(&*self.clock, addr, limit).await?;
        let handshake = client_builder().handshake(transport::tokio_stream(stream));
        let (sender, connection) = handshake.await.map_err(broken)?;
        let exchange = async {
            let mut sender = sender.ready().await.map_err(broken)?;
            let (response, writer) =
                sender.send_request(stream_request(), false).map_err(broken)?;
            let sent = FrameWriter::new(writer).send(&*self.clock, query, true).await?;
            self.count_bytes(query.kind(), Direction::Sent, sent);
            let mut reader = FrameReader::new(response.await.map_err(broken)?.into_body());
            let frame = reader.next().await?;
            let frame = frame.ok_or_else(|| CallError::Broken("no answer".into()))?;
            let unreadable = |kind| CallError::Malformed(format!("answer of unknown kind {kind}"));
            let message = frame.message.map_err(unreadable)?;
            self.count_bytes(message.kind(), Direction::Received, frame.bytes);
            Ok(message)
        };
        match select(pin!(exchange), pin!(connection)).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => Err(CallError::Broken("connection was closed".into())),
        }
    }
}

/// Settings of the client end of a connection.
pub(crate) fn client_builder() -> h2::client::Builder {
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .enable_push(false);
    builder
}

/// The HTTP request that opens a stream. The messages are sent in its body.
pub(crate) fn stream_request() -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://peer/");
    *request.version_mut() = http::Version::HTTP_2;
    request
}

/// Type of the data that streams send.
pub(crate) type Data = Bytes;
