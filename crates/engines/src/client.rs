use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Method, Request, header};
use transport::{Body, CallError, EventReader, HttpClient, Timeouts};

use crate::{
    Engine, EventSource, ReceiptCheck, TokenStream,
    api::{CacheEvents, Cancel, Event, Generate, KvCache, Load, Order, OrderReply, Session},
};

/// Largest body of an error response that is read.
const MAX_ERROR_BODY_BYTES: usize = 4096;

/// HTTP client of an engine.
pub struct HttpEngine {
    client: HttpClient,
    timeouts: Timeouts,
}

impl HttpEngine {
    /// Creates a client for the engine at `addr`.
    pub fn new(clock: Rc<dyn Clock>, addr: SocketAddr, timeouts: Timeouts) -> HttpEngine {
        HttpEngine { client: HttpClient::new(clock, addr), timeouts }
    }

    async fn open_stream(self: Rc<Self>, request: Generate) -> Result<TokenStream, CallError> {
        let layers = request.route.last().map_or(0, |stage| stage.layers.end);
        let check = ReceiptCheck::new(&request, layers);
        // Serialization fails only for maps whose keys are not strings; a request holds no maps.
        let payload = serde_json::to_vec(&request).expect("request is serializable");
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/generate")
            .header(header::HOST, "gypsumrack")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::from(payload))
            .expect("request is valid");
        let response = self.client.send(request, self.timeouts).await?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            let body = response.collect(MAX_ERROR_BODY_BYTES, self.timeouts.progress).await?;
            return Err(CallError::Status(status, String::from_utf8_lossy(&body).into_owned()));
        }
        Ok(TokenStream::new(Box::new(HttpEvents { events: EventReader::new(response) }), check))
    }
}

/// The events in the body of a streamed response.
struct HttpEvents {
    events: EventReader,
}

impl EventSource for HttpEvents {
    fn next(&mut self, limit: Duration) -> LocalBoxFuture<'_, Result<Option<Event>, CallError>> {
        async move {
            let Some(data) = self.events.next(limit).await? else { return Ok(None) };
            let event = serde_json::from_slice(&data);
            event.map(Some).map_err(|error| CallError::Malformed(error.to_string()))
        }
        .boxed_local()
    }
}

impl Engine for HttpEngine {
    fn generate(
        self: Rc<Self>,
        request: Generate,
    ) -> LocalBoxFuture<'static, Result<TokenStream, CallError>> {
        self.open_stream(request).boxed_local()
    }

    fn cancel(&self, cancel: Cancel) -> LocalBoxFuture<'_, Result<(), CallError>> {
        async move { self.client.post_json("/v1/cancel", &cancel, self.timeouts).await }
            .boxed_local()
    }

    fn load(&self) -> LocalBoxFuture<'_, Result<Load, CallError>> {
        self.client.get_json("/v1/load", self.timeouts).boxed_local()
    }

    fn cache_events(&self, after: u64) -> LocalBoxFuture<'_, Result<CacheEvents, CallError>> {
        async move {
            let path = format!("/v1/cache-events?after={after}");
            self.client.get_json(&path, self.timeouts).await
        }
        .boxed_local()
    }

    fn export_kv(&self, session: &str) -> LocalBoxFuture<'_, Result<KvCache, CallError>> {
        let session = Session { session: session.into() };
        async move { self.client.post_json("/v1/kv/export", &session, self.timeouts).await }
            .boxed_local()
    }

    fn import_kv(&self, cache: KvCache) -> LocalBoxFuture<'_, Result<(), CallError>> {
        async move { self.client.post_json("/v1/kv/import", &cache, self.timeouts).await }
            .boxed_local()
    }

    fn drop_idle(&self) {
        self.client.close_idle();
    }

    fn order<'a>(
        &'a self,
        order: Order,
        guard: &'a dyn Fn() -> bool,
    ) -> LocalBoxFuture<'a, Result<OrderReply, CallError>> {
        async move {
            // An order is sent over a new connection: a connection that was open before a pause of
            // the process could still hold bytes of an older order.
            self.client.post_json_guarded("/v1/orders", &order, self.timeouts, guard).await
        }
        .boxed_local()
    }
}
