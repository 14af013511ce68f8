//! The peer crate for the platform's weight store, from which engines load model weights. The
//! store is rate-limited, so the router asks it for permits before it orders loads.
//!
//! Invariant: without a permit no load is ordered. This crate must not know which loads are
//! needed.

pub mod api;

use std::{net::SocketAddr, rc::Rc};

use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use transport::{CallError, HttpClient, Timeouts};

/// The platform's weight store.
pub trait WeightStore {
    /// Asks whether a load of these weights may start now.
    fn permit(&self, wanted: api::Weights) -> LocalBoxFuture<'_, Result<api::Permit, CallError>>;
}

/// The weight store, reached over HTTP.
pub struct HttpWeightStore {
    client: HttpClient,
    timeouts: Timeouts,
}

impl HttpWeightStore {
    /// Creates a client of the store at `addr`.
    pub fn new(clock: Rc<dyn Clock>, addr: SocketAddr, timeouts: Timeouts) -> HttpWeightStore {
        HttpWeightStore { client: HttpClient::new(clock, addr), timeouts }
    }
}

impl WeightStore for HttpWeightStore {
    fn permit(&self, wanted: api::Weights) -> LocalBoxFuture<'_, Result<api::Permit, CallError>> {
        async move { self.client.post_json("/v1/permits", &wanted, self.timeouts).await }
            .boxed_local()
    }
}
