use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use clock::{Clock, Timestamp, timeout};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use crate::{CallError, client::Connection, idle::Pool};

/// A response whose body is read chunk by chunk.
pub struct ResponseStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) trailers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) is_first: bool,
    pub(crate) connection: Option<Connection>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) pool: Rc<Pool>,
}

impl ResponseStream {
    /// Status of the response.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Headers of the response.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Whether this is the first response on its connection. A later one may be an earlier response
    /// that the peer has sent once more.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Header fields that came after the body. Empty until the body has been read to its end.
    pub fn trailers(&self) -> &HeaderMap {
        &self.trailers
    }

    /// Size of the rest of the body in bytes, if the peer states it.
    pub fn stated_size(&self) -> Option<usize> {
        self.body.size_hint().exact().and_then(|size| usize::try_from(size).ok())
    }

    /// Waits at most `limit` for the next chunk of the body; `None` is the end of the body.
    pub async fn chunk(&mut self, limit: Duration) -> Result<Option<Bytes>, CallError> {
        loop {
            let frame = match timeout(&*self.clock, limit, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(CallError::Broken(error_text(&error))),
                Ok(None) => {
                    self.return_to_pool();
                    return Ok(None);
                }
                Err(_) => {
                    self.connection = None;
                    self.pool.clear();
                    return Err(CallError::Timeout);
                }
            };
            if let Some(connection) = &self.connection {
                connection.meter.record_delivery();
            }
            match frame.into_data() {
                Ok(data) => return Ok(Some(data)),
                Err(frame) => self.trailers.extend(frame.into_trailers().unwrap_or_default()),
            }
        }
    }

    /// Waits until `deadline` for the next chunk of the body.
    pub(crate) async fn chunk_until(
        &mut self,
        deadline: Timestamp,
    ) -> Result<Option<Bytes>, CallError> {
        let left = deadline.since(self.clock.now());
        self.chunk(left).await
    }

    /// The point in time `limit` from now.
    pub(crate) fn deadline(&self, limit: Duration) -> Timestamp {
        self.clock.now() + limit
    }

    /// Reads the whole body, at most `max_bytes`, within `limit`. The limit covers all chunks
    /// together, so that a peer that sends a few bytes at a time cannot extend it.
    pub async fn collect(mut self, max_bytes: usize, limit: Duration) -> Result<Bytes, CallError> {
        self.read_to_end(max_bytes, limit).await
    }

    /// Reads the rest of the body like [`collect`](Self::collect), and leaves the trailers to be
    /// read.
    pub async fn read_to_end(
        &mut self,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        let deadline = self.deadline(limit);
        let mut buffer = BytesMut::new();
        while let Some(chunk) = self.chunk_until(deadline).await? {
            buffer.extend_from_slice(&chunk);
            if buffer.len() > max_bytes {
                return Err(CallError::Malformed("body exceeds the size limit".into()));
            }
        }
        Ok(buffer.freeze())
    }

    fn return_to_pool(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection, self.clock.now());
        }
    }
}

pub(crate) fn error_text(error: &hyper::Error) -> String {
    use std::error::Error;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
