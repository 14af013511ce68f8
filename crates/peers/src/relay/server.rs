use std::{
    cell::Cell,
    future::poll_fn,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use clock::{Clock, timeout};
use compio::net::{TcpListener, TcpStream};
use futures_util::{
    FutureExt,
    future::{Either, LocalBoxFuture, select},
};
use h2::{RecvStream, SendStream, server::SendResponse};
use http::{Request, Response};
use hyper::body::Body as _;
use transport::{Body, CallError, StopSignal, TurnLimit};

use super::{
    RelayReply, RelayRequest, WINDOW_BYTES,
    message::{encode, read_frame},
    write,
};
use crate::{connection_guard::ConnectionGuard, frame::broken};

/// Largest number of relayed requests at a time. Further connections are closed at once, which their
/// nodes take for a failure to connect. It bounds the memory of their requests.
const MAX_CONNECTIONS: usize = 512;
/// Longest time for the handshake and the request.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted, for example because the process has no free file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between two looks whether all requests have ended, after the stop.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Connections that are accepted in one turn of the task.
const ACCEPTS_PER_TURN: u32 = 16;

/// Runs requests that other nodes pass on.
pub trait RelayHandler {
    /// Runs a request. The future is dropped when the other node gives up the request.
    fn run(self: Rc<Self>, request: RelayRequest) -> LocalBoxFuture<'static, RelayResponse>;
}

/// The response to a relayed request.
pub struct RelayResponse {
    /// Its first frame.
    pub reply: RelayReply,
    /// The body after a head.
    pub body: Body,
}

/// Accepts requests that other nodes pass on, and runs each in a task of its own.
pub struct RelayServer {
    clock: Rc<dyn Clock>,
    listener: TcpListener,
    handler: Rc<dyn RelayHandler>,
    /// Number of open connections.
    count: Rc<Cell<usize>>,
}

impl RelayServer {
    /// Creates a server that listens already.
    pub fn new(
        clock: Rc<dyn Clock>,
        listener: TcpListener,
        handler: Rc<dyn RelayHandler>,
    ) -> RelayServer {
        RelayServer { clock, listener, handler, count: Rc::default() }
    }

    /// Serves until `stop` is raised, and then waits at most `drain_limit` for the requests that run.
    pub async fn run(self, stop: StopSignal, drain_limit: Duration) {
        let turn = TurnLimit::new(ACCEPTS_PER_TURN);
        loop {
            turn.step().await;
            match select(pin!(self.listener.accept()), pin!(stop.raised())).await {
                Either::Right(_) => break,
                Either::Left((Ok((stream, _)), _)) => self.start(stream),
                Either::Left((Err(error), _)) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    self.clock.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(self.listener);
        let stopped = self.clock.now();
        while self.count.get() > 0 && self.clock.now().since(stopped) < drain_limit {
            self.clock.sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    fn start(&self, stream: TcpStream) {
        let Some(guard) = ConnectionGuard::new(&self.count, MAX_CONNECTIONS) else { return };
        let (clock, handler) = (self.clock.clone(), self.handler.clone());
        let task = async move {
            let _guard = guard;
            if let Err(error) = serve_connection(&*clock, stream, handler).await {
                tracing::debug!(%error, "relayed request ended with an error");
            }
        };
        compio::runtime::spawn(task).detach();
    }
}

/// Runs the only request of a connection. It is cancelled when the connection ends.
async fn serve_connection(
    clock: &dyn Clock,
    stream: TcpStream,
    handler: Rc<dyn RelayHandler>,
) -> Result<(), CallError> {
    stream.set_nodelay(true).map_err(|error| CallError::Broken(error.to_string()))?;
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1);
    let handshake = builder.handshake::<_, Bytes>(transport::tokio_stream(stream));
    let handshaken = timeout(clock, OPEN_TIMEOUT, handshake).await;
    let mut connection = handshaken.map_err(|_| CallError::Timeout)?.map_err(broken)?;
    let accepted = timeout(clock, OPEN_TIMEOUT, connection.accept()).await;
    let Some(accepted) = accepted.map_err(|_| CallError::Timeout)? else { return Ok(()) };
    let (request, responder) = accepted.map_err(broken)?;
    let running = pin!(run_request(clock, request, responder, handler));
    match select(running, pin!(connection.accept())).await {
        Either::Left((result, _)) => {
            result?;
        }
        Either::Right(_) => return Err(CallError::Broken("the other node has closed it".into())),
    }
    // What was sent is written before the connection closes.
    connection.graceful_shutdown();
    let closing = poll_fn(|context| connection.poll_closed(context));
    let closed = timeout(clock, OPEN_TIMEOUT, closing).await;
    closed.map_err(|_| CallError::Timeout)?.map_err(broken)
}

async fn run_request(
    clock: &dyn Clock,
    request: Request<RecvStream>,
    mut responder: SendResponse<Bytes>,
    handler: Rc<dyn RelayHandler>,
) -> Result<(), CallError> {
    let mut stream = responder.send_response(Response::new(()), false).map_err(broken)?;
    let mut received = request.into_body();
    let reading = timeout(clock, OPEN_TIMEOUT, read_frame(&mut received)).await;
    let (request, _) = reading.map_err(|_| CallError::Timeout)??;
    let outcome = respond(&mut stream, request, handler).await;
    if outcome.is_err() {
        stream.send_reset(h2::Reason::CANCEL);
    }
    outcome
}

/// Runs the request and sends its response, until the other node resets the stream. A body that is
/// aborted ends with an error, after which this node resets the stream.
async fn respond(
    stream: &mut SendStream<Bytes>,
    request: RelayRequest,
    handler: Rc<dyn RelayHandler>,
) -> Result<(), CallError> {
    let mut running = handler.run(request);
    let response = poll_fn(|context| {
        if let Some(error) = poll_given_up(stream, context) {
            return Poll::Ready(Err(error));
        }
        running.poll_unpin(context).map(Ok)
    });
    let RelayResponse { reply, mut body } = response.await?;
    write(stream, encode(&reply)?, false).await?;
    loop {
        let frame = poll_fn(|context| {
            if let Some(error) = poll_given_up(stream, context) {
                return Poll::Ready(Err(error));
            }
            Pin::new(&mut body).poll_frame(context).map(Ok)
        });
        let Some(frame) = frame.await? else { break };
        let frame = frame.map_err(|error| CallError::Broken(error.to_string()))?;
        if let Ok(bytes) = frame.into_data() {
            write(stream, bytes, false).await?;
        }
    }
    stream.send_data(Bytes::new(), true).map_err(broken)
}

/// Whether the other node has reset the stream, since its caller has left.
fn poll_given_up(stream: &mut SendStream<Bytes>, context: &mut Context<'_>) -> Option<CallError> {
    match stream.poll_reset(context) {
        Poll::Pending => None,
        Poll::Ready(_) => Some(CallError::Broken("the other node has given it up".into())),
    }
}
