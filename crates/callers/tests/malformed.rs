//! Tests that the front end rejects malformed requests: each gets a 4xx status, a message that says
//! what is wrong, a request identifier and the verdict `not-run`, and does not reach the backend.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use callers::{
    CallerResponse, CompletionRequest, CompletionSummary, FrontEnd, RequestHandler, ServiceRequest,
    TokenSink,
};
use clock::{Clock, RuntimeClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Method, Request};
use transport::{
    Body, HttpClient, REQUEST_ID_HEADER, Server, StopSignal, Timeouts, VERDICT_HEADER,
};
use types::{Failure, FailureKind, RequestId, Verdict};

const TIMEOUTS: Timeouts = Timeouts::from_millis(1000, 5000);

/// A backend that generates one token and counts its calls.
#[derive(Default)]
struct FakeBackend {
    calls: Cell<u32>,
    draining: Cell<bool>,
}

impl RequestHandler for FakeBackend {
    fn complete(
        self: Rc<Self>,
        _: CompletionRequest,
        mut sink: Box<dyn TokenSink>,
    ) -> LocalBoxFuture<'static, Result<CompletionSummary, Failure>> {
        self.calls.set(self.calls.get() + 1);
        async move {
            sink.token(" word".into()).await;
            Ok(CompletionSummary { tokens: 1, attempts: 1 })
        }
        .boxed_local()
    }

    fn call_service(
        self: Rc<Self>,
        request: ServiceRequest,
    ) -> LocalBoxFuture<'static, Result<CallerResponse, Failure>> {
        self.calls.set(self.calls.get() + 1);
        let body = format!("{} {}", request.method, request.path).into();
        let reply = CallerResponse { status: 201, content_type: None, body, replayed: false };
        std::future::ready(Ok(reply)).boxed_local()
    }

    fn is_accepting(&self) -> bool {
        !self.draining.get()
    }

    fn new_request_id(&self) -> RequestId {
        "node-1".into()
    }
}

struct DecodedResponse {
    status: u16,
    verdict: Option<Verdict>,
    id: Option<String>,
    body: String,
}

async fn send(addr: SocketAddr, request: Request<Body>) -> DecodedResponse {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let client = HttpClient::new(clock, addr);
    let response = client.send(request, TIMEOUTS).await.expect("front end responds");
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(String::from)
    };
    let verdict = header(VERDICT_HEADER).and_then(|text| text.parse().ok());
    let (status, id) = (response.status().as_u16(), header(REQUEST_ID_HEADER));
    let body = response.collect(1 << 20, TIMEOUTS.progress).await.expect("body arrives");
    DecodedResponse { status, verdict, id, body: String::from_utf8_lossy(&body).into_owned() }
}

fn with_front_end<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Rc<FakeBackend>) -> F) {
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    runtime.block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(clock, any_port, StopSignal::new()).await.expect("port is free");
        let addr = server.local_addr().expect("server has an address");
        let backend = Rc::new(FakeBackend::default());
        let front_end = Rc::new(FrontEnd::new(backend.clone()));
        compio::runtime::spawn(server.run(front_end)).detach();
        test(addr, backend).await;
    });
}

fn completion_request(headers: &[(&str, &str)], body: &str) -> Request<Body> {
    let mut request = Request::builder().method(Method::POST).uri("/v1/completions");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.header("host", "test").body(Body::from(body.to_owned())).expect("request is valid")
}

const VALID_BODY: &str = r#"{"model":"permits","prompt":"gravel","max_tokens":1}"#;

