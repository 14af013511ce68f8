use std::{
    convert::Infallible, future::poll_fn, net::SocketAddr, pin::pin, rc::Rc, task::Poll,
    time::Duration,
};

use clock::{Clock, timeout};
use compio::{
    BufResult,
    io::AsyncRead,
    net::{TcpListener, TcpStream},
};
use cyper_core::CompioTimer;
use futures_util::future::{Either, LocalBoxFuture, select};
use http::{HeaderMap, Request, Response, Version, header};
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use rustix::net::sockopt;
use serde::Serialize;
use types::MAX_HEADERS;

use crate::{
    Body, CallerMemory, ConnectionId, ConnectionObserver, CutCause, Refusal, RequestBody,
    RequestLabel, ServerLimits, StopSignal, TurnLimit,
    connect::http_stream,
    connection::ConnectionState,
    metered::InputMeter,
    observed::{ObservedBody, ObservedIo},
    open_connections::OpenConnections,
    request_body::{self, DISCARD_TIME, MAX_DISCARDED_BYTES, UnreadBody},
    write_timeout::WriteTimeout,
};

/// Time in which a client must send the request line and headers. It limits how long an idle
/// connection uses resources.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Default of [`Server::lame_duck_time`]. It is long enough for a request that was on its way when
/// the server was told to stop, which then gets a response instead of a closed connection.
const DEFAULT_LAME_DUCK_TIME: Duration = Duration::from_millis(500);
/// Time after the lame-duck period for which the rest of a request's head is waited for.
const PARTIAL_HEAD_TIME: Duration = Duration::from_secs(1);
/// Interval at which a stopping server checks whether all connections are closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed `accept`, for example when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;
/// Reads of bytes to discard in one turn of the task.
const DISCARD_READS: u32 = 4;
/// Connections that are accepted in one turn of the task.
const ACCEPTS_PER_TURN: u32 = 16;

/// Handles the requests that a server receives.
pub trait Handler {
    /// Responds to one request. The future runs in the task of the connection and is dropped when
    /// the client disconnects.
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>>;
}

/// An HTTP/1.1 server.
pub struct Server {
    clock: Rc<dyn Clock>,
    listener: TcpListener,
    stop: StopSignal,
    drain_limit: Duration,
    lame_duck_time: Duration,
    observer: Option<Rc<dyn ConnectionObserver>>,
    limits: ServerLimits,
}

