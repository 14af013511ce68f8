use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use clock::timeout;
use compio::net::{TcpListener, TcpStream};
use futures_util::{
    FutureExt, StreamExt,
    future::{Either, LocalBoxFuture, select},
    stream::FuturesUnordered,
};
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response};
use transport::{CallError, StopSignal};

use crate::{
    Direction, Message, Peers, SUSPECT_AFTER,
    frame::{FrameReader, FrameWriter, WINDOW_BYTES, broken},
    link::{Link, answer},
    query::Data,
};

/// Incoming connections that a node serves; others are closed at once. About three links and a
/// few questions are expected.
const MAX_INCOMING: usize = 128;
/// Streams of one connection. A connection carries a link or one question.
const MAX_STREAMS: u32 = 8;
/// Time that a new connection has for the handshake, and a new stream for its first message.
const OPEN_LIMIT: Duration = Duration::from_secs(5);
/// Time after which a connection without a stream is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Pause after a failed `accept`, for example when the process has no free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

impl Peers {
    /// Accepts connections of other nodes until `stop` is raised, one task for each.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: StopSignal) {
        loop {
            let accept = pin!(listener.accept());
            match select(accept, pin!(stop.raised())).await {
                Either::Right(_) => return,
                Either::Left((Ok((stream, _)), _)) => {
                    let Some(guard) = IncomingGuard::new(&self.incoming) else { continue };
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
        let Ok(Ok(mut connection)) = timeout(&*self.clock, OPEN_LIMIT, handshake).await else {
            return;
        };
        let mut running: FuturesUnordered<LocalBoxFuture<'_, ()>> = FuturesUnordered::new();
        let mut closing = false;
        loop {
            let step = {
                let work = async {
                    if running.is_empty() {
                        self.clock.sleep(IDLE_LIMIT).await;
                    } else {
                        running.next().await;
                    }
                    running.is_empty()
                };
                match select(pin!(connection.accept()), pin!(work)).await {
                    Either::Left((accepted, _)) => Either::Left(accepted),
                    Either::Right((idle, _)) => Either::Right(idle),
                }
            };
            match step {
                Either::Left(Some(Ok((request, respond)))) => {
                    running.push(self.serve_stream(request, respond).boxed_local());
                }
                Either::Left(_) => break,
                // Dropping an idle connection would cut off an answer that is being written, so
                // it is shut down and goes on until everything is written.
                Either::Right(true) if !closing => {
                    connection.graceful_shutdown();
                    closing = true;
                }
                Either::Right(true) => break,
                Either::Right(false) => {}
            }
        }
        drop(connection);
        while running.next().await.is_some() {}
    }

    async fn serve_stream(
        self: &Rc<Self>,
        request: Request<RecvStream>,
        respond: SendResponse<Data>,
    ) {
        let served = self.serve_messages(request, respond).await;
        if let Err(error) = served {
            tracing::debug!(%error, "stream of a peer ended with an error");
        }
    }

    async fn serve_messages(
        self: &Rc<Self>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Data>,
    ) -> Result<(), CallError> {
        // The head goes out first: the node that opens a link waits for it.
        let writer = respond.send_response(Response::new(()), false).map_err(broken)?;
        let mut writer = FrameWriter::new(writer);
        let mut reader = FrameReader::new(request.into_body());
        let first = timeout(&*self.clock, OPEN_LIMIT, reader.next()).await;
        let Some(first) = first.map_err(|_| CallError::Timeout)?? else { return Ok(()) };
        match &first.message {
            Ok(Message::Heartbeat(_) | Message::HeartbeatAnswer(_) | Message::Deltas(_)) => {
                let mut link = Link::accepted(self.clone(), reader, writer);
                let result = link.run(Some(first)).await;
                match &result {
                    Ok(()) => link.end(),
                    Err(_) => self.watch_lost(link).await,
                }
                return result;
            }
            Ok(question) => {
                self.count_bytes(question.kind(), Direction::Received, first.bytes);
                let Some(handler) = self.handler() else { return Ok(()) };
                let refusal = || Message::Refused(question.kind() as u8);
                let answer = answer(&*handler, question).unwrap_or_else(refusal);
                let sent = writer.send(&*self.clock, &answer, true).await?;
                self.count_bytes(answer.kind(), Direction::Sent, sent);
            }
            Err(kind) => {
                writer.send(&*self.clock, &Message::Refused(*kind), true).await?;
            }
        }
        Ok(())
    }

    /// Suspects the node of a link that was lost, unless it is heard of again in time.
    async fn watch_lost(&self, link: Link) {
        let Some(node) = link.peer().cloned() else { return };
        drop(link);
        let Some(heard) = self.last_contact(&node) else { return };
        let quiet = self.clock.now().since(heard);
        self.clock.sleep(SUSPECT_AFTER.saturating_sub(quiet)).await;
        if self.last_contact(&node) == Some(heard)
            && let Some(handler) = self.handler()
        {
            let changes = handler.on_silence(&node);
            self.forward(None, changes);
        }
    }
}

struct IncomingGuard {
    count: Rc<Cell<usize>>,
}

impl IncomingGuard {
    fn new(count: &Rc<Cell<usize>>) -> Option<IncomingGuard> {
        if count.get() >= MAX_INCOMING {
            return None;
        }
        count.set(count.get() + 1);
        Some(IncomingGuard { count: count.clone() })
    }
}

impl Drop for IncomingGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
