use std::{pin::pin, rc::Rc, time::Duration};

use clock::Timestamp;
use futures_channel::mpsc;
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use transport::CallError;
use types::NodeName;

use crate::{
    Direction, Heartbeat, Message, PeerHandler, Peers, Snapshot, SnapshotQuery,
    frame::{Frame, FrameReader, FrameWriter},
    network::LinkId,
};

/// Interval at which heartbeats are sent on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for the answer to a heartbeat before the link counts as lost.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a heartbeat after which a node is suspect: three heartbeat intervals.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(6);
/// Shortest time between two queries for all facts on one link. While new facts are being sent, the
/// digests of two nodes differ for a moment although no snapshot is needed.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(10);

/// This node's end of a link.
pub(crate) struct Link {
    peers: Rc<Peers>,
    id: LinkId,
    reader: FrameReader,
    writer: FrameWriter,
    /// Messages that are queued to be sent.
    outbox: mpsc::Receiver<Message>,
    liveness: Liveness,
    /// The node at the other end, once it is known.
    peer: Option<NodeName>,
    /// Whether the digests differed at the last heartbeat. All facts are queried only if the
    /// digests differ at two heartbeats in a row. On a new link the value is `true`, so that a
    /// difference at the first heartbeat is enough: no new facts are being sent on the link then.
    digests_differed: bool,
    /// Time of the last query for all facts.
    last_facts_query: Option<Timestamp>,
}

/// How an end of a link notices that the other node is silent.
enum Liveness {
    /// The end that has opened the link sends heartbeats and waits for their answers. `next` is the
    /// time of the next heartbeat, `sequence` the number of the last one, and `unanswered` the
    /// deadline of the answer that is missing, if any.
    SendsHeartbeats { next: Timestamp, sequence: u32, unanswered: Option<Timestamp> },
    /// The other end waits for heartbeats, for the next one until `until`.
    AwaitsHeartbeats { until: Timestamp },
}

/// What a link has to handle next.
enum Event {
    /// A frame was received, or the other node has ended the stream (`None`).
    Received(Option<Frame>),
    /// A message is to be sent.
    Outgoing(Message),
    /// A heartbeat has to be sent, or an expected message has not arrived in time.
    DeadlineReached,
}

impl Link {
    /// Creates the end of a link that this node has opened.
    pub(crate) fn outgoing(
        peers: Rc<Peers>,
        peer: NodeName,
        reader: FrameReader,
        writer: FrameWriter,
    ) -> Link {
        let next = peers.clock.now();
        let liveness = Liveness::SendsHeartbeats { next, sequence: 0, unanswered: None };
        Link::new(peers, Some(peer), reader, writer, liveness)
    }

    /// Creates the end of a link that another node has opened.
    pub(crate) fn incoming(peers: Rc<Peers>, reader: FrameReader, writer: FrameWriter) -> Link {
        let until = peers.clock.now() + SUSPECT_AFTER;
        Link::new(peers, None, reader, writer, Liveness::AwaitsHeartbeats { until })
    }

    fn new(
        peers: Rc<Peers>,
        peer: Option<NodeName>,
        reader: FrameReader,
        writer: FrameWriter,
        liveness: Liveness,
    ) -> Link {
        let (id, outbox) = peers.register_link();
        let digests_differed = true;
        Link {
            peers,
            id,
            reader,
            writer,
            outbox,
            liveness,
            peer,
            digests_differed,
            last_facts_query: None,
        }
    }

    /// The node at the other end, once it is known.
    pub(crate) fn peer(&self) -> Option<&NodeName> {
        self.peer.as_ref()
    }

    /// Tells the other node that the link is closed on purpose.
    pub(crate) fn end_stream(&mut self) {
        self.writer.end_stream();
    }

    /// Sends and handles messages until the other node ends the link, or until the link is lost.
    /// `first_frame` is the frame that has shown that an incoming stream is a link, not a query.
    pub(crate) async fn run(&mut self, first_frame: Option<Frame>) -> Result<(), CallError> {
        let facts = self.handler()?.initial_facts();
        let revision = self.handler()?.heartbeat().revision;
        self.send(&Message::Deltas(crate::Deltas { revision, facts })).await?;
        if let Some(frame) = first_frame {
            self.receive(frame).await?;
        }
        loop {
            match self.next_event().await? {
                Event::Received(None) => return Ok(()),
                Event::Received(Some(frame)) => self.receive(frame).await?,
                Event::Outgoing(message) => self.send(&message).await?,
                Event::DeadlineReached => self.on_deadline().await?,
            }
        }
    }

    async fn next_event(&mut self) -> Result<Event, CallError> {
        let wait = self.liveness.next_deadline().since(self.peers.clock.now());
        let timer = self.peers.clock.sleep(wait);
        let received = pin!(self.reader.next());
        let outgoing = self.outbox.next();
        let event = select(received, select(outgoing, timer)).await;
        Ok(match event {
            Either::Left((frame, _)) => Event::Received(frame?),
            Either::Right((Either::Left((Some(message), _)), _)) => Event::Outgoing(message),
            Either::Right((Either::Left((None, _)), _)) => {
                return Err(CallError::Broken("link was closed".into()));
            }
            Either::Right((Either::Right(((), _)), _)) => Event::DeadlineReached,
        })
    }

