use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use transport::{Body, Handler, RequestBody, json_response};

use crate::{AdminApi, api::Readiness};

/// Serves the operators' HTTP API of a node.
pub struct AdminServer<A> {
    node: Rc<A>,
}

impl<A: AdminApi + 'static> AdminServer<A> {
    /// Creates the server of a node's API.
    pub fn new(node: Rc<A>) -> AdminServer<A> {
        AdminServer { node }
    }

    async fn respond(self: Rc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/healthz") => json_response(StatusCode::OK, &"ok"),
            (&Method::GET, "/readyz") => {
                let readiness = self.node.readiness();
                let status = if readiness == Readiness::Ready {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                json_response(status, &readiness)
            }
            (&Method::GET, "/status") => json_response(StatusCode::OK, &self.node.status()),
            (&Method::GET, "/fleet") => json_response(StatusCode::OK, &self.node.fleet().await),
            (&Method::GET, "/metrics") => metrics_response(self.node.metrics()),
            (&Method::POST, "/drain") => {
                self.node.drain();
                json_response(StatusCode::ACCEPTED, &"draining")
            }
            (&Method::GET, path) => match path.strip_prefix("/explain/") {
                Some(id) => json_response(StatusCode::OK, &self.node.explain(id).await),
                None => json_response(StatusCode::NOT_FOUND, &"no such path"),
            },
            _ => json_response(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}

impl<A: AdminApi + 'static> Handler for AdminServer<A> {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        self.respond(request).boxed_local()
    }
}

fn metrics_response(text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
