//! The platform's weight store. It permits one load of model weights per interval.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use clock::{Clock, Timestamp};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Method, Request, Response, StatusCode};
use transport::{Body, Handler, RequestBody};
use weights::api::{Permit, Weights};

use crate::server::{self, bad_request, reply};

/// Settings of the weight store.
#[derive(Clone, Debug, clap::Args)]
pub struct WeightsArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Shortest time between two permits, in milliseconds.
    #[arg(long, default_value_t = 100)]
    pub interval_millis: u64,
}

struct WeightStore {
    args: WeightsArgs,
    clock: Rc<dyn Clock>,
    next_permit: RefCell<Timestamp>,
}

/// Runs the weight store until the process ends.
pub async fn run(clock: Rc<dyn Clock>, args: WeightsArgs) -> std::io::Result<()> {
    let addr = args.listen;
    let store =
        Rc::new(WeightStore { args, clock: clock.clone(), next_permit: RefCell::default() });
    server::serve(clock, addr, store).await
}

impl Handler for WeightStore {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        self.answer(request).boxed_local()
    }
}

impl WeightStore {
    async fn answer(self: Rc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let (head, body) = request.into_parts();
        if (&head.method, head.uri.path()) != (&Method::POST, "/v1/permits") {
            return reply::<()>(Err((StatusCode::NOT_FOUND, "no such path".into())));
        }
        match body.json::<Weights>().await {
            Ok(_) => reply(Ok(self.permit())),
            Err(message) => reply::<()>(Err(bad_request(message))),
        }
    }

    fn permit(&self) -> Permit {
        let now = self.clock.now();
        let mut next_permit = self.next_permit.borrow_mut();
        if now < *next_permit {
            return Permit::RetryAfterMillis(next_permit.since(now).as_millis() as u64 + 1);
        }
        *next_permit = now + Duration::from_millis(self.args.interval_millis);
        Permit::Granted
    }
}
