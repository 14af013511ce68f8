use std::{future::poll_fn, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use clock::{Clock, timeout};
use h2::{RecvStream, SendStream};
use serde::{Serialize, de::DeserializeOwned};
use transport::CallError;

use crate::{Kind, MAX_DELTA_FACTS, MAX_TRACES, Message};

/// Version of the protocol, sent with each message. It is incremented when the meaning of a kind of
/// message changes.
pub const PROTOCOL_VERSION: u8 = 2;
/// Largest frame, in bytes. A snapshot of a full table of facts and a configuration of 1 MB fits
/// into one frame.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Flow-control window of a connection and of its streams. A whole frame fits into the window, so
/// that two nodes that send each other large snapshots at the same time cannot block each other.
pub(crate) const WINDOW_BYTES: u32 = 2 * MAX_FRAME_BYTES as u32;
/// Size of the length field before each frame. The length does not include the field itself.
const LENGTH_BYTES: usize = 4;
/// Size of a frame's header: the protocol version and the kind of the message.
const HEADER_BYTES: usize = 2;
/// Size of the header of an HTTP/2 DATA frame. One is counted as traffic with each message.
const H2_HEADER_BYTES: usize = 9;
/// Longest time that flow control may delay the sending of a message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of facts in one snapshot: those of a full table.
const MAX_SNAPSHOT_FACTS: usize =
    fleet::MAX_MEMBERS + fleet::MAX_LEAVING_MARKS + 2 * fleet::MAX_CRASHES;

/// A received message.
pub(crate) struct Frame {
    /// The message, or the number of its kind if this release cannot read it.
    pub(crate) message: Result<Message, u8>,
    /// Size on the connection.
    pub(crate) bytes: usize,
}

/// Reads frames from a stream. If a pending read is dropped, the next one continues where it
/// stopped.
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

    /// Reads the next frame. Returns `None` if the other node has ended the stream.
    pub(crate) async fn next(&mut self) -> Result<Option<Frame>, CallError> {
        loop {
            if let Some(body) = self.take_frame()? {
                let bytes = body.len() + LENGTH_BYTES + H2_HEADER_BYTES;
                return Ok(Some(Frame { message: decode(&body)?, bytes }));
            }
            let Some(data) = self.stream.data().await else {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(malformed("stream ended within a frame"))
                };
            };
            let data = data.map_err(broken)?;
            self.stream.flow_control().release_capacity(data.len()).map_err(broken)?;
            self.buffer.extend_from_slice(&data);
        }
    }

    /// Takes a frame, without its length field, from the buffer. Returns `None` if the buffer does
    /// not hold a whole frame yet.
    fn take_frame(&mut self) -> Result<Option<Bytes>, CallError> {
        if self.buffer.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let length = (&self.buffer[..LENGTH_BYTES]).get_u32() as usize;
        if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
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

    /// Sends a message and, if it `is_last`, ends the stream. Returns its size on the connection.
    pub(crate) async fn send(
        &mut self,
        clock: &dyn Clock,
        message: &Message,
        is_last: bool,
    ) -> Result<usize, CallError> {
        let frame = encode(message)?;
        let bytes = frame.len() + H2_HEADER_BYTES;
        let written = timeout(clock, WRITE_TIMEOUT, self.write(frame, is_last)).await;
        written.map_err(|_| CallError::Timeout)??;
        Ok(bytes)
    }

    /// Tells the other node that no more messages follow.
    pub(crate) fn end_stream(&mut self) {
        // This fails only if the stream has ended already.
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    async fn write(&mut self, mut frame: Bytes, is_last: bool) -> Result<(), CallError> {
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let capacity = poll_fn(|context| self.stream.poll_capacity(context)).await;
            let capacity = capacity.ok_or_else(|| CallError::Broken("stream ended".into()))?;
            let part = frame.split_to(capacity.map_err(broken)?.min(frame.len()));
            let ends_stream = is_last && frame.is_empty();
            self.stream.send_data(part, ends_stream).map_err(broken)?;
        }
        Ok(())
    }
}

