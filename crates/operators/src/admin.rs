use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use transport::{Body, Handler, RequestBody, json_response};

use crate::{AdminApi, api::Readiness};

/// The HTTP interface for operators.
pub struct AdminServer<C> {
    admin: Rc<C>,
}

impl<C: AdminApi + 'static> AdminServer<C> {
    /// Creates the interface of a node.
    pub fn new(admin: Rc<C>) -> AdminServer<C> {
        AdminServer { admin }
    }

    async fn answer(self: Rc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/healthz") => json_response(StatusCode::OK, &"ok"),
            (&Method::GET, "/readyz") => {
                let readiness = self.admin.readiness();
                let status = if readiness == Readiness::Ready {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                json_response(status, &readiness)
            }
            (&Method::GET, "/status") => json_response(StatusCode::OK, &self.admin.status()),
            (&Method::GET, "/fleet") => json_response(StatusCode::OK, &self.admin.fleet().await),
            (&Method::GET, "/metrics") => metrics(self.admin.metrics()),
            (&Method::POST, "/drain") => {
                self.admin.drain();
                json_response(StatusCode::ACCEPTED, &"draining")
            }
            (&Method::GET, path) => match path.strip_prefix("/explain/") {
                Some(id) => json_response(StatusCode::OK, &self.admin.explain(id).await),
                None => json_response(StatusCode::NOT_FOUND, &"no such path"),
            },
            _ => json_response(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}

impl<C: AdminApi + 'static> Handler for AdminServer<C> {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        self.answer(request).boxed_local()
    }
}

fn metrics(text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
