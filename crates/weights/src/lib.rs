//! The peer crate for the platform's weight store, from which engines load model weights. The
//! store limits the rate of loads, so the router requests a permit for each load before it orders
//! an engine to load the weights.
//!
//! Invariant: no load is ordered without a permit. This crate must not know which loads are
//! needed.

pub mod api;

use std::{net::SocketAddr, rc::Rc};

use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use transport::{CallError, HttpClient, Timeouts};

/// The platform's weight store.
pub trait WeightStore {
    /// Requests a permit to load `weights` now.
    fn permit(&self, weights: api::Weights) -> LocalBoxFuture<'_, Result<api::Permit, CallError>>;
}

/// HTTP client of the weight store.
pub struct HttpWeightStore {
    client: HttpClient,
    timeouts: Timeouts,
}

impl HttpWeightStore {
    /// Creates a client for the store at `addr`.
    pub fn new(clock: Rc<dyn Clock>, addr: SocketAddr, timeouts: Timeouts) -> HttpWeightStore {
        HttpWeightStore { client: HttpClient::new(clock, addr), timeouts }
    }
}

impl WeightStore for HttpWeightStore {
    fn permit(&self, weights: api::Weights) -> LocalBoxFuture<'_, Result<api::Permit, CallError>> {
        async move { self.client.post_json("/v1/permits", &weights, self.timeouts).await }
            .boxed_local()
    }
}