#[test]
fn malformed_completion_gets_400_with_an_explanation() {
    let long_key = "k".repeat(5000);
    let organisation = ("x-organisation", "o");
    let cases: Vec<(Request<Body>, &str)> = vec![
        (completion_request(&[], VALID_BODY), "x-organisation is missing"),
        (completion_request(&[("x-organisation", "a b")], VALID_BODY), "only letters"),
        (
            completion_request(&[organisation, ("x-class", "urgent")], VALID_BODY),
            "interactive or batch",
        ),
        (completion_request(&[organisation, ("x-deadline-ms", "0")], VALID_BODY), "from 1 to"),
        (
            completion_request(&[organisation, ("x-deadline-ms", "soon")], VALID_BODY),
            "milliseconds",
        ),
        (completion_request(&[organisation, ("x-request-id", "a/b")], VALID_BODY), "only letters"),
        (
            completion_request(&[organisation, ("x-other", &long_key)], VALID_BODY),
            "longer than 4096",
        ),
        (completion_request(&[organisation, organisation], VALID_BODY), "more than once"),
        (completion_request(&[organisation], "{"), "not valid"),
        (completion_request(&[organisation], r#"{"model":"m"}"#), "prompt"),
        (completion_request(&[organisation], r#"{"model":"","prompt":"a"}"#), "model must have"),
        (completion_request(&[organisation], r#"{"model":"m","prompt":" "}"#), "prompt must have"),
        (
            completion_request(&[organisation], r#"{"model":"m","prompt":"a","max_tokens":0}"#),
            "max_tokens must be from 1 to 4096",
        ),
        (
            completion_request(&[organisation], r#"{"model":"m","prompt":"a","max_tokens":4097}"#),
            "max_tokens must be from 1 to 4096",
        ),
    ];
    with_front_end(|addr, backend| async move {
        for (request, expected_text) in cases {
            let response = send(addr, request).await;
            assert_eq!(response.status, 400, "{expected_text}: {}", response.body);
            assert!(response.body.contains(expected_text), "{expected_text}: {}", response.body);
            assert_eq!(response.verdict, Some(Verdict::NotRun), "{expected_text}");
            assert!(response.id.is_some(), "{expected_text}");
        }
        assert_eq!(backend.calls.get(), 0);
    });
}

#[test]
fn body_above_the_size_limit_gets_400() {
    with_front_end(|addr, backend| async move {
        let body = format!(r#"{{"model":"m","prompt":"{}"}}"#, "a ".repeat(600_000));
        let response = send(addr, completion_request(&[("x-organisation", "o")], &body)).await;
        assert_eq!(response.status, 400);
        assert_eq!(backend.calls.get(), 0);
    });
}

#[test]
fn valid_requests_reach_the_backend() {
    with_front_end(|addr, backend| async move {
        let response = send(addr, completion_request(&[("x-organisation", "o")], VALID_BODY)).await;
        assert_eq!((response.status, response.verdict), (200, Some(Verdict::Ran)));
        assert_eq!(response.id.as_deref(), Some("node-1"));
        assert!(response.body.contains(" word"), "{}", response.body);
        let call = Request::builder()
            .method(Method::POST)
            .uri("/services/registry/filings?draft=1")
            .header("x-organisation", "o")
            .header("host", "test")
            .body(Body::from("text".to_owned()))
            .expect("request is valid");
        let response = send(addr, call).await;
        assert_eq!((response.status, response.verdict), (201, Some(Verdict::Ran)));
        assert_eq!(response.body, "POST /filings?draft=1");
        assert_eq!(backend.calls.get(), 2);
    });
}

#[test]
fn draining_node_reports_not_run_only_without_an_earlier_send() {
    with_front_end(|addr, backend| async move {
        backend.draining.set(true);
        let response = send(addr, completion_request(&[("x-organisation", "o")], VALID_BODY)).await;
        assert_eq!((response.status, response.verdict), (503, Some(Verdict::NotRun)));
        assert!(response.body.contains(&FailureKind::Draining.to_string()), "{}", response.body);
        let service_request = |first_send: &str| {
            Request::builder()
                .method(Method::POST)
                .uri("/services/registry/filings")
                .header("x-organisation", "o")
                .header("idempotency-key", "key-1")
                .header("x-first-send", first_send)
                .header("host", "test")
                .body(Body::from("text".to_owned()))
                .expect("request is valid")
        };
        // The caller may have sent the key through another node before, and that request may have
        // run.
        let resend = send(addr, service_request("false")).await;
        assert_eq!((resend.status, resend.verdict), (503, Some(Verdict::MayHaveRun)));
        let first_send = send(addr, service_request("true")).await;
        assert_eq!((first_send.status, first_send.verdict), (503, Some(Verdict::NotRun)));
        assert_eq!(backend.calls.get(), 0);
    });
}
