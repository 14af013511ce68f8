use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::Serialize;

use crate::{CallError, ResponseStream};

/// Largest event that a reader accepts, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

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

    /// Waits at most `limit` for the data of the next event; `None` is the end of the stream. Parts
    /// of an event do not extend the limit.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<Bytes>, CallError> {
        let deadline = self.response.deadline(limit);
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(CallError::Malformed("event exceeds its bound".into()));
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
            let block = self.buffer.split_to(end + 2).freeze();
            let block = block.slice(..end);
            if let Some(data) = block.strip_prefix(b"data: ".as_slice()) {
                return Some(block.slice_ref(data));
            }
        }
    }
}