    /// Sends a heartbeat if it is time for one. Fails if the other node is silent.
    async fn on_deadline(&mut self) -> Result<(), CallError> {
        let now = self.peers.clock.now();
        let Liveness::SendsHeartbeats { next, sequence, unanswered } = &mut self.liveness else {
            return Err(CallError::Timeout);
        };
        if unanswered.is_some_and(|deadline| now >= deadline) {
            return Err(CallError::Timeout);
        }
        if now < *next {
            return Ok(());
        }
        *next = now + HEARTBEAT_INTERVAL;
        *sequence = sequence.wrapping_add(1);
        unanswered.get_or_insert(now + ANSWER_TIMEOUT);
        let sequence = *sequence;
        let heartbeat = Heartbeat { sequence, ..self.handler()?.heartbeat() };
        self.send(&Message::Heartbeat(heartbeat)).await
    }

    /// Handles a received frame.
    async fn receive(&mut self, frame: Frame) -> Result<(), CallError> {
        let handler = self.handler()?;
        let message = match frame.message {
            Ok(message) => message,
            Err(kind) => return self.send(&Message::Refused(kind)).await,
        };
        handler.count_bytes(message.kind(), Direction::Received, frame.bytes);
        match message {
            Message::Heartbeat(heartbeat) => {
                self.record_heartbeat(&heartbeat);
                let answer = Heartbeat { sequence: heartbeat.sequence, ..handler.heartbeat() };
                self.send(&Message::HeartbeatAnswer(answer)).await?;
                self.query_missing_state(&heartbeat).await
            }
            Message::HeartbeatAnswer(heartbeat) => {
                self.record_heartbeat(&heartbeat);
                self.query_missing_state(&heartbeat).await
            }
            Message::Deltas(deltas) => {
                let changes = handler.merge(deltas.facts);
                self.peers.forward(Some(self.id), changes);
                if handler.wants_config(deltas.revision) {
                    self.query_snapshot(SnapshotQuery { facts: false, config: true }).await?;
                }
                Ok(())
            }
            Message::Snapshot(Snapshot { facts, config }) => {
                if let Some(config) = config {
                    handler.apply_config(&config);
                }
                let changes = handler.merge(facts);
                self.peers.forward(Some(self.id), changes);
                Ok(())
            }
            Message::Refused(kind) => {
                tracing::debug!(kind, "peer refused a kind of message");
                Ok(())
            }
            query => match answer_query(&*handler, &query) {
                Some(answer) => self.send(&answer).await,
                None => Ok(()),
            },
        }
    }

    /// Handles a heartbeat or a heartbeat answer.
    fn record_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let now = self.peers.clock.now();
        self.peers.record_contact(&heartbeat.node);
        self.peer.get_or_insert_with(|| heartbeat.node.clone());
        match &mut self.liveness {
            Liveness::SendsHeartbeats { sequence, unanswered, .. }
                if *sequence == heartbeat.sequence =>
            {
                *unanswered = None;
            }
            Liveness::SendsHeartbeats { .. } => {}
            Liveness::AwaitsHeartbeats { until } => *until = now + SUSPECT_AFTER,
        }
        if let Some(handler) = self.peers.handler() {
            let changes = handler.on_heartbeat(heartbeat);
            self.peers.forward(None, changes);
        }
    }

    /// Queries the other node's facts if its heartbeat shows that they differ from this node's, and
    /// its configuration if this node wants it.
    async fn query_missing_state(&mut self, heartbeat: &Heartbeat) -> Result<(), CallError> {
        let handler = self.handler()?;
        let differs = heartbeat.digest != handler.heartbeat().digest;
        let now = self.peers.clock.now();
        let interval_over =
            self.last_facts_query.is_none_or(|last| now.since(last) >= SNAPSHOT_INTERVAL);
        let facts = differs && self.digests_differed && interval_over;
        self.digests_differed = differs;
        let config = handler.wants_config(heartbeat.revision);
        if facts {
            self.last_facts_query = Some(now);
        }
        if facts || config {
            self.query_snapshot(SnapshotQuery { facts, config }).await?;
        }
        Ok(())
    }

    async fn query_snapshot(&mut self, query: SnapshotQuery) -> Result<(), CallError> {
        self.send(&Message::SnapshotQuery(query)).await
    }

    async fn send(&mut self, message: &Message) -> Result<(), CallError> {
        let bytes = self.writer.send(&*self.peers.clock, message, false).await?;
        self.peers.count_bytes(message.kind(), Direction::Sent, bytes);
        Ok(())
    }

    fn handler(&self) -> Result<Rc<dyn PeerHandler>, CallError> {
        self.peers.handler().ok_or_else(|| CallError::Broken("node has ended".into()))
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.peers.unregister_link(self.id);
    }
}

impl Liveness {
    /// Time at which [`Link::on_deadline`] has to be called.
    fn next_deadline(&self) -> Timestamp {
        match self {
            Liveness::SendsHeartbeats { next, unanswered, .. } => {
                unanswered.map_or(*next, |deadline| deadline.min(*next))
            }
            Liveness::AwaitsHeartbeats { until } => *until,
        }
    }
}

/// Answers a query. Returns `None` if the message is not a query.
pub(crate) fn answer_query(handler: &dyn PeerHandler, query: &Message) -> Option<Message> {
    Some(match query {
        Message::SnapshotQuery(query) => Message::Snapshot(handler.snapshot(*query)),
        Message::ClaimQuery(claim) => Message::ClaimAnswer(handler.holder_status(claim)),
        Message::TraceQuery(request) => Message::TraceAnswer(handler.traces(request)),
        Message::StatusQuery => Message::StatusAnswer(handler.status()),
        _ => return None,
    })
}
