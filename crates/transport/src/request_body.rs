//! The body of a received request.

use std::{cell::Cell, fmt, future::poll_fn, pin::Pin, rc::Rc, task::Poll, time::Duration};

use bytes::Bytes;
use clock::{Clock, timeout};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming};
use serde::de::DeserializeOwned;
use types::MAX_BODY_BYTES;

use crate::{CallerMemory, Refusal, TurnLimit, held::FREE_BYTES, metered::InputMeter};

/// Time in which a client must send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Frames of a body that are handled in one turn of the task. A caller may send chunks of one byte,
/// of which a single read has more than a thousand.
const FRAMES_PER_TURN: u32 = 256;
/// Time for which the rest of a request is read and discarded after the response.
pub(crate) const DISCARD_TIME: Duration = Duration::from_secs(5);
/// Bytes of a request that are read and discarded after the response.
pub(crate) const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// The body of a received request. It is read on demand, with limits on its size and on the time.
pub struct RequestBody {
    source: BodySource,
    clock: Rc<dyn Clock>,
}

enum BodySource {
    Connection(Rc<UnreadBody>),
    Memory(Bytes),
}

/// The part of a body that was not read yet. The server shares it with the handler, so that it can
/// tell after the response whether the body is still arriving.
pub(crate) struct UnreadBody {
    incoming: Cell<Option<Incoming>>,
    meter: Rc<InputMeter>,
    memory: CallerMemory,
}

impl UnreadBody {
    /// Creates the body of a request. `meter` counts the bytes of its connection, and the body is
    /// held in `memory`.
    pub(crate) fn new(
        incoming: Incoming,
        meter: Rc<InputMeter>,
        memory: CallerMemory,
    ) -> Rc<UnreadBody> {
        Rc::new(UnreadBody { incoming: Cell::new(Some(incoming)), meter, memory })
    }

    /// Takes the body, unless it was read to its end or cannot be read any further.
    pub(crate) fn take(&self) -> Option<Incoming> {
        self.incoming.take().filter(|incoming| !incoming.is_end_stream())
    }

    /// Reads the body to its end. If it is too large, the rest can be taken afterwards.
    async fn collect(&self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let Some(incoming) = self.take() else { return Ok(Bytes::new()) };
        let stated = incoming.size_hint().exact().and_then(|size| usize::try_from(size).ok());
        let expected = stated.map_or(max_bytes, |size| size.min(max_bytes));
        let mut taken = TakenBody { unread: self, incoming: Some(incoming) };
        let _reading = self.memory.begin_body(expected);
        let mut buffer = self.memory.buffer(expected);
        if !buffer.reserve(expected.min(FREE_BYTES)).await {
            return Err(self.refuse());
        }
        let turn = TurnLimit::new(FRAMES_PER_TURN);
        while let Some(frame) = taken.next_frame().await? {
            turn.step().await;
            self.meter.record_delivery();
            let Ok(data) = frame.into_data() else { continue };
            if buffer.len() + data.len() > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
            if !buffer.reserve(data.len()).await {
                return Err(self.refuse());
            }
            buffer.extend(&data);
        }
        Ok(buffer.freeze())
    }

    fn refuse(&self) -> BodyError {
        self.memory.record_refused_body();
        BodyError::NoMemory
    }
}

