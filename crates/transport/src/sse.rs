use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::Serialize;

use crate::{CallError, ResponseStream};

/// Maximum size of an event that is decoded, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size of an event that is forwarded, in bytes. A stream whose bytes never end an event is
/// given up before it takes much memory or time.
const MAX_FORWARDED_BYTES: usize = 64 << 10;

/// Encodes one server-sent event with `payload` as JSON data.
pub fn encode_event(payload: &impl Serialize) -> Bytes {
    let mut event = b"data: ".to_vec();
    // Serialization fails only for maps with keys that are not strings, which no event has.
    serde_json::to_writer(&mut event, payload).expect("event is serializable");
    event.extend_from_slice(b"\n\n");
    Bytes::from(event)
}

/// Reads the events of a server-sent event stream.
pub struct EventReader {
    response: ResponseStream,
    buffer: BytesMut,
}

impl EventReader {
    /// Creates a reader of the events in a response.
    pub fn new(response: ResponseStream) -> EventReader {
        EventReader { response, buffer: BytesMut::new() }
    }

    /// Waits at most `limit` for the data of the next event; `None` is the end of the stream.
    /// Receiving a part of an event does not extend the limit.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<Bytes>, CallError> {
        let deadline = self.response.deadline(limit);
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(CallError::Malformed("event exceeds the size limit".into()));
            }
            match self.response.chunk_until(deadline).await? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(CallError::Broken("stream ended inside an event".into())),
            }
        }
    }

    fn take_event(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
            let event = self.buffer.split_to(end + 2).freeze();
            let event = event.slice(..end);
            if let Some(data) = event.strip_prefix(b"data: ".as_slice()) {
                return Some(event.slice_ref(data));
            }
        }
    }
}

/// Splits a stream into complete events, without changing their bytes, and parses their numbers.
#[derive(Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

/// Consecutive complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The events as they were received.
    pub bytes: Bytes,
    /// The number in the `id` field of each event, in order; `None` for an event without a number.
    pub numbers: Vec<Option<u64>>,
}

impl EventSplitter {
    /// Adds a chunk of the stream and returns the events that are complete now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<Events>, CallError> {
        self.buffer.extend_from_slice(chunk);
        let mut end = 0;
        let mut numbers = Vec::new();
        while let Some(length) = event_length(&self.buffer[end..]) {
            numbers.push(event_number(&self.buffer[end..end + length]));
            end += length;
        }
        if self.buffer.len() - end > MAX_FORWARDED_BYTES {
            return Err(CallError::Malformed("event exceeds the size limit".into()));
        }
        if end == 0 {
            return Ok(None);
        }
        Ok(Some(Events { bytes: self.buffer.split_to(end).freeze(), numbers }))
    }

    /// Whether all bytes so far belong to complete events, so that the stream may end here.
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Length of the first event with the blank line that ends it, if it is complete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let lf_length = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf_length = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (lf_length, crlf_length) {
        (Some(lf_length), Some(crlf_length)) => Some(lf_length.min(crlf_length)),
        (only, other) => only.or(other),
    }
}

fn event_number(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
