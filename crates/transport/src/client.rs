use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use clock::{Clock, timeout};
use http::{HeaderMap, Method, Request, header};
use hyper::client::conn::http1::{self, SendRequest};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    Body, CallError, IdleLimit, ResponseStream, connect,
    connect::checked_http_stream,
    idle::Pool,
    metered::InputMeter,
    request_progress::{RequestProgress, TrackedBody, TrackedIo},
    response::error_text,
    write_timeout::WriteTimeout,
};

/// Time after which an idle connection is no longer used, because a device on the way, such as a
/// NAT or firewall, may have dropped its state.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Maximum size of a JSON response, in bytes.
const MAX_JSON_BYTES: usize = 4 << 20;

/// Time limits of one call.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time from sending the request to receiving the status and headers of the response, and from
    /// there to the end of its whole body. Only in a stream is it the time between two events.
    pub progress: Duration,
}

impl Timeouts {
    /// Creates time limits from milliseconds.
    pub const fn from_millis(connect: u64, progress: u64) -> Timeouts {
        Timeouts {
            connect: Duration::from_millis(connect),
            progress: Duration::from_millis(progress),
        }
    }
}

/// HTTP/1.1 client for one peer. It keeps idle connections for reuse, and closes all of them when a
/// request gets no response in time.
pub struct HttpClient {
    clock: Rc<dyn Clock>,
    addr: SocketAddr,
    pool: Rc<Pool>,
}

/// An open connection to the peer.
pub(crate) struct Connection {
    sender: SendRequest<TrackedBody>,
    progress: Rc<RequestProgress>,
    pub(crate) meter: Rc<InputMeter>,
}

impl HttpClient {
    /// Creates a client for the peer at `addr`.
    pub fn new(clock: Rc<dyn Clock>, addr: SocketAddr) -> HttpClient {
        HttpClient { clock, addr, pool: Rc::default() }
    }

    /// Shares a limit on idle connections with other clients.
    pub fn idle_limit(mut self, limit: Rc<IdleLimit>) -> HttpClient {
        self.pool = Rc::new(Pool::with_limit(limit));
        self
    }

    /// Address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request over an idle or a new connection. If an idle connection turns out to be
    /// closed before any byte of the request was written, another connection is used.
    pub async fn send(
        &self,
        request: Request<Body>,
        timeouts: Timeouts,
    ) -> Result<ResponseStream, CallError> {
        let mut request = request;
        while let Some(connection) = self.take_idle() {
            match self.dispatch(connection, request, timeouts).await {
                Ok(response) => return Ok(ResponseStream { is_first: false, ..response }),
                Err(DispatchError::Unsent(unsent)) => request = *unsent,
                Err(DispatchError::Failed(error)) => return Err(error),
            }
        }
        self.send_on_new_connection(request, timeouts).await
    }

    /// Sends a request over a new connection, so that a failure to connect proves that the request
    /// was not sent.
    pub async fn send_on_new_connection(
        &self,
        request: Request<Body>,
        timeouts: Timeouts,
    ) -> Result<ResponseStream, CallError> {
        let connection = self.open(timeouts.connect).await?;
        match self.dispatch(connection, request, timeouts).await {
            Ok(response) => Ok(response),
            Err(DispatchError::Unsent(_)) => {
                Err(CallError::Connect("connection closed before the request was sent".into()))
            }
            Err(DispatchError::Failed(error)) => Err(error),
        }
    }

