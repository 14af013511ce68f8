use http::{HeaderMap, Method, Request};
use transport::Body;

use super::{HOST, KEY, notices::NODE, poison};

/// Path of the readiness check that the platform's load balancer sends to a node.
pub const READY_PATH: &str = "/v1/readyz";

/// Builds a caller's request to `node` with the platform's headers. It asks for `tokens` output
/// tokens and has a deadline of `millis` milliseconds. Its prompt is sound.
pub fn caller_request(path: &str, id: &str, node: &str, tokens: u64, millis: u64) -> Request<Body> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", HOST)
        .header("attempt-id", id)
        .header(NODE, node)
        .header("deadline-ms", millis.to_string())
        .header("authorization", format!("Token {KEY}"))
        .header("token-count", format!("20,{tokens}"))
        .body(Body::from(format!("body of {id}")))
        .expect("request is valid");
    poison::add_sound_parts(request.headers_mut(), id);
    request
}

/// The platform's headers of a caller's request, for tests that write the bytes of a request.
pub fn caller_headers(id: &str) -> String {
    format!("attempt-id: {id}\r\nauthorization: Token {KEY}\r\ndeadline-ms: 30000\r\n")
}

/// Whether an answer has the signature header of a worker.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key("worker-signature")
}