/// Reads the rest of a body after the response, so that the connection can be used again: closing
/// it with unread bytes would reset it, and the reset may overtake the response. A body that takes
/// too long or is too large is dropped, which closes the connection.
pub(crate) async fn discard(mut rest: Incoming, meter: Rc<InputMeter>, clock: Rc<dyn Clock>) {
    let reading = async {
        let mut bytes = 0;
        let turn = TurnLimit::new(FRAMES_PER_TURN);
        while let Some(Ok(frame)) = rest.frame().await {
            turn.step().await;
            meter.record_delivery();
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    if timeout(&*clock, DISCARD_TIME, reading).await.is_err() {
        tracing::debug!("rest of a request's body did not arrive in time");
    }
}

/// A body that is being read. When it is dropped before the end, also because time is up, the rest
/// can be taken from `unread`.
struct TakenBody<'a> {
    unread: &'a UnreadBody,
    incoming: Option<Incoming>,
}

impl TakenBody<'_> {
    /// The next frame; `None` at the end of the body. There is no further frame after an error of
    /// the connection.
    async fn next_frame(&mut self) -> Result<Option<Frame<Bytes>>, BodyError> {
        let Some(incoming) = &mut self.incoming else { return Ok(None) };
        let activity = self.unread.memory.activity();
        let frame = poll_fn(|context| {
            match activity.and_then(|activity| activity.body_refusal()) {
                Some(Refusal::BodyTime) => return Poll::Ready(Err(BodyError::Timeout)),
                Some(_) => return Poll::Ready(Err(BodyError::NoMemory)),
                None => {}
            }
            Pin::new(&mut *incoming).poll_frame(context).map(Ok)
        });
        let frame = frame.await?;
        if !matches!(frame, Some(Ok(_))) {
            self.incoming = None;
        }
        frame.transpose().map_err(|error| BodyError::Broken(error.to_string()))
    }
}

impl Drop for TakenBody<'_> {
    fn drop(&mut self) {
        self.unread.incoming.set(self.incoming.take());
    }
}

impl RequestBody {
    /// Creates the body of a request that is received over a connection.
    pub(crate) fn from_connection(unread: Rc<UnreadBody>, clock: Rc<dyn Clock>) -> RequestBody {
        RequestBody { source: BodySource::Connection(unread), clock }
    }

    /// Creates a body from bytes in memory, for requests that were not received over a connection.
    pub fn from_bytes(bytes: Bytes, clock: Rc<dyn Clock>) -> RequestBody {
        RequestBody { source: BodySource::Memory(bytes), clock }
    }

    /// The memory from which the bytes that are held for the caller are taken.
    pub fn memory(&self) -> CallerMemory {
        match &self.source {
            BodySource::Connection(unread) => unread.memory.clone(),
            BodySource::Memory(_) => CallerMemory::default(),
        }
    }

    /// Reads the whole body. The error message is returned to the caller.
    pub async fn collect(self) -> Result<Bytes, String> {
        let body = self.collect_within(MAX_BODY_BYTES, BODY_TIMEOUT).await;
        body.map_err(|error| error.to_string())
    }

    /// Reads the whole body, at most `max_bytes`, within `limit`.
    pub async fn collect_within(
        self,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<Bytes, BodyError> {
        let unread = match self.source {
            BodySource::Memory(bytes) if bytes.len() > max_bytes => {
                return Err(BodyError::TooLarge(max_bytes));
            }
            BodySource::Memory(bytes) => return Ok(bytes),
            BodySource::Connection(unread) => unread,
        };
        let body = timeout(&*self.clock, limit, unread.collect(max_bytes)).await;
        body.unwrap_or(Err(BodyError::Timeout))
    }

    /// Reads the whole body and decodes it as JSON. The error message is returned to the caller.
    pub async fn json<T: DeserializeOwned>(self) -> Result<T, String> {
        let bytes = self.collect().await?;
        serde_json::from_slice(&bytes)
            .map_err(|error| format!("request body is not valid: {error}"))
    }
}

/// Why the body of a request cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than this limit, in bytes.
    TooLarge(usize),
    /// The connection failed, or the framing of the body is invalid.
    Broken(String),
    /// It did not arrive in time.
    Timeout,
    /// There is no memory for it.
    NoMemory,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge(max_bytes) => write!(f, "request body exceeds {max_bytes} bytes"),
            BodyError::Broken(cause) => write!(f, "request body cannot be read: {cause}"),
            BodyError::Timeout => f.write_str("request body did not arrive in time"),
            BodyError::NoMemory => f.write_str("there is no memory for the request body"),
        }
    }
}

impl std::error::Error for BodyError {}
