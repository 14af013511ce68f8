//! The peer crate for the platform's list of VMs, which lags behind the actual state.
//!
//! Invariant: the list is returned as the platform sent it, without the entries that cannot be
//! decoded. This crate must not know what callers conclude from the list.

pub mod api;

use std::{net::SocketAddr, rc::Rc};

use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use transport::{CallError, HttpClient, Timeouts};

/// The platform's list of VMs.
pub trait VmList {
    /// Reads the list.
    fn list(&self) -> LocalBoxFuture<'_, Result<api::VmSnapshot, CallError>>;
}

/// HTTP client of the platform's list of VMs.
pub struct HttpVmList {
    client: HttpClient,
    timeouts: Timeouts,
}

impl HttpVmList {
    /// Creates a client for the list served at `addr`.
    pub fn new(clock: Rc<dyn Clock>, addr: SocketAddr, timeouts: Timeouts) -> HttpVmList {
        HttpVmList { client: HttpClient::new(clock, addr), timeouts }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> LocalBoxFuture<'_, Result<api::VmSnapshot, CallError>> {
        self.client.get_json("/v1/vms", self.timeouts).boxed_local()
    }
}
