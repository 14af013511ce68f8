//! Tests of responses whose body the handler gives up.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
};

use clock::{Clock, RuntimeClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Request, Response};
use transport::{Body, Handler, RequestBody, Server, StopSignal};

/// Begins a stream and gives it up at once.
struct AbortingHandler;

impl Handler for AbortingHandler {
    fn handle(self: Rc<Self>, _: Request<RequestBody>) -> LocalBoxFuture<'static, Response<Body>> {
        let body = Body::streamed(|mut writer| async move {
            writer.write("id: 0\n\n").await;
            writer.abort().await;
        });
        std::future::ready(Response::new(body)).boxed_local()
    }
}

/// Guards against a stream whose status and first events are lost because it breaks off before they
/// were written: the caller cannot resume it and sees a request without an answer.
#[compio::test]
async fn what_precedes_an_abort_reaches_the_caller() {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(clock, any_port, StopSignal::new()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let serving = compio::runtime::spawn(server.run(Rc::new(AbortingHandler)));
    let response = compio::runtime::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).unwrap();
        String::from_utf8_lossy(&response).into_owned()
    })
    .await
    .unwrap();
    drop(serving);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
    assert!(response.contains("id: 0\n\n"), "{response:?}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response:?}");
}
