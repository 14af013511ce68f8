//! Guards against a response that looks complete to a caller of HTTP/1.0 although it was given up: the
//! caller gets no chunks, and a body without a length ends with the connection.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::Duration,
};

use clock::{Clock, RuntimeClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Request, Response};
use transport::{Body, Handler, RequestBody, Server, StopSignal};

/// Longest wait for a part of a response.
const WAIT: Duration = Duration::from_secs(10);
/// Time after which the server is stopped.
const STOP_DELAY: Duration = Duration::from_millis(100);
const EVENT: &str = "id: 0\n\n";

/// Streams an event and goes on as the path of the request says.
struct EventHandler;

impl Handler for EventHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let path = request.uri().path().to_owned();
        let body = Body::streamed(move |mut writer| async move {
            writer.write(EVENT).await;
            match path.as_str() {
                "/abort" => writer.abort().await,
                "/silent" => std::future::pending().await,
                _ => {}
            }
        });
        std::future::ready(Response::new(body)).boxed_local()
    }
}

/// Sends a request of HTTP/1.0 to a server that is stopped after a while. Returns the response, and how
/// its connection ended.
async fn call(method: &'static str, path: &'static str) -> (String, Result<(), ErrorKind>) {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let stop = StopSignal::new();
    let server = Server::bind(clock.clone(), any_port, stop.clone()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let serving = compio::runtime::spawn(server.run(Rc::new(EventHandler)));
    let calling = compio::runtime::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        write!(stream, "{method} {path} HTTP/1.0\r\nhost: h\r\n\r\n").unwrap();
        let mut response = Vec::new();
        let end = stream.read_to_end(&mut response).map(drop).map_err(|error| error.kind());
        (String::from_utf8_lossy(&response).into_owned(), end)
    });
    clock.sleep(STOP_DELAY).await;
    stop.raise();
    let result = calling.await.unwrap();
    drop(serving);
    result
}

#[compio::test]
async fn a_response_that_is_given_up_ends_with_a_reset() {
    for path in ["/abort", "/silent"] {
        let (response, end) = call("GET", path).await;
        assert!(response.starts_with("HTTP/1.0 200 "), "{path}: {response:?}");
        assert!(response.ends_with(EVENT), "{path}: {response:?}");
        assert_eq!(end, Err(ErrorKind::ConnectionReset), "{path}: {response:?}");
    }
}

/// Guards against a reset of a connection that has carried a whole response.
#[compio::test]
async fn a_complete_response_ends_with_its_connection() {
    let (response, end) = call("GET", "/whole").await;
    assert!(response.ends_with(EVENT), "{response:?}");
    assert_eq!(end, Ok(()), "{response:?}");
}

/// Guards against a reset after a response that has no body, whatever its handler has produced.
#[compio::test]
async fn a_response_without_a_body_ends_with_its_connection() {
    for path in ["/whole", "/silent"] {
        let (response, end) = call("HEAD", path).await;
        assert!(response.ends_with("\r\n\r\n"), "{path}: {response:?}");
        assert_eq!(end, Ok(()), "{path}: {response:?}");
    }
}
