use std::{pin::pin, rc::Rc, time::Duration};

use clock::timeout;
use compio::net::{TcpListener, TcpStream};
use futures_util::{
    FutureExt, StreamExt,
    future::{Either, LocalBoxFuture, select},
    stream::FuturesUnordered,
};
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response};
use transport::{CallError, StopSignal, TurnLimit};

use crate::{
    Direction, Message, Peers, SUSPECT_AFTER,
    connection_guard::ConnectionGuard,
    frame::{FrameReader, FrameWriter, WINDOW_BYTES, broken},
    link::{Link, answer_query},
    query::Data,
};

/// Largest number of incoming connections. Further ones are closed at once. About three links and a
/// few queries are expected.
const MAX_INCOMING: usize = 128;
/// Largest number of streams on one connection. A connection is for one link or one query.
const MAX_STREAMS: u32 = 8;
/// Longest time for the handshake of a new connection, and for the first message of a new stream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a connection without a stream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted, for example because the process has no free file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that are accepted in one turn of the task.
const ACCEPTS_PER_TURN: u32 = 16;

impl Peers {
    /// Accepts connections of other nodes and serves each in a task of its own, until `stop` is
    /// raised.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: StopSignal) {
        let turn = TurnLimit::new(ACCEPTS_PER_TURN);
        loop {
            turn.step().await;
            let accept = pin!(listener.accept());
            match select(accept, pin!(stop.raised())).await {
                Either::Right(_) => return,
                Either::Left((Ok((stream, _)), _)) => {
                    let Some(guard) = ConnectionGuard::new(&self.incoming_count, MAX_INCOMING)
                    else {
                        continue;
                    };
                    let (peers, stop) = (self.clone(), stop.clone());
                    compio::runtime::spawn(async move {
                        let _guard = guard;
                        let serving = pin!(peers.serve_connection(stream));
                        select(serving, pin!(stop.raised())).await;
                    })
                    .detach();
                }
                Either::Left((Err(error), _)) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    self.clock.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection(self: &Rc<Self>, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "connection closed before it was served");
            return;
        }
        let mut builder = h2::server::Builder::new();
        builder
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS);
        let handshake = builder.handshake::<_, Data>(transport::tokio_stream(stream));
        let Ok(Ok(mut connection)) = timeout(&*self.clock, OPEN_TIMEOUT, handshake).await else {
            return;
        };
        let mut streams: FuturesUnordered<LocalBoxFuture<'_, ()>> = FuturesUnordered::new();
        let mut closing = false;
        loop {
            let event = {
                // Waits until a stream has ended, or for the idle timeout if there is no stream.
                // Returns whether there is no stream now.
                let progress = async {
                    if streams.is_empty() {
                        self.clock.sleep(IDLE_TIMEOUT).await;
                    } else {
                        streams.next().await;
                    }
                    streams.is_empty()
                };
                match select(pin!(connection.accept()), pin!(progress)).await {
                    Either::Left((accepted, _)) => Either::Left(accepted),
                    Either::Right((idle, _)) => Either::Right(idle),
                }
            };
            match event {
                Either::Left(Some(Ok((request, responder)))) => {
                    streams.push(self.serve_stream(request, responder).boxed_local());
                }
                Either::Left(_) => break,
                // Dropping the connection could cut off an answer that is still being written, so
                // it is shut down gracefully: what was sent is written first.
                Either::Right(true) if !closing => {
                    connection.graceful_shutdown();
                    closing = true;
                }
                Either::Right(true) => break,
                Either::Right(false) => {}
            }
        }
        drop(connection);
        while streams.next().await.is_some() {}
    }

    async fn serve_stream(
        self: &Rc<Self>,
        request: Request<RecvStream>,
        responder: SendResponse<Data>,
    ) {
        let served = self.serve_messages(request, responder).await;
        if let Err(error) = served {
            tracing::debug!(%error, "stream of a peer ended with an error");
        }
    }

    async fn serve_messages(
        self: &Rc<Self>,
        request: Request<RecvStream>,
        mut responder: SendResponse<Data>,
    ) -> Result<(), CallError> {
        // The response headers are sent before any message, because the node that opens a link
        // waits for them.
        let writer = responder.send_response(Response::new(()), false).map_err(broken)?;
        let mut writer = FrameWriter::new(writer);
        let mut reader = FrameReader::new(request.into_body());
        let first = timeout(&*self.clock, OPEN_TIMEOUT, reader.next()).await;
        let Some(first) = first.map_err(|_| CallError::Timeout)?? else { return Ok(()) };
        match &first.message {
            Ok(Message::Heartbeat(_) | Message::HeartbeatAnswer(_) | Message::Deltas(_)) => {
                let mut link = Link::incoming(self.clone(), reader, writer);
                let result = link.run(Some(first)).await;
                match &result {
                    Ok(()) => link.end_stream(),
                    Err(_) => self.suspect_unless_heard(link).await,
                }
                return result;
            }
            Ok(query) => {
                self.count_bytes(query.kind(), Direction::Received, first.bytes);
                let Some(handler) = self.handler() else { return Ok(()) };
                let refusal = || Message::Refused(query.kind() as u8);
                let answer = answer_query(&*handler, query).unwrap_or_else(refusal);
                let sent = writer.send(&*self.clock, &answer, true).await?;
                self.count_bytes(answer.kind(), Direction::Sent, sent);
            }
            Err(kind) => {
                writer.send(&*self.clock, &Message::Refused(*kind), true).await?;
            }
        }
        Ok(())
    }

    /// Reports that the node of a lost link is silent, unless a heartbeat of it is received within
    /// [`SUSPECT_AFTER`] of the last one.
    async fn suspect_unless_heard(&self, link: Link) {
        let Some(node) = link.peer().cloned() else { return };
        drop(link);
        let Some(last_contact) = self.last_contact(&node) else { return };
        let silence = self.clock.now().since(last_contact);
        self.clock.sleep(SUSPECT_AFTER.saturating_sub(silence)).await;
        if self.last_contact(&node) == Some(last_contact)
            && let Some(handler) = self.handler()
        {
            let changes = handler.on_silence(&node);
            self.forward(None, changes);
        }
    }
}
