//! Tests of connections that are open when the server is told to stop.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::Duration,
};

use clock::{Clock, RuntimeClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Request, Response};
use transport::{Body, Handler, RequestBody, Server, StopSignal};

struct AnsweringHandler;

impl Handler for AnsweringHandler {
    fn handle(self: Rc<Self>, _: Request<RequestBody>) -> LocalBoxFuture<'static, Response<Body>> {
        std::future::ready(Response::new(Body::from("whole"))).boxed_local()
    }
}

/// Reads one response. Returns `None` if the connection ended before.
fn read_response(stream: &mut TcpStream) -> Option<String> {
    let mut buffer = [0; 4096];
    let mut response = String::new();
    while !response.ends_with("whole") {
        let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
        response.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    Some(response)
}

/// Guards against a request without an answer because the lame-duck period of the server ends while
/// the request's head arrives, on a connection that has carried a request before.
#[compio::test]
async fn a_head_that_arrives_across_the_end_of_the_lame_duck_period_is_answered() {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let stop = StopSignal::new();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(clock.clone(), any_port, stop.clone()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let server = server.lame_duck_time(Duration::ZERO).drain_limit(Duration::from_secs(2));
    let serving = compio::runtime::spawn(server.run(Rc::new(AnsweringHandler)));
    let calling = compio::runtime::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").unwrap();
        read_response(&mut stream).expect("the first request is answered");
        stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
        std::thread::sleep(Duration::from_millis(400));
        // Writing fails if the connection was reset.
        let _ = stream.write_all(b"host: h\r\n\r\n");
        read_response(&mut stream)
    });
    clock.sleep(Duration::from_millis(200)).await;
    stop.raise();
    calling.await.unwrap().expect("the second request is answered");
    serving.await.unwrap();
}
