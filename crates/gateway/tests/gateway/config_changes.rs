//! Tests of requests that meet a change of the routing table on their way.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::Duration,
};

use callers::{RoutedFailure, RoutedRequest, RoutedResponse, Router};
use clock::{Clock, RuntimeClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use gateway::Gateway;
use http::{Request, Response, StatusCode};
use transport::{Body, Handler, RequestBody, Server, StopSignal};
use types::Verdict;

use crate::support::{Fixture, Step, body, event, request};

/// The changes that a request may meet: everything is taken away, or all routes are moved to a
/// service without upstreams, or given a shorter timeout.
const CHANGES: [&str; 3] = ["2 empty", "2 moved", "2 short"];
/// Longest time in which the gateway applies a change of the store.
const APPLY_TIME: Duration = Duration::from_millis(300);

/// Passes requests from a connection to the gateway.
struct Front(Rc<Gateway>);

impl Handler for Front {
    fn handle(
        self: Rc<Self>,
        received: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            let target = received.uri().path().to_owned();
            let routed = RoutedRequest { body: received.into_body(), ..request(&target) };
            let (status, body) = match self.0.clone().route(routed).await {
                Ok(RoutedResponse { status, body, .. }) => (status, body),
                Err(RoutedFailure { status, failure, .. }) => {
                    (status.unwrap_or(503), Body::from(failure.message))
                }
            };
            let mut response = Response::new(body);
            *response.status_mut() = StatusCode::from_u16(status).unwrap();
            response
        }
        .boxed_local()
    }
}

/// Sends `first` to the gateway over a connection, applies `change`, sends `second`, and returns the
/// response.
async fn send_around_change(
    fixture: &Fixture,
    first: &'static str,
    change: &str,
    second: &'static str,
) -> String {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(clock.clone(), any_port, StopSignal::new()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let serving = compio::runtime::spawn(server.run(Rc::new(Front(fixture.gateway.clone()))));
    let calling = compio::runtime::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
        stream.write_all(first.as_bytes()).unwrap();
        std::thread::sleep(APPLY_TIME * 2);
        stream.write_all(second.as_bytes()).unwrap();
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).unwrap();
        String::from_utf8_lossy(&buffer[..length]).into_owned()
    });
    clock.sleep(APPLY_TIME / 3).await;
    fixture.store.write("table", Some(change));
    let response = calling.await.unwrap();
    drop(serving);
    response
}

/// Guards against a request without an answer because the routing table changes while its body
/// arrives. The request goes by the table that was in force when its head arrived.
#[compio::test]
async fn a_change_during_the_body_leaves_the_request_its_answer() {
    for change in CHANGES {
        let fixture = Fixture::ready().await;
        fixture.push_steps([Step::Answer(200, "whole")]);
        let head = "POST /once/x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbo";
        let response = send_around_change(&fixture, head, change, "dy").await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{change}: {response}");
        assert!(response.ends_with("whole"), "{change}: {response}");
    }
}

/// Guards against a request without an answer because the routing table changes while its head
/// arrives. The request goes by the new table.
#[compio::test]
async fn a_change_during_the_head_leaves_the_request_an_answer() {
    for (change, status) in [("2 empty", "503"), ("2 moved", "503"), ("2", "200")] {
        let fixture = Fixture::ready().await;
        fixture.push_steps([Step::Answer(200, "whole")]);
        let (first, second) = ("GET /once/x HTTP/1.1\r\nho", "st: h\r\n\r\n");
        let response = send_around_change(&fixture, first, change, second).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{change}: {response}");
    }
}

/// Sends a request, and applies `change` while it is on its way.
async fn send_during_change(
    fixture: &Fixture,
    path: &str,
    change: &str,
) -> Result<RoutedResponse, RoutedFailure> {
    let store = fixture.store.clone();
    let change = change.to_owned();
    compio::runtime::spawn(async move {
        compio::time::sleep(Duration::from_millis(5)).await;
        store.write("table", Some(&change));
    })
    .detach();
    fixture.send(path).await
}

/// Guards against a request that is given up because the routing table changes between two of its
/// attempts.
#[compio::test]
async fn a_change_between_two_attempts_leaves_the_request_its_answer() {
    for change in CHANGES {
        let fixture = Fixture::ready().await;
        fixture.push_steps([Step::Silent, Step::Answer(200, "whole")]);
        let response = send_during_change(&fixture, "/any/x", change).await;
        let response = response.unwrap_or_else(|failure| panic!("{change}: {failure:?}"));
        assert_eq!(body(response).await.as_deref(), Some("whole"), "{change}");
    }
}

/// Guards against a stream that is cut because the routing table changes before it is resumed.
#[compio::test]
async fn a_change_during_a_stream_leaves_it_its_end() {
    for change in CHANGES {
        let fixture = Fixture::ready().await;
        fixture.push_steps([Step::EventsThenBroken(vec![0]), Step::Events(vec![1])]);
        let response = fixture.send("/drafts/x").await.expect("the stream begins");
        fixture.store.write("table", Some(change));
        compio::time::sleep(APPLY_TIME).await;
        assert_eq!(body(response).await, Some(event(0) + &event(1)), "{change}");
    }
}

/// Guards against a request that waits for capacity in vain, or without an answer, because the
/// routing table changes meanwhile.
#[compio::test]
async fn a_change_during_the_wait_for_capacity_leaves_the_request_an_answer() {
    for change in CHANGES {
        let fixture = Fixture::ready().await;
        for name in ["e1", "e3"] {
            fixture.store.write(&format!("upstreams/{name}"), None);
        }
        compio::time::sleep(APPLY_TIME).await;
        let failure = send_during_change(&fixture, "/drafts/x", change).await.err();
        let failure = failure.expect("no engine holds the first layers");
        assert_eq!(failure.failure.verdict, Verdict::NotRun, "{change}");
        assert!(failure.retry_after.is_some(), "{change}");
    }
}

/// Guards against a request without an answer because its upstream falls silent for a while and goes on,
/// and the routing table changes meanwhile.
#[compio::test]
async fn a_change_while_a_sound_upstream_is_silent_leaves_the_request_its_answer() {
    const SILENCE: Duration = Duration::from_millis(700);
    for change in CHANGES {
        let fixture = Fixture::ready().await;
        fixture.push_steps([Step::AnswerAfter { pause: SILENCE, body: "whole" }]);
        let response = send_during_change(&fixture, "/once/x", change).await;
        let response = response.unwrap_or_else(|failure| panic!("{change}: {failure:?}"));
        assert_eq!(body(response).await.as_deref(), Some("whole"), "{change}");

        let fixture = Fixture::ready().await;
        let (before, after) = (vec![0], vec![1]);
        fixture.push_steps([Step::EventsAroundPause { before, pause: SILENCE, after }]);
        let response = send_during_change(&fixture, "/single/x", change).await;
        let response = response.unwrap_or_else(|failure| panic!("{change}: {failure:?}"));
        assert_eq!(body(response).await, Some(event(0) + &event(1)), "{change}");
    }
}

/// The same for a request whose body still arrives when the table changes.
#[compio::test]
async fn a_change_during_the_body_before_a_silence_leaves_the_request_its_answer() {
    for change in CHANGES {
        let fixture = Fixture::ready().await;
        let pause = Duration::from_millis(250);
        fixture.push_steps([Step::AnswerAfter { pause, body: "whole" }]);
        let head = "POST /once/x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbo";
        let response = send_around_change(&fixture, head, change, "dy").await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{change}: {response}");
        assert!(response.ends_with("whole"), "{change}: {response}");
    }
}
