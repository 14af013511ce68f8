//! Encodes results and failures as HTTP responses.

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use transport::{Body, REQUEST_ID_HEADER, VERDICT_HEADER, json_response};
use types::{Failure, FailureKind, RequestId, Verdict};

use crate::CallerResponse;

/// Value of the `retry-after` header of a refused request, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// JSON body of the response to a failed request.
#[derive(Serialize)]
pub(crate) struct ErrorBody {
    pub(crate) error: ErrorDetail,
}

#[derive(Serialize)]
pub(crate) struct ErrorDetail {
    message: String,
    #[serde(rename = "type")]
    kind: FailureKind,
    verdict: Verdict,
    request_id: RequestId,
}

impl ErrorBody {
    pub(crate) fn new(failure: &Failure, id: &RequestId) -> ErrorBody {
        let error = ErrorDetail {
            message: failure.message.clone(),
            kind: failure.kind,
            verdict: failure.verdict,
            request_id: id.clone(),
        };
        ErrorBody { error }
    }
}

/// Creates the response to a failed request.
pub(crate) fn failure_response(failure: &Failure, id: &RequestId) -> Response<Body> {
    let status = status_of(failure.kind);
    let mut response = json_response(status, &ErrorBody::new(failure, id));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let retry_after = HeaderValue::from_static(RETRY_AFTER_SECONDS);
        response.headers_mut().insert(header::RETRY_AFTER, retry_after);
    }
    if failure.kind == FailureKind::Draining {
        // Closing the connection makes the load balancer open its next one to another node.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    add_headers(response, id, Some(failure.verdict))
}

/// Creates the response to a call of a plain service.
pub(crate) fn caller_response(reply: CallerResponse, id: &RequestId) -> Response<Body> {
    let mut response = Response::new(Body::from(reply.body));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = reply.content_type.and_then(|text| HeaderValue::try_from(text).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    if reply.replayed {
        let name = HeaderName::from_static("x-replayed");
        response.headers_mut().insert(name, HeaderValue::from_static("true"));
    }
    add_headers(response, id, Some(Verdict::Ran))
}

/// Adds the headers for the request identifier and, if it is already known, the verdict.
pub(crate) fn add_headers(
    mut response: Response<Body>,
    id: &RequestId,
    verdict: Option<Verdict>,
) -> Response<Body> {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::try_from(id.as_str()) {
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
    }
    if let Some(verdict) = verdict {
        let value = HeaderValue::from_static(verdict.into());
        headers.insert(HeaderName::from_static(VERDICT_HEADER), value);
    }
    response
}

fn status_of(kind: FailureKind) -> StatusCode {
    match kind {
        FailureKind::Invalid => StatusCode::BAD_REQUEST,
        FailureKind::NotFound => StatusCode::NOT_FOUND,
        FailureKind::KeyMismatch | FailureKind::Poison => StatusCode::UNPROCESSABLE_ENTITY,
        FailureKind::Overloaded
        | FailureKind::Unavailable
        | FailureKind::StoreUnavailable
        | FailureKind::Draining => StatusCode::SERVICE_UNAVAILABLE,
        FailureKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
        FailureKind::Upstream => StatusCode::BAD_GATEWAY,
        FailureKind::OutcomeUnknown => StatusCode::CONFLICT,
    }
}
