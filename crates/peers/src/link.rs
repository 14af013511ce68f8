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

/// Interval of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time that the other side has to answer a heartbeat before the connection counts as silent.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Silence after which a node is suspect: three heartbeats.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(6);
/// Shortest time between two snapshots of facts that one link asks for. Digests differ for a
/// moment whenever deltas are on their way.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(10);

/// One end of a link.
pub(crate) struct Link {
    peers: Rc<Peers>,
    id: LinkId,
    reader: FrameReader,
    writer: FrameWriter,
    outbox: mpsc::Receiver<Message>,
    pulse: Pulse,
    peer: Option<NodeName>,
    /// Whether the digests differed at the last heartbeat. The first one always counts, because
    /// nothing is on its way then.
    differed: bool,
    last_pull: Option<Timestamp>,
}

/// How a link notices that the other side is silent.
enum Pulse {
    /// The end that has opened the connection sends heartbeats and waits for answers.
    Sends { next: Timestamp, sequence: u32, unanswered: Option<Timestamp> },
    /// The other end waits for heartbeats.
    Waits { until: Timestamp },
}

enum Event {
    Received(Option<Frame>),
    Outgoing(Message),
    Due,
}

impl Link {
    pub(crate) fn opened(
        peers: Rc<Peers>,
        peer: NodeName,
        reader: FrameReader,
        writer: FrameWriter,
    ) -> Link {
        let next = peers.clock.now();
        let pulse = Pulse::Sends { next, sequence: 0, unanswered: None };
        Link::new(peers, Some(peer), reader, writer, pulse)
    }

    pub(crate) fn accepted(peers: Rc<Peers>, reader: FrameReader, writer: FrameWriter) -> Link {
        let until = peers.clock.now() + SUSPECT_AFTER;
        Link::new(peers, None, reader, writer, Pulse::Waits { until })
    }

    fn new(
        peers: Rc<Peers>,
        peer: Option<NodeName>,
        reader: FrameReader,
        writer: FrameWriter,
        pulse: Pulse,
    ) -> Link {
        let (id, outbox) = peers.open_link();
        let differed = true;
        Link { peers, id, reader, writer, outbox, pulse, peer, differed, last_pull: None }
    }

    /// The node at the other end, once it is known.
    pub(crate) fn peer(&self) -> Option<&NodeName> {
        self.peer.as_ref()
    }

    /// Tells the other end that the link is closed on purpose.
    pub(crate) fn end(&mut self) {
        self.writer.end();
    }

    /// Handles messages until the other side ends the link or falls silent. `first` was received
    /// before the link was recognised as one.
    pub(crate) async fn run(&mut self, first: Option<Frame>) -> Result<(), CallError> {
        let facts = self.handler()?.initial_facts();
        let revision = self.handler()?.heartbeat().revision;
        self.send(&Message::Deltas(crate::Deltas { revision, facts })).await?;
        if let Some(frame) = first {
            self.receive(frame).await?;
        }
        loop {
            match self.next_event().await? {
                Event::Received(None) => return Ok(()),
                Event::Received(Some(frame)) => self.receive(frame).await?,
                Event::Outgoing(message) => self.send(&message).await?,
                Event::Due => self.beat().await?,
            }
        }
    }

    async fn next_event(&mut self) -> Result<Event, CallError> {
        let wait = self.pulse.due().since(self.peers.clock.now());
        let due = self.peers.clock.sleep(wait);
        let received = pin!(self.reader.next());
        let outgoing = self.outbox.next();
        let event = select(received, select(outgoing, due)).await;
        Ok(match event {
            Either::Left((frame, _)) => Event::Received(frame?),
            Either::Right((Either::Left((Some(message), _)), _)) => Event::Outgoing(message),
            Either::Right((Either::Left((None, _)), _)) => {
                return Err(CallError::Broken("link was closed".into()));
            }
            Either::Right((Either::Right(((), _)), _)) => Event::Due,
        })
    }

