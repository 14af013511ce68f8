use http::{HeaderMap, Method, Request};
use transport::Body;

use super::{HOST, KEY};

/// Path of the balancer's check of a node.
pub const READY_PATH: &str = "/v1/readyz";

/// A request of the platform's dialect that asks for `tokens` of output and may take `millis`.
pub fn caller_request(path: &str, id: &str, tokens: u64, millis: u64) -> Request<Body> {
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", HOST)
        .header("attempt-id", id)
        .header("deadline-ms", millis.to_string())
        .header("authorization", format!("Token {KEY}"))
        .header("token-count", format!("20,{tokens}"))
        .body(Body::from(format!("body of {id}")))
        .expect("request is valid")
}

/// Whether an answer bears the signature of a worker.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key("worker-signature")
}
