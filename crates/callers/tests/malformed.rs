//! Guards the front end against malformed requests: each gets a 4xx with a sentence that says what
//! is wrong, a request identifier and the verdict that nothing ran, and the backend never sees it.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use callers::{
    Backend, CallerResponse, CompletionRequest, CompletionSummary, FrontEnd, ServiceRequest,
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

impl Backend for FakeBackend {
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

struct Answer {
    status: u16,
    verdict: Option<Verdict>,
    id: Option<String>,
    body: String,
}

async fn send(addr: SocketAddr, request: Request<Body>) -> Answer {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let client = HttpClient::new(clock, addr);
    let response = client.send(request, TIMEOUTS).await.expect("front end answers");
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(String::from)
    };
    let verdict = header(VERDICT_HEADER).and_then(|text| text.parse().ok());
    let (status, id) = (response.status().as_u16(), header(REQUEST_ID_HEADER));
    let body = response.collect(1 << 20, TIMEOUTS.progress).await.expect("body arrives");
    Answer { status, verdict, id, body: String::from_utf8_lossy(&body).into_owned() }
}

fn with_front_end<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Rc<FakeBackend>) -> F) {
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    runtime.block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(clock, any, StopSignal::new()).await.expect("port is free");
        let addr = server.local_addr().expect("server has an address");
        let backend = Rc::new(FakeBackend::default());
        let front_end = Rc::new(FrontEnd::new(backend.clone()));
        compio::runtime::spawn(server.run(front_end)).detach();
        test(addr, backend).await;
    });
}

fn completion(headers: &[(&str, &str)], body: &str) -> Request<Body> {
    let mut request = Request::builder().method(Method::POST).uri("/v1/completions");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.header("host", "test").body(Body::from(body.to_owned())).expect("request is valid")
}

const GOOD_BODY: &str = r#"{"model":"permits","prompt":"gravel","max_tokens":1}"#;

#[test]
fn malformed_completions_are_refused_with_a_sentence() {
    let long_key = "k".repeat(5000);
    let organisation = ("x-organisation", "o");
    let cases: Vec<(Request<Body>, &str)> = vec![
        (completion(&[], GOOD_BODY), "x-organisation is missing"),
        (completion(&[("x-organisation", "a b")], GOOD_BODY), "only letters"),
        (completion(&[organisation, ("x-class", "urgent")], GOOD_BODY), "interactive or batch"),
        (completion(&[organisation, ("x-deadline-ms", "0")], GOOD_BODY), "from 1 to"),
        (completion(&[organisation, ("x-deadline-ms", "soon")], GOOD_BODY), "milliseconds"),
        (completion(&[organisation, ("x-request-id", "a/b")], GOOD_BODY), "only letters"),
        (completion(&[organisation, ("x-other", &long_key)], GOOD_BODY), "longer than 4096"),
        (completion(&[organisation, organisation], GOOD_BODY), "more than once"),
        (completion(&[organisation], "{"), "not valid"),
        (completion(&[organisation], r#"{"model":"m"}"#), "prompt"),
        (completion(&[organisation], r#"{"model":"","prompt":"a"}"#), "model must have"),
        (completion(&[organisation], r#"{"model":"m","prompt":" "}"#), "prompt must have"),
        (
            completion(&[organisation], r#"{"model":"m","prompt":"a","max_tokens":0}"#),
            "max_tokens must be from 1 to 4096",
        ),
        (
            completion(&[organisation], r#"{"model":"m","prompt":"a","max_tokens":4097}"#),
            "max_tokens must be from 1 to 4096",
        ),
    ];
    with_front_end(|addr, backend| async move {
        for (request, sentence) in cases {
            let answer = send(addr, request).await;
            assert_eq!(answer.status, 400, "{sentence}: {}", answer.body);
            assert!(answer.body.contains(sentence), "{sentence}: {}", answer.body);
            assert_eq!(answer.verdict, Some(Verdict::NotRun), "{sentence}");
            assert!(answer.id.is_some(), "{sentence}");
        }
        assert_eq!(backend.calls.get(), 0);
    });
}

#[test]
fn body_beyond_its_bound_is_refused() {
    with_front_end(|addr, backend| async move {
        let body = format!(r#"{{"model":"m","prompt":"{}"}}"#, "a ".repeat(600_000));
        let answer = send(addr, completion(&[("x-organisation", "o")], &body)).await;
        assert_eq!(answer.status, 400);
        assert_eq!(backend.calls.get(), 0);
    });
}

#[test]
fn regular_requests_reach_the_backend() {
    with_front_end(|addr, backend| async move {
        let answer = send(addr, completion(&[("x-organisation", "o")], GOOD_BODY)).await;
        assert_eq!((answer.status, answer.verdict), (200, Some(Verdict::Ran)));
        assert_eq!(answer.id.as_deref(), Some("node-1"));
        assert!(answer.body.contains(" word"), "{}", answer.body);
        let call = Request::builder()
            .method(Method::POST)
            .uri("/services/registry/filings?draft=1")
            .header("x-organisation", "o")
            .header("host", "test")
            .body(Body::from("text".to_owned()))
            .expect("request is valid");
        let answer = send(addr, call).await;
        assert_eq!((answer.status, answer.verdict), (201, Some(Verdict::Ran)));
        assert_eq!(answer.body, "POST /filings?draft=1");
        assert_eq!(backend.calls.get(), 2);
    });
}

#[test]
fn draining_node_says_not_run_only_if_it_knows() {
    with_front_end(|addr, backend| async move {
        backend.draining.set(true);
        let answer = send(addr, completion(&[("x-organisation", "o")], GOOD_BODY)).await;
        assert_eq!((answer.status, answer.verdict), (503, Some(Verdict::NotRun)));
        assert!(answer.body.contains(&FailureKind::Draining.to_string()), "{}", answer.body);
        let filing = |first: &str| {
            Request::builder()
                .method(Method::POST)
                .uri("/services/registry/filings")
                .header("x-organisation", "o")
                .header("idempotency-key", "key-1")
                .header("x-first-send", first)
                .header("host", "test")
                .body(Body::from("text".to_owned()))
                .expect("request is valid")
        };
        // An earlier send of the key through another node may have run.
        let again = send(addr, filing("false")).await;
        assert_eq!((again.status, again.verdict), (503, Some(Verdict::MayHaveRun)));
        let first = send(addr, filing("true")).await;
        assert_eq!((first.status, first.verdict), (503, Some(Verdict::NotRun)));
        assert_eq!(backend.calls.get(), 0);
    });
}