/// Encodes a message as a frame: length, protocol version, kind and payload.
pub fn encode(message: &Message) -> Result<Bytes, CallError> {
    let payload = match message {
        Message::Heartbeat(payload) | Message::HeartbeatAnswer(payload) => encode_payload(payload),
        Message::Deltas(payload) => encode_payload(payload),
        Message::SnapshotQuery(payload) => encode_payload(payload),
        Message::Snapshot(payload) => encode_payload(payload),
        Message::ClaimQuery(payload) => encode_payload(payload),
        Message::ClaimAnswer(payload) => encode_payload(payload),
        Message::TraceQuery(payload) => encode_payload(payload),
        Message::TraceAnswer(payload) => encode_payload(payload),
        Message::StatusQuery => Ok(Vec::new()),
        Message::StatusAnswer(payload) => encode_payload(payload),
        Message::Refused(payload) => encode_payload(payload),
    }?;
    let length = payload.len() + HEADER_BYTES;
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

/// Decodes a frame without its length field. Returns the number of the message's kind as the inner
/// error if this release does not know the kind, or if the message is of another protocol version
/// and its payload cannot be decoded.
pub fn decode(body: &[u8]) -> Result<Result<Message, u8>, CallError> {
    let [version, number, payload @ ..] = body else { return Err(malformed("frame is too short")) };
    let Some(kind) = Kind::from_repr(*number) else { return Ok(Err(*number)) };
    match decode_message(kind, payload) {
        Ok(message) if is_bounded(&message) => Ok(Ok(message)),
        Ok(_) => Err(malformed("message has too many elements or too long names")),
        Err(_) if *version != PROTOCOL_VERSION => Ok(Err(*number)),
        Err(error) => Err(error),
    }
}

fn decode_message(kind: Kind, payload: &[u8]) -> Result<Message, CallError> {
    Ok(match kind {
        Kind::Heartbeat => Message::Heartbeat(decode_payload(payload)?),
        Kind::HeartbeatAnswer => Message::HeartbeatAnswer(decode_payload(payload)?),
        Kind::Deltas => Message::Deltas(decode_payload(payload)?),
        Kind::SnapshotQuery => Message::SnapshotQuery(decode_payload(payload)?),
        Kind::Snapshot => Message::Snapshot(decode_payload(payload)?),
        Kind::ClaimQuery => Message::ClaimQuery(decode_payload(payload)?),
        Kind::ClaimAnswer => Message::ClaimAnswer(decode_payload(payload)?),
        Kind::TraceQuery => Message::TraceQuery(decode_payload(payload)?),
        Kind::TraceAnswer => Message::TraceAnswer(decode_payload(payload)?),
        Kind::StatusQuery => Message::StatusQuery,
        Kind::StatusAnswer => Message::StatusAnswer(decode_payload(payload)?),
        Kind::Refused => Message::Refused(decode_payload(payload)?),
    })
}

/// Whether a received message keeps the bounds on the number of its elements and the length of its
/// names.
fn is_bounded(message: &Message) -> bool {
    let all_bounded = |facts: &[fleet::Fact]| facts.iter().all(fleet::Fact::has_valid_name_lengths);
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

fn encode_payload(payload: &impl Serialize) -> Result<Vec<u8>, CallError> {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(payload, config).map_err(malformed)
}

fn decode_payload<T: DeserializeOwned>(payload: &[u8]) -> Result<T, CallError> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let decoded = bincode::serde::decode_from_slice(payload, config);
    // Bytes after the known fields are ignored: a later release may have added fields.
    decoded.map(|(payload, _)| payload).map_err(malformed)
}

pub(crate) fn broken(error: h2::Error) -> CallError {
    CallError::Broken(error.to_string())
}

fn malformed(cause: impl ToString) -> CallError {
    CallError::Malformed(cause.to_string())
}
