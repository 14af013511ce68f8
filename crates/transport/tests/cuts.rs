//! Tests that a server tells its observer why a connection ended before its request was answered.

use std::{
    cell::{Cell, RefCell},
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::Duration,
};

use clock::{Clock, RuntimeClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Request, Response};
use transport::{Body, ConnectionObserver, CutCause, Handler, RequestBody, Server, StopSignal};

/// Handles a request as its path says.
struct ScriptedHandler {
    clock: Rc<dyn Clock>,
}

impl Handler for ScriptedHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            match request.uri().path() {
                "/silent" => self.clock.sleep(Duration::from_secs(60)).await,
                "/abort" => {
                    return Response::new(Body::streamed(|mut writer| async move {
                        writer.write("part").await;
                        writer.abort().await;
                    }));
                }
                "/read" => drop(request.into_body().collect().await),
                _ => {}
            }
            Response::new(Body::from("whole"))
        }
        .boxed_local()
    }
}

#[derive(Default)]
struct CountingObserver {
    cuts: RefCell<Vec<CutCause>>,
    early_responses: Cell<u32>,
}

impl ConnectionObserver for CountingObserver {
    fn record_cut(&self, cause: CutCause) {
        self.cuts.borrow_mut().push(cause);
    }

    fn record_early_response(&self) {
        self.early_responses.set(self.early_responses.get() + 1);
    }
}

/// Sends `text` to a server, reads what it answers within 200 ms, and closes the connection. With
/// `stops`, the server is stopped while the request runs. Returns what the observer was told.
async fn observe(text: &'static str, stops: bool) -> (Vec<CutCause>, u32) {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let stop = StopSignal::new();
    let observer = Rc::new(CountingObserver::default());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(clock.clone(), any_port, stop.clone()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let server = server.observer(observer.clone()).lame_duck_time(Duration::ZERO);
    let serving =
        compio::runtime::spawn(server.run(Rc::new(ScriptedHandler { clock: clock.clone() })));
    let calling = compio::runtime::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        // The read ends by its timeout or the end of the connection.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    if stops {
        clock.sleep(Duration::from_millis(50)).await;
        stop.raise();
    }
    calling.await.unwrap();
    clock.sleep(Duration::from_millis(50)).await;
    drop(serving);
    (observer.cuts.take(), observer.early_responses.get())
}

/// Guards against a request that ends without an answer and leaves no trace of the cause.
#[compio::test]
async fn a_cut_request_is_reported_with_its_cause() {
    let get = "GET /silent HTTP/1.1\r\nhost: h\r\n\r\n";
    assert_eq!(observe(get, false).await, (vec![CutCause::CallerGone], 0));
    assert_eq!(observe(get, true).await, (vec![CutCause::ForcedClose], 0));
    let abort = "GET /abort HTTP/1.1\r\nhost: h\r\n\r\n";
    assert_eq!(observe(abort, false).await, (vec![CutCause::Aborted], 0));
}

/// Guards against a report for a request that was answered completely.
#[compio::test]
async fn an_answered_request_is_not_reported() {
    for text in [
        "GET / HTTP/1.1\r\nhost: h\r\n\r\n",
        "HEAD / HTTP/1.1\r\nhost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: h\r\n\r\nGET / HTTP/1.1\r\nhost: h\r\n\r\n",
        "POST /read HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody",
        "POST /read HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    ] {
        assert_eq!(observe(text, false).await, (Vec::new(), 0), "{text}");
    }
}

/// Guards against a response during the request's body that leaves no trace.
#[compio::test]
async fn a_response_before_the_end_of_the_body_is_reported() {
    let post = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nbody";
    assert_eq!(observe(post, false).await, (Vec::new(), 1));
}
