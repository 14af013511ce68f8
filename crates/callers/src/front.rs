use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Request, Response, request::Parts};
use transport::{Body, Handler, RequestBody};
use types::{Failure, FailureKind, MAX_NAME_BYTES, RequestId, Verdict};

use crate::{RequestContext, RequestHandler, ServiceRequest, completions, headers, respond};

/// The HTTP front end for callers.
pub struct FrontEnd<B> {
    backend: Rc<B>,
}

impl<B: RequestHandler + 'static> FrontEnd<B> {
    /// Creates a front end.
    pub fn new(backend: Rc<B>) -> FrontEnd<B> {
        FrontEnd { backend }
    }

    async fn handle_request(self: Rc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let id = match headers::read_request_id(&head.headers) {
            Ok(id) => id.unwrap_or_else(|| self.backend.new_request_id()),
            Err(message) => return invalid(message, &self.backend.new_request_id()),
        };
        match self.route(&head, body, &id).await {
            Ok(response) => response,
            Err(failure) => respond::failure_response(&failure, &id),
        }
    }

    async fn route(
        &self,
        head: &Parts,
        body: RequestBody,
        id: &RequestId,
    ) -> Result<Response<Body>, Failure> {
        let maybe_resend =
            head.uri.path().starts_with("/services/") && headers::may_be_resend(&head.headers);
        let verdict = if maybe_resend { Verdict::MayHaveRun } else { Verdict::NotRun };
        let invalid = |message| Failure::new(FailureKind::Invalid, verdict, message);
        let caller = headers::read_caller(&head.headers, id.clone()).map_err(invalid)?;
        if let Some(service_and_path) = head.uri.path().strip_prefix("/services/") {
            let request = self.service_request(head, service_and_path, caller).map_err(invalid)?;
            return self.call_service(request, body, id).await;
        }
        if head.uri.path() != "/v1/completions" {
            return Err(Failure::not_run(FailureKind::NotFound, "no such path"));
        }
        if head.method != http::Method::POST {
            return Err(invalid("completions are requested with POST".into()));
        }
        self.check_accepting()?;
        let body = body.collect().await.map_err(invalid)?;
        Ok(completions::handle(self.backend.clone(), caller, body).await)
    }

    fn service_request(
        &self,
        head: &Parts,
        service_and_path: &str,
        caller: RequestContext,
    ) -> Result<ServiceRequest, String> {
        let (service, _) = service_and_path.split_once('/').unwrap_or((service_and_path, ""));
        if service.is_empty() || service.len() > MAX_NAME_BYTES {
            return Err(format!("the service's name must have 1 to {MAX_NAME_BYTES} bytes"));
        }
        let path_and_query = head.uri.path_and_query().map_or("", |path| path.as_str());
        let prefix_length = "/services/".len() + service.len();
        let path = path_and_query.get(prefix_length..).unwrap_or_default();
        let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
        Ok(ServiceRequest {
            caller,
            service: service.into(),
            method: head.method.clone(),
            path,
            headers: headers::forwarded_headers(&head.headers),
            body: bytes::Bytes::new(),
            key: headers::read_idempotency_key(&head.headers)?,
            first_send: headers::read_first_send(&head.headers)?,
        })
    }

    async fn call_service(
        &self,
        mut request: ServiceRequest,
        body: RequestBody,
        id: &RequestId,
    ) -> Result<Response<Body>, Failure> {
        self.check_accepting().map_err(|failure| request.refusal(failure))?;
        request.body = body
            .collect()
            .await
            .map_err(|message| request.refusal(Failure::not_run(FailureKind::Invalid, message)))?;
        let reply = self.backend.clone().call_service(request).await?;
        Ok(respond::caller_response(reply, id))
    }

    fn check_accepting(&self) -> Result<(), Failure> {
        if self.backend.is_accepting() {
            return Ok(());
        }
        Err(Failure::not_run(FailureKind::Draining, "the node is shutting down"))
    }
}

impl<B: RequestHandler + 'static> Handler for FrontEnd<B> {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        self.handle_request(request).boxed_local()
    }
}

fn invalid(message: String, id: &RequestId) -> Response<Body> {
    respond::failure_response(&Failure::not_run(FailureKind::Invalid, message), id)
}
