use std::{net::SocketAddr, rc::Rc};

use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderValue, Request, header};
use transport::{Body, CallError, HttpClient, Timeouts};
use types::MAX_BODY_BYTES;

use crate::{Service, ServiceCall, ServiceResponse};

/// HTTP client of a replica of a plain service.
pub struct HttpService {
    client: HttpClient,
    timeouts: Timeouts,
}

impl HttpService {
    /// Creates a client for the replica at `addr`.
    pub fn new(clock: Rc<dyn Clock>, addr: SocketAddr, timeouts: Timeouts) -> HttpService {
        HttpService { client: HttpClient::new(clock, addr), timeouts }
    }

    async fn send_once(&self, call: ServiceCall) -> Result<ServiceResponse, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .body(Body::from(call.body))
            .map_err(|error| CallError::Connect(format!("call is not valid: {error}")))?;
        *request.headers_mut() = call.headers;
        let host = HeaderValue::from_static("gypsumrack");
        request.headers_mut().insert(header::HOST, host);
        let response = self.client.send_on_new_connection(request, self.timeouts).await?;
        let status = response.status();
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(String::from);
        let body = response.collect(MAX_BODY_BYTES, self.timeouts.progress).await?;
        Ok(ServiceResponse { status, content_type, body })
    }
}

impl Service for HttpService {
    fn call(&self, call: ServiceCall) -> LocalBoxFuture<'_, Result<ServiceResponse, CallError>> {
        self.send_once(call).boxed_local()
    }

    fn ping(&self) -> LocalBoxFuture<'_, Result<(), CallError>> {
        async move {
            let call = ServiceCall {
                method: http::Method::GET,
                path: "/healthz".into(),
                headers: http::HeaderMap::new(),
                body: bytes::Bytes::new(),
            };
            let response = self.send_once(call).await?;
            if response.status.is_success() {
                return Ok(());
            }
            Err(CallError::Status(response.status.as_u16(), String::new()))
        }
        .boxed_local()
    }
}