    /// Opens a new connection, then sends `payload` as JSON if `guard` returns `true`, and decodes
    /// the JSON response. `guard` is checked after the connection is open because opening it may
    /// take long.
    pub async fn post_json_guarded<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        payload: &Q,
        timeouts: Timeouts,
        guard: &dyn Fn() -> bool,
    ) -> Result<A, CallError> {
        let connection = self.open(timeouts.connect).await?;
        if !guard() {
            return Err(CallError::Connect(
                "the sender is no longer allowed to send the request".into(),
            ));
        }
        let request = json_request(Method::POST, path, Some(payload));
        match self.dispatch(connection, request, timeouts).await {
            Ok(response) => decode(response, timeouts).await,
            Err(DispatchError::Unsent(_)) => {
                Err(CallError::Connect("connection closed before the request was sent".into()))
            }
            Err(DispatchError::Failed(error)) => Err(error),
        }
    }

    /// Sends `payload` as JSON and decodes the JSON response if the status is a success.
    pub async fn post_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        payload: &Q,
        timeouts: Timeouts,
    ) -> Result<A, CallError> {
        self.call_json(Method::POST, path, Some(payload), timeouts).await
    }

    /// Fetches `path` and decodes the JSON response if the status is a success.
    pub async fn get_json<A: DeserializeOwned>(
        &self,
        path: &str,
        timeouts: Timeouts,
    ) -> Result<A, CallError> {
        self.call_json(Method::GET, path, None::<&()>, timeouts).await
    }

    /// Sends a request without a body, and checks that the status of the response is a success.
    pub async fn call_status(
        &self,
        method: Method,
        path: &str,
        timeouts: Timeouts,
    ) -> Result<(), CallError> {
        let response = self.send(json_request(method, path, None::<&()>), timeouts).await?;
        read_success(response, timeouts).await.map(drop)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.pool.clear();
    }

    async fn call_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        payload: Option<&Q>,
        timeouts: Timeouts,
    ) -> Result<A, CallError> {
        let request = json_request(method, path, payload);
        let response = self.send(request, timeouts).await?;
        decode(response, timeouts).await
    }

    /// Checks whether the peer accepts connections: opens one and closes it again.
    pub async fn probe(&self, limit: Duration) -> Result<(), CallError> {
        connect(&*self.clock, self.addr, limit).await.map(drop)
    }

    async fn open(&self, limit: Duration) -> Result<Connection, CallError> {
        let stream = connect(&*self.clock, self.addr, limit).await?;
        let meter = Rc::new(InputMeter::default());
        let progress = Rc::new(RequestProgress::default());
        let io = checked_http_stream(stream, &meter, &progress);
        let io = TrackedIo::new(io, progress.clone());
        let io = WriteTimeout::new(self.clock.clone(), io);
        let handshake = http1::handshake(io);
        let (sender, connection) = timeout(&*self.clock, limit, handshake)
            .await
            .map_err(|_| CallError::ConnectTimeout)?
            .map_err(|error| CallError::Connect(error.to_string()))?;
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection ended with an error");
            }
        })
        .detach();
        Ok(Connection { sender, progress, meter })
    }

    async fn dispatch(
        &self,
        mut connection: Connection,
        request: Request<Body>,
        timeouts: Timeouts,
    ) -> Result<ResponseStream, DispatchError> {
        let mut pending = PendingRequest { pool: &self.pool, answered: false };
        let mut request = request.map(|body| connection.progress.track(body));
        connection.meter.watch_interim_responses(&mut request);
        let sending = connection.sender.try_send_request(request);
        let head = timeout(&*self.clock, timeouts.progress, sending).await;
        pending.answered = head.is_ok();
        match head {
            Ok(Ok(response)) => {
                connection.meter.record_delivery();
                let (head, body) = response.into_parts();
                Ok(ResponseStream {
                    status: head.status,
                    headers: head.headers,
                    trailers: HeaderMap::new(),
                    body,
                    is_first: true,
                    connection: Some(connection),
                    clock: self.clock.clone(),
                    pool: self.pool.clone(),
                })
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) => {
                    Err(DispatchError::Unsent(Box::new(unsent.map(TrackedBody::into_inner))))
                }
                None => {
                    Err(DispatchError::Failed(CallError::Broken(error_text(&error.into_error()))))
                }
            },
            Err(_) => Err(DispatchError::Failed(CallError::Timeout)),
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = self.clock.now();
        while let Some(candidate) = self.pool.take() {
            let fresh = now.since(candidate.since) < MAX_IDLE_AGE;
            if fresh && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }
}

/// A request that waits for the status and headers of its response. If the wait ends without them,
/// also because the caller's deadline passed and the future was dropped, the peer may be
/// unreachable over the idle connections too, so they are closed.
struct PendingRequest<'a> {
    pool: &'a Pool,
    answered: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.pool.clear();
        }
    }
}

enum DispatchError {
    Unsent(Box<Request<Body>>),
    Failed(CallError),
}

/// Decodes a JSON response if the status is a success.
async fn decode<A: DeserializeOwned>(
    response: ResponseStream,
    timeouts: Timeouts,
) -> Result<A, CallError> {
    let body = read_success(response, timeouts).await?;
    serde_json::from_slice(&body).map_err(|error| CallError::Malformed(error.to_string()))
}

/// Reads the body of a response. A status that is not a success is an error with the body as its
/// text.
async fn read_success(response: ResponseStream, timeouts: Timeouts) -> Result<Bytes, CallError> {
    let status = response.status();
    let body = response.collect(MAX_JSON_BYTES, timeouts.progress).await?;
    if status.is_success() {
        return Ok(body);
    }
    Err(CallError::Status(status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

fn json_request(method: Method, path: &str, payload: Option<&impl Serialize>) -> Request<Body> {
    let body = match payload {
        // Serialization fails only for maps with keys that are not strings, which no message has.
        Some(payload) => Body::from(serde_json::to_vec(payload).expect("message is serializable")),
        None => Body::empty(),
    };
    Request::builder()
        .method(method)
        .uri(path)
        // Fixed placeholder: HTTP/1.1 requires the header, and the peer is known by its address.
        .header(header::HOST, "gypsumrack")
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .expect("path is a valid URI")
}
