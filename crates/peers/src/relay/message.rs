use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use h2::RecvStream;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use transport::CallError;
use types::{Digest, FailureKind, Organisation, RequestId, ServiceName, UpstreamName, Verdict};

use super::MAX_FRAME_BYTES;
use crate::frame::broken;

/// Size of the length field before each frame.
const LENGTH_BYTES: usize = 4;

/// A process of an upstream to which a request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryProcess {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Address of its API.
    pub addr: SocketAddr,
}

/// A request that another node is to run. The sender has checked its key, its size and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Identifier that the caller has chosen.
    pub id: RequestId,
    /// Host name by which its route is found.
    pub host: Arc<str>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: Arc<str>,
    /// Headers to forward unchanged.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Bytes,
    /// Service that was drawn for it.
    pub service: ServiceName,
    /// Organisation of the caller.
    pub organisation: Option<Organisation>,
    /// Priority of the organisation or the route.
    pub priority: u32,
    /// Tokens of KV cache to reserve on each engine.
    pub tokens: u32,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Parts of the prompt that other requests may have as well.
    pub shared_parts: Vec<Digest>,
    /// Number of the last event that the caller already has.
    pub resume_after: Option<u64>,
    /// Time until the request is given up.
    pub time_left: Duration,
    /// Time until its latest start that still meets its latency target.
    pub start_left: Duration,
    /// Entry upstreams that may have run it, which it may use again.
    pub used_entries: Vec<EntryProcess>,
    /// Number of entry upstreams that may run it beside these.
    pub new_entries: u32,
}

/// The first frame of a response to a relayed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayReply {
    /// An upstream answers; the body follows.
    Head(RelayHead),
    /// The request was given up.
    Failed(RelayFailure),
    /// The receiver cannot run it now: it has no links to the upstreams either, is stopping, or has
    /// another configuration. Nothing was sent.
    Unable,
}

/// Head of an upstream's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The entry upstreams that may have run the request at this node.
    pub entries: Vec<EntryProcess>,
}

/// Why a relayed request was given up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayFailure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Message for the caller.
    pub message: String,
    /// HTTP status, if it does not follow from the kind and the verdict.
    pub status: Option<u16>,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// The entry upstreams that may have run the request at this node.
    pub entries: Vec<EntryProcess>,
}

/// Headers as pairs of name and value.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), value.as_bytes().to_vec())
    };
    headers.iter().map(pair).collect()
}

/// Headers from pairs of name and value; those that are not valid are left out.
pub(crate) fn decode_headers(pairs: &[(String, Vec<u8>)]) -> HeaderMap {
    let decode = |(name, value): &(String, Vec<u8>)| {
        Some((HeaderName::try_from(name).ok()?, HeaderValue::try_from(value.as_slice()).ok()?))
    };
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs.iter().filter_map(decode) {
        headers.append(name, value);
    }
    headers
}

impl RelayRequest {
    /// The headers to forward.
    pub fn header_map(&self) -> HeaderMap {
        decode_headers(&self.headers)
    }

    /// Headers as they are sent.
    pub fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
        encode_headers(headers)
    }
}

impl RelayHead {
    /// The headers to forward.
    pub fn header_map(&self) -> HeaderMap {
        decode_headers(&self.headers)
    }

    /// Creates the head of a response.
    pub fn new(status: u16, headers: &HeaderMap, entries: Vec<EntryProcess>) -> RelayHead {
        RelayHead { status, headers: encode_headers(headers), entries }
    }
}

/// Encodes a message as a frame: its length and its fields.
pub(super) fn encode(message: &impl Serialize) -> Result<Bytes, CallError> {
    let config = bincode::config::standard();
    let payload = bincode::serde::encode_to_vec(message, config).map_err(malformed)?;
    if payload.len() > MAX_FRAME_BYTES {
        return Err(malformed("message is too large"));
    }
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + payload.len());
    frame.put_u32(payload.len() as u32);
    frame.put_slice(&payload);
    Ok(frame.freeze())
}

/// Reads the frame at the start of a stream. Returns the message and the bytes behind it.
pub(super) async fn read_frame<T: DeserializeOwned>(
    stream: &mut RecvStream,
) -> Result<(T, Bytes), CallError> {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(message) = take_frame(&mut buffer)? {
            return Ok((message, buffer.freeze()));
        }
        let data = stream.data().await;
        let data = data.ok_or_else(|| CallError::Broken("stream ended in a frame".into()))?;
        let data = data.map_err(broken)?;
        stream.flow_control().release_capacity(data.len()).map_err(broken)?;
        buffer.extend_from_slice(&data);
    }
}

/// Takes the frame at the start of the buffer; `None` if it is not complete.
fn take_frame<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, CallError> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(malformed("length of a frame is out of bounds"));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    let frame = buffer.split_to(LENGTH_BYTES + length);
    let config = bincode::config::standard().with_limit::<{ 16 * MAX_FRAME_BYTES }>();
    let decoded = bincode::serde::decode_from_slice(&frame[LENGTH_BYTES..], config);
    decoded.map(|(message, _)| Some(message)).map_err(malformed)
}

fn malformed(cause: impl ToString) -> CallError {
    CallError::Malformed(cause.to_string())
}
