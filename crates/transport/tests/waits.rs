//! Tests that the client never waits without a time limit, and that a stopping server still
//! responds to requests.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::{Clock, RuntimeClock, timeout};
use compio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Request, Response, StatusCode};
use transport::{
    Body, CallError, EventReader, Handler, HttpClient, RequestBody, Server, StopSignal, Timeouts,
};

const TIMEOUTS: Timeouts = Timeouts::from_millis(500, 200);

struct RefusingHandler;

impl Handler for RefusingHandler {
    fn handle(self: Rc<Self>, _: Request<RequestBody>) -> LocalBoxFuture<'static, Response<Body>> {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        std::future::ready(response).boxed_local()
    }
}

fn run_test<F: Future<Output = ()>>(test: impl FnOnce(Rc<dyn Clock>) -> F) {
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    runtime.block_on(test(Rc::new(RuntimeClock::new())));
}

fn request() -> Request<Body> {
    Request::builder().uri("/").header("host", "h").body(Body::empty()).expect("request is valid")
}

/// Starts a peer that responds with `head` and then sends `chunk` every 50 ms for 5 s.
async fn trickling_peer(
    clock: Rc<dyn Clock>,
    head: &'static str,
    chunk: &'static str,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let request = stream.read_exact(vec![0; 16]).await;
        request.0.unwrap();
        stream.write_all(head).await.0.unwrap();
        for _ in 0..100 {
            if stream.write_all(chunk).await.0.is_err() {
                return;
            }
            clock.sleep(Duration::from_millis(50)).await;
        }
    })
    .detach();
    addr
}

#[test]
fn slow_trickle_of_bytes_does_not_extend_the_time_limit() {
    run_test(async |clock| {
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n";
        let addr = trickling_peer(clock.clone(), head, "x").await;
        let client = HttpClient::new(clock.clone(), addr);
        let response = client.send(request(), TIMEOUTS).await.unwrap();
        let body = response.collect(2000, TIMEOUTS.progress);
        let result = timeout(&*clock, Duration::from_secs(2), body).await.unwrap();
        assert!(matches!(result, Err(CallError::Timeout)), "{result:?}");
        let addr = trickling_peer(clock.clone(), head, ":").await;
        let client = HttpClient::new(clock.clone(), addr);
        let mut events = EventReader::new(client.send(request(), TIMEOUTS).await.unwrap());
        let next = events.next(TIMEOUTS.progress);
        let result = timeout(&*clock, Duration::from_secs(2), next).await.unwrap();
        assert!(matches!(result, Err(CallError::Timeout)), "{result:?}");
    });
}

#[test]
fn stopping_server_responds_on_new_and_idle_connections() {
    run_test(async |clock| {
        let stop = StopSignal::new();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(clock.clone(), any_port, stop.clone()).await.unwrap();
        let server = server.drain_limit(Duration::from_secs(5));
        let addr = server.local_addr().unwrap();
        let serving = compio::runtime::spawn(server.run(Rc::new(RefusingHandler)));
        let idle = HttpClient::new(clock.clone(), addr);
        idle.send(request(), TIMEOUTS).await.unwrap().collect(10, TIMEOUTS.progress).await.unwrap();
        stop.raise();
        for client in [idle, HttpClient::new(clock.clone(), addr)] {
            let response = client.send(request(), TIMEOUTS).await.expect("server responds");
            assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
            response.collect(10, TIMEOUTS.progress).await.unwrap();
        }
        // A connection without a request does not keep the server from stopping.
        let mut unused_connection = TcpStream::connect(addr).await.unwrap();
        timeout(&*clock, Duration::from_secs(2), serving)
            .await
            .expect("server has stopped")
            .unwrap();
        assert!(unused_connection.read_exact([0_u8; 1]).await.0.is_err());
    });
}
