use std::{future::poll_fn, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use clock::{Clock, timeout};
use h2::{RecvStream, SendStream};
use serde::{Serialize, de::DeserializeOwned};
use transport::CallError;

use crate::{Kind, MAX_DELTA_FACTS, MAX_TRACES, Message};

/// Version of the protocol, sent with every message. It grows when the meaning of a kind changes.
pub const PROTOCOL_VERSION: u8 = 1;
/// Largest frame, in bytes. A snapshot of full tables with a configuration of 1 MB fits.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Flow-control window of a stream. A whole frame fits, so that two nodes that send each other a
/// large snapshot do not wait for each other.
pub(crate) const WINDOW_BYTES: u32 = 2 * MAX_FRAME_BYTES as u32;
/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;
/// Bytes of the version and the kind.
const HEAD_BYTES: usize = 2;
/// Header of the h2 frame that carries a message; it is counted as traffic.
const H2_HEADER_BYTES: usize = 9;
/// Time that a message has to be taken by the connection.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Facts in one snapshot.
const MAX_SNAPSHOT_FACTS: usize =
    fleet::MAX_MEMBERS + fleet::MAX_LEAVING_MARKS + fleet::MAX_CRASHES;

/// A received message.
pub(crate) struct Frame {
    /// The message, or the number of a kind that this release cannot read.
    pub(crate) message: Result<Message, u8>,
    pub(crate) bytes: usize,
}

/// Reads frames from a stream. Dropping a pending read loses nothing.
pub(crate) struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
}

/// Writes frames to a stream.
pub(crate) struct FrameWriter {
    stream: SendStream<Bytes>,
}

impl FrameReader {
    pub(crate) fn new(stream: RecvStream) -> FrameReader {
        FrameReader { stream, buffer: BytesMut::new() }
    }

    /// The next frame, or `None` if the other side has ended the stream.
    pub(crate) async fn next(&mut self) -> Result<Option<Frame>, CallError> {
        loop {
            if let Some(body) = self.take()? {
                let bytes = body.len() + LENGTH_BYTES + H2_HEADER_BYTES;
                return Ok(Some(Frame { message: decode(&body)?, bytes }));
            }
            let Some(data) = self.stream.data().await else {
                return if self.buffer.is_empty() { Ok(None) } else { Err(malformed("cut frame")) };
            };
            let data = data.map_err(broken)?;
            self.stream.flow_control().release_capacity(data.len()).map_err(broken)?;
            self.buffer.extend_from_slice(&data);
        }
    }

    fn take(&mut self) -> Result<Option<Bytes>, CallError> {
        if self.buffer.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let length = (&self.buffer[..LENGTH_BYTES]).get_u32() as usize;
        if !(HEAD_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(malformed("length of a frame is out of bounds"));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}

impl FrameWriter {
    pub(crate) fn new(stream: SendStream<Bytes>) -> FrameWriter {
        FrameWriter { stream }
    }

    /// Sends a message. Returns the number of bytes that it takes on the connection.
    pub(crate) async fn send(
        &mut self,
        clock: &dyn Clock,
        message: &Message,
        end: bool,
    ) -> Result<usize, CallError> {
        let frame = encode(message)?;
        let bytes = frame.len() + H2_HEADER_BYTES;
        let written = timeout(clock, WRITE_LIMIT, self.write(frame, end)).await;
        written.map_err(|_| CallError::Timeout)??;
        Ok(bytes)
    }

    /// Tells the other side that no more messages follow.
    pub(crate) fn end(&mut self) {
        // It fails only if the stream has ended already.
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    async fn write(&mut self, mut frame: Bytes, end: bool) -> Result<(), CallError> {
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let granted = poll_fn(|context| self.stream.poll_capacity(context)).await;
            let granted = granted.ok_or_else(|| CallError::Broken("stream ended".into()))?;
            let part = frame.split_to(granted.map_err(broken)?.min(frame.len()));
            let last = end && frame.is_empty();
            self.stream.send_data(part, last).map_err(broken)?;
        }
        Ok(())
    }
}

/// Encodes a message as a frame: length, protocol version, kind and payload.
pub fn encode(message: &Message) -> Result<Bytes, CallError> {
    let payload = match message {
        Message::Heartbeat(payload) | Message::HeartbeatAnswer(payload) => pack(payload),
        Message::Deltas(payload) => pack(payload),
        Message::SnapshotQuery(payload) => pack(payload),
        Message::Snapshot(payload) => pack(payload),
        Message::ClaimQuery(payload) => pack(payload),
        Message::ClaimAnswer(payload) => pack(payload),
        Message::TraceQuery(payload) => pack(payload),
        Message::TraceAnswer(payload) => pack(payload),
        Message::StatusQuery => Ok(Vec::new()),
        Message::StatusAnswer(payload) => pack(payload),
        Message::Refused(payload) => pack(payload),
    }?;
    let length = payload.len() + HEAD_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(malformed("message is too large"));
    }
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + length);
    frame.put_u32(length as u32);
    frame.put_u8(PROTOCOL_VERSION);
    frame.put_u8(message.kind() as u8);
    frame.put_slice(&payload);
    Ok(frame.freeze())
}