impl Server {
    /// Binds a server to `addr`. It serves until `stop` is raised.
    pub async fn bind(
        clock: Rc<dyn Clock>,
        addr: SocketAddr,
        stop: StopSignal,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Server {
            clock,
            listener,
            stop,
            drain_limit: Duration::ZERO,
            lame_duck_time: DEFAULT_LAME_DUCK_TIME,
            observer: None,
            limits: ServerLimits::default(),
        })
    }

    /// Sets how long after the stop signal open connections are waited for before they are closed.
    pub fn drain_limit(mut self, limit: Duration) -> Server {
        self.drain_limit = limit;
        self
    }

    /// Sets how long connections stay open for new requests after the stop signal (lame-duck
    /// period). The handler decides whether it still serves or refuses these requests.
    pub fn lame_duck_time(mut self, time: Duration) -> Server {
        self.lame_duck_time = time;
        self
    }

    /// Sets who counts what happens on the connections.
    pub fn observer(mut self, observer: Rc<dyn ConnectionObserver>) -> Server {
        self.observer = Some(observer);
        self
    }

    /// Sets the limits on what callers may use.
    pub fn limits(mut self, limits: ServerLimits) -> Server {
        self.limits = limits;
        self
    }

    /// The address that the server is bound to.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves connections until the stop signal, then until all connections are closed or the drain
    /// limit has passed. In this time the server still accepts connections, so that the handler can
    /// refuse new requests with a response. A connection that is accepted after the stop signal is
    /// closed after its first response, the others after the response that they are sending when
    /// the lame-duck period ends.
    pub async fn run<H: Handler + 'static>(self, handler: Rc<H>) {
        if let Some(bytes) = self.limits.socket_bytes
            && let Err(error) = set_buffer_sizes(&self.listener, bytes)
        {
            tracing::warn!(%error, "sizes of socket buffers cannot be set");
        }
        let connections =
            OpenConnections::new(self.clock.clone(), self.limits.clone(), self.observer.clone());
        let force_close_signal = StopSignal::new();
        let accepting =
            pin!(self.accept_connections(handler, connections.clone(), force_close_signal.clone()));
        let drained = pin!(self.wait_until_drained(&connections));
        let sweeping = pin!(connections.run_sweeps());
        select(accepting, select(drained, sweeping)).await;
        force_close_signal.raise();
    }

    async fn accept_connections<H: Handler + 'static>(
        &self,
        handler: Rc<H>,
        connections: Rc<OpenConnections>,
        force_close_signal: StopSignal,
    ) {
        let mut accepted_count = 0;
        let turn = TurnLimit::new(ACCEPTS_PER_TURN);
        loop {
            turn.step().await;
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    // Without room, the stream is dropped, which closes the connection.
                    if !connections.make_room() {
                        continue;
                    }
                    accepted_count += 1;
                    let id = ConnectionId(accepted_count);
                    let state = ConnectionState::new(id, peer.ip(), self.observer.clone());
                    let guard = connections.add(state.clone());
                    let serving = ServedConnection {
                        clock: self.clock.clone(),
                        state: state.clone(),
                        connections: connections.clone(),
                        stop: self.stop.clone(),
                        lame_duck_time: self.lame_duck_time,
                    }
                    .serve(stream, handler.clone());
                    let force_close = force_close_signal.raised();
                    compio::runtime::spawn(async move {
                        let _guard = guard;
                        let closing = pin!(closed_for_limit(&state));
                        let force_close = pin!(force_close);
                        let ending = select(force_close, closing);
                        // The end is polled first: a connection that was told to close reads no
                        // further request.
                        let closed_by = match select(ending, pin!(serving)).await {
                            Either::Left((Either::Left(_), _)) => Some(CutCause::ForcedClose),
                            Either::Left((Either::Right(_), _)) => Some(CutCause::LimitReached),
                            Either::Right((closed_by, _)) => closed_by,
                        };
                        state.record_end(closed_by);
                    })
                    .detach();
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    connections.close_one();
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Completes when, after the stop signal, no connection is open or the drain limit has passed.
    async fn wait_until_drained(&self, connections: &OpenConnections) {
        self.stop.raised().await;
        let started = self.clock.now();
        self.clock.sleep(self.lame_duck_time.min(self.drain_limit)).await;
        while !connections.is_empty() && self.clock.now().since(started) < self.drain_limit {
            self.clock.sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Sets the sizes of the kernel's buffers, which accepted connections inherit.
fn set_buffer_sizes(listener: &TcpListener, bytes: usize) -> rustix::io::Result<()> {
    sockopt::set_socket_recv_buffer_size(listener, bytes)?;
    sockopt::set_socket_send_buffer_size(listener, bytes)
}

/// Completes when the connection is told to close because a limit is reached.
async fn closed_for_limit(state: &ConnectionState) {
    poll_fn(|context| {
        state.activity.record_task(context);
        if state.activity.is_closing() { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
}

/// A connection that is served.
struct ServedConnection {
    clock: Rc<dyn Clock>,
    state: Rc<ConnectionState>,
    connections: Rc<OpenConnections>,
    stop: StopSignal,
    lame_duck_time: Duration,
}

impl ServedConnection {
    /// Serves the connection until it ends. Returns why this server closed it, if the caller did
    /// not and no error occurred.
    async fn serve<H: Handler + 'static>(
        self,
        stream: TcpStream,
        handler: Rc<H>,
    ) -> Option<CutCause> {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "connection closed before it was served");
            return None;
        }
        let socket = stream.clone();
        let meter = Rc::new(InputMeter::default());
        let io = WriteTimeout::new(self.clock.clone(), http_stream(stream, &meter));
        let io = ObservedIo::new(io, self.state.clone(), socket.clone());
        let mut builder = http1::Builder::new();
        builder
            .timer(CompioTimer)
            .header_read_timeout(HEADER_TIMEOUT)
            .max_headers(MAX_HEADERS)
            .keep_alive(!self.stop.is_raised());
        if let Some(head_bytes) = self.connections.limits.head_bytes {
            builder.max_buf_size(head_bytes);
        }
        let scope = RequestScope {
            clock: self.clock.clone(),
            state: self.state.clone(),
            memory: CallerMemory::new(self.connections.clone(), self.state.clone()),
            meter,
        };
        let scope = Rc::new(scope);
        let service = service_fn(move |request| {
            scope.meter.record_delivery();
            let (scope, handler) = (scope.clone(), handler.clone());
            async move { Ok::<_, Infallible>(scope.respond(handler, request).await) }
        });
        let mut connection = pin!(builder.serve_connection(io, service));
        let (result, closed_by) =
            match select(connection.as_mut(), pin!(self.lame_duck_end())).await {
                Either::Left((result, _)) => (result, None),
                Either::Right(_) => {
                    connection.as_mut().graceful_shutdown();
                    (connection.await, Some(CutCause::LameDuckClose))
                }
            };
        let Err(error) = result else { return closed_by };
        tracing::debug!(%error, "connection ended with an error");
        if error.is_parse_too_large() {
            self.connections.record_refusal(Refusal::HeadSize);
        }
        if error.is_parse() {
            discard_input(&*self.clock, socket).await;
        }
        None
    }

    /// Completes when the connection is to be closed after the stop signal.
    async fn lame_duck_end(&self) {
        self.stop.raised().await;
        self.clock.sleep(self.lame_duck_time).await;
        // The HTTP library closes a connection that has carried a request before, even inside the
        // head of the next one.
        let ended = self.clock.now();
        while self.state.has_partial_head() && self.clock.now().since(ended) < PARTIAL_HEAD_TIME {
            self.clock.sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Reads and discards what still arrives after an invalid head was rejected: closing the connection
/// with unread bytes would reset it, and the reset may overtake the rejection. The end of the
/// connection has been sent, so the caller sends no further request.
async fn discard_input(clock: &dyn Clock, mut socket: TcpStream) {
    let reading = async {
        let mut left = MAX_DISCARDED_BYTES;
        let mut buffer = Vec::with_capacity(DISCARD_BUFFER_BYTES);
        let turn = TurnLimit::new(DISCARD_READS);
        while left > 0 {
            turn.step().await;
            buffer.clear();
            let BufResult(result, used) = socket.read(buffer).await;
            buffer = used;
            match result {
                Ok(length) if length > 0 => left = left.saturating_sub(length),
                _ => return,
            }
        }
    };
    if timeout(clock, DISCARD_TIME, reading).await.is_err() {
        tracing::debug!("caller goes on sending after its request was rejected");
    }
}

/// What all requests of a connection share.
struct RequestScope {
    clock: Rc<dyn Clock>,
    state: Rc<ConnectionState>,
    memory: CallerMemory,
    meter: Rc<InputMeter>,
}

impl RequestScope {
    /// Passes one request to the handler.
    async fn respond<H: Handler + 'static>(
        &self,
        handler: Rc<H>,
        request: Request<Incoming>,
    ) -> Response<ObservedBody> {
        let (head, incoming) = request.into_parts();
        // A caller that waits for permission to send its body does not send it after a refusal.
        let knows_chunks = head.version >= Version::HTTP_11;
        let awaits_permission = head.headers.contains_key(header::EXPECT);
        let unread = UnreadBody::new(incoming, self.meter.clone(), self.memory.clone());
        let body = RequestBody::from_connection(unread.clone(), self.clock.clone());
        let mut request = Request::from_parts(head, body);
        let label = RequestLabel::default();
        request.extensions_mut().insert(self.state.id());
        request.extensions_mut().insert(label.clone());
        self.state.open_request(label);
        let mut response = handler.handle(request).await;
        if self.state.activity.body_refusal().is_some() {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        if let Some(rest) = unread.take() {
            self.state.record_early_response(response.status().as_u16());
            if !awaits_permission {
                let (meter, clock) = (self.meter.clone(), self.clock.clone());
                let discarding = self.state.begin_discard();
                compio::runtime::spawn(async move {
                    request_body::discard(rest, meter, clock).await;
                    drop(discarding);
                })
                .detach();
            }
        }
        if !knows_chunks && response.body().size_hint().exact().is_none() {
            self.state.begin_unframed_response();
        }
        response.map(|body| ObservedBody::new(body, self.state.clone()))
    }
}

/// Encodes `payload` as a JSON response with `status`.
pub fn json_response(status: http::StatusCode, payload: &impl Serialize) -> Response<Body> {
    // Serialization fails only for maps with keys that are not strings, which no message has.
    let body = serde_json::to_vec(payload).expect("message is serializable");
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