    /// Sends a heartbeat, or finds that the other side is silent.
    async fn beat(&mut self) -> Result<(), CallError> {
        let now = self.peers.clock.now();
        let Pulse::Sends { next, sequence, unanswered } = &mut self.pulse else {
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
        unanswered.get_or_insert(now + ANSWER_LIMIT);
        let sequence = *sequence;
        let heartbeat = Heartbeat { sequence, ..self.handler()?.heartbeat() };
        self.send(&Message::Heartbeat(heartbeat)).await
    }

    async fn receive(&mut self, frame: Frame) -> Result<(), CallError> {
        let handler = self.handler()?;
        let message = match frame.message {
            Ok(message) => message,
            Err(kind) => return self.send(&Message::Refused(kind)).await,
        };
        handler.count_bytes(message.kind(), Direction::Received, frame.bytes);
        match message {
            Message::Heartbeat(heartbeat) => {
                self.take_heartbeat(&heartbeat);
                let answer = Heartbeat { sequence: heartbeat.sequence, ..handler.heartbeat() };
                self.send(&Message::HeartbeatAnswer(answer)).await?;
                self.compare(&heartbeat).await
            }
            Message::HeartbeatAnswer(heartbeat) => {
                self.take_heartbeat(&heartbeat);
                self.compare(&heartbeat).await
            }
            Message::Deltas(deltas) => {
                let changes = handler.merge(deltas.facts);
                self.peers.forward(Some(self.id), changes);
                if handler.wants_config(deltas.revision) {
                    self.pull(SnapshotQuery { facts: false, config: true }).await?;
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
                tracing::debug!(kind, "peer does not know a kind of message");
                Ok(())
            }
            question => match answer(&*handler, &question) {
                Some(answer) => self.send(&answer).await,
                None => Ok(()),
            },
        }
    }

    fn take_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let now = self.peers.clock.now();
        self.peers.record_contact(&heartbeat.node);
        self.peer.get_or_insert_with(|| heartbeat.node.clone());
        match &mut self.pulse {
            Pulse::Sends { sequence, unanswered, .. } if *sequence == heartbeat.sequence => {
                *unanswered = None;
            }
            Pulse::Sends { .. } => {}
            Pulse::Waits { until } => *until = now + SUSPECT_AFTER,
        }
        if let Some(handler) = self.peers.handler() {
            let changes = handler.on_heartbeat(heartbeat);
            self.peers.forward(None, changes);
        }
    }

    /// Asks for what the other side has and this node has not.
    async fn compare(&mut self, heartbeat: &Heartbeat) -> Result<(), CallError> {
        let handler = self.handler()?;
        let differs = heartbeat.digest != handler.heartbeat().digest;
        let now = self.peers.clock.now();
        let rested = self.last_pull.is_none_or(|last| now.since(last) >= SNAPSHOT_INTERVAL);
        let facts = differs && self.differed && rested;
        self.differed = differs;
        let config = handler.wants_config(heartbeat.revision);
        if facts {
            self.last_pull = Some(now);
        }
        if facts || config {
            self.pull(SnapshotQuery { facts, config }).await?;
        }
        Ok(())
    }

    async fn pull(&mut self, query: SnapshotQuery) -> Result<(), CallError> {
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
        self.peers.close_link(self.id);
    }
}

impl Pulse {
    fn due(&self) -> Timestamp {
        match self {
            Pulse::Sends { next, unanswered, .. } => {
                unanswered.map_or(*next, |deadline| deadline.min(*next))
            }
            Pulse::Waits { until } => *until,
        }
    }
}

/// Answers a question. Messages that are no questions get no answer.
pub(crate) fn answer(handler: &dyn PeerHandler, question: &Message) -> Option<Message> {
    Some(match question {
        Message::SnapshotQuery(query) => Message::Snapshot(handler.snapshot(*query)),
        Message::ClaimQuery(claim) => Message::ClaimAnswer(handler.holder_status(claim)),
        Message::TraceQuery(request) => Message::TraceAnswer(handler.traces(request)),
        Message::StatusQuery => Message::StatusAnswer(handler.status()),
        _ => return None,
    })
}