/// Decodes the part of a frame after its length. A kind that this release does not know, or a
/// payload of another protocol version that it cannot read, is returned as its number.
pub fn decode(body: &[u8]) -> Result<Result<Message, u8>, CallError> {
    let [version, number, payload @ ..] = body else { return Err(malformed("short frame")) };
    let Some(kind) = Kind::from_repr(*number) else { return Ok(Err(*number)) };
    match unpack_kind(kind, payload) {
        Ok(message) if is_bounded(&message) => Ok(Ok(message)),
        Ok(_) => Err(malformed("message has too many parts or too long names")),
        Err(_) if *version != PROTOCOL_VERSION => Ok(Err(*number)),
        Err(error) => Err(error),
    }
}

fn unpack_kind(kind: Kind, payload: &[u8]) -> Result<Message, CallError> {
    Ok(match kind {
        Kind::Heartbeat => Message::Heartbeat(unpack(payload)?),
        Kind::HeartbeatAnswer => Message::HeartbeatAnswer(unpack(payload)?),
        Kind::Deltas => Message::Deltas(unpack(payload)?),
        Kind::SnapshotQuery => Message::SnapshotQuery(unpack(payload)?),
        Kind::Snapshot => Message::Snapshot(unpack(payload)?),
        Kind::ClaimQuery => Message::ClaimQuery(unpack(payload)?),
        Kind::ClaimAnswer => Message::ClaimAnswer(unpack(payload)?),
        Kind::TraceQuery => Message::TraceQuery(unpack(payload)?),
        Kind::TraceAnswer => Message::TraceAnswer(unpack(payload)?),
        Kind::StatusQuery => Message::StatusQuery,
        Kind::StatusAnswer => Message::StatusAnswer(unpack(payload)?),
        Kind::Refused => Message::Refused(unpack(payload)?),
    })
}

fn is_bounded(message: &Message) -> bool {
    let all_bounded = |facts: &[fleet::Fact]| facts.iter().all(fleet::Fact::is_bounded);
    match message {
        Message::Heartbeat(heartbeat) | Message::HeartbeatAnswer(heartbeat) => {
            heartbeat.node.len() <= types::MAX_NAME_BYTES
        }
        Message::Deltas(deltas) => {
            deltas.facts.len() <= MAX_DELTA_FACTS && all_bounded(&deltas.facts)
        }
        Message::Snapshot(snapshot) => {
            snapshot.facts.len() <= MAX_SNAPSHOT_FACTS && all_bounded(&snapshot.facts)
        }
        Message::ClaimQuery(claim) => claim.node.len() <= types::MAX_NAME_BYTES,
        Message::TraceQuery(request) => request.len() <= types::MAX_HEADER_BYTES,
        Message::TraceAnswer(traces) => traces.len() <= MAX_TRACES,
        _ => true,
    }
}

fn pack(payload: &impl Serialize) -> Result<Vec<u8>, CallError> {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(payload, config).map_err(malformed)
}

fn unpack<T: DeserializeOwned>(payload: &[u8]) -> Result<T, CallError> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let decoded = bincode::serde::decode_from_slice(payload, config);
    // Bytes that follow are fields that a later release has added.
    decoded.map(|(payload, _)| payload).map_err(malformed)
}

pub(crate) fn broken(error: h2::Error) -> CallError {
    CallError::Broken(error.to_string())
}

fn malformed(cause: impl ToString) -> CallError {
    CallError::Malformed(cause.to_string())
}
