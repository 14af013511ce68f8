//! Turns answers and failures into HTTP responses.

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use transport::{Body, REQUEST_ID_HEADER, VERDICT_HEADER, json_response};
use types::{Failure, FailureKind, RequestId, Verdict};

use crate::CallerResponse;

/// Seconds after which a refused request may be sent again.
const RETRY_AFTER_SECONDS: &str = "1";

/// JSON form of a failure.
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

/// The response for a failed request.
pub(crate) fn failure(failure: &Failure, id: &RequestId) -> Response<Body> {
    let status = status_of(failure.kind);
    let mut response = json_response(status, &ErrorBody::new(failure, id));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let after = HeaderValue::from_static(RETRY_AFTER_SECONDS);
        response.headers_mut().insert(header::RETRY_AFTER, after);
    }
    if failure.kind == FailureKind::Draining {
        // The balancer opens its next connection to another node.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    mark(response, id, Some(failure.verdict))
}

/// The response for the answer of a plain service.
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
    mark(response, id, Some(Verdict::Ran))
}

/// Adds the request identifier and, if it is known yet, the verdict.
pub(crate) fn mark(
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
