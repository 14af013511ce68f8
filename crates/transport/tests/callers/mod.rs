//! A server with limits on its callers, and callers over real connections.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpStream},
    rc::Rc,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use clock::{Clock, RuntimeClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderValue, Request, Response, StatusCode, header};
use rustix::net::{AddressFamily, SocketType};
use transport::{
    Body, BodyError, ConnectionObserver, CutCause, Handler, Refusal, RequestBody, Server,
    ServerLimits, StopSignal,
};

/// Largest body that the handler reads.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Time that the handler takes for `/block` and `/wait`.
pub const HANDLER_TIME: Duration = Duration::from_millis(300);
/// Longest wait for an answer or for the end of a connection.
pub const WAIT: Duration = Duration::from_secs(10);

/// Reads each body and answers with its length. `/gone` is refused by its head, `/block` keeps the
/// thread for a while, and `/wait` is answered after a while.
struct LengthHandler;

impl Handler for LengthHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            match request.uri().path() {
                "/gone" => {
                    let mut response = Response::new(Body::from("gone"));
                    *response.status_mut() = StatusCode::NOT_FOUND;
                    return response;
                }
                "/block" => thread::sleep(HANDLER_TIME),
                "/wait" => RuntimeClock::new().sleep(HANDLER_TIME).await,
                _ => {}
            }
            match request.into_body().collect_within(MAX_BODY_BYTES, WAIT).await {
                Ok(body) => Response::new(Body::from(format!("length {}", body.len()))),
                Err(error) => {
                    let mut response = Response::new(Body::from(error.to_string()));
                    *response.status_mut() = match error {
                        BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
                        BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
                        _ => StatusCode::BAD_REQUEST,
                    };
                    let text = HeaderValue::from_static("text/plain");
                    response.headers_mut().insert(header::CONTENT_TYPE, text);
                    response
                }
            }
        }
        .boxed_local()
    }
}

/// What happened on the connections of a server.
#[derive(Default)]
pub struct Record {
    pub refusals: Mutex<Vec<Refusal>>,
    pub cuts: Mutex<Vec<CutCause>>,
}

struct Recorder(Arc<Record>);

impl ConnectionObserver for Recorder {
    fn record_cut(&self, cause: CutCause) {
        self.0.cuts.lock().unwrap().push(cause);
    }

    fn record_early_response(&self) {}

    fn record_refusal(&self, cause: Refusal) {
        self.0.refusals.lock().unwrap().push(cause);
    }
}

/// Starts a server in a thread of its own, which serves until the process ends.
pub fn start(limits: ServerLimits) -> (SocketAddr, Arc<Record>) {
    let record = Arc::<Record>::default();
    let (sender, addr) = mpsc::channel();
    let recorded = record.clone();
    thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async move {
            let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(clock, any_port, StopSignal::new()).await.unwrap();
            sender.send(server.local_addr().unwrap()).unwrap();
            let server = server.limits(limits).observer(Rc::new(Recorder(recorded)));
            server.run(Rc::new(LengthHandler)).await;
        });
    });
    (addr.recv().unwrap(), record)
}

pub fn small_limits() -> ServerLimits {
    ServerLimits {
        memory: 8 << 20,
        max_connections: 16,
        head_bytes: Some(16 << 10),
        head_time: Duration::from_millis(500),
        ..ServerLimits::default()
    }
}

pub fn connect(addr: SocketAddr) -> TcpStream {
    connect_from(Ipv4Addr::LOCALHOST, addr)
}

/// Connects from `ip`, which is a loopback address.
pub fn connect_from(ip: Ipv4Addr, addr: SocketAddr) -> TcpStream {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&socket, &SocketAddr::from((ip, 0))).unwrap();
    rustix::net::connect(&socket, &addr).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream
}

pub fn post(length: usize) -> String {
    format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n")
}
