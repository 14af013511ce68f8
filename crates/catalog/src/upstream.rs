use std::{net::SocketAddr, sync::Arc};

use types::{Domain, LayerRange, ServiceName, UpstreamName};

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new requests.
    Serving,
    /// It is about to leave and accepts no new requests.
    Leaving,
}

/// One upstream, as its entry in the registry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name. A restarted process may register under the same name again.
    pub name: UpstreamName,
    /// Start time of its process in Unix milliseconds. It distinguishes processes that registered
    /// under the same name.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address of its API.
    pub addr: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Domain,
    /// Number of requests that it can run at once. For an engine, only the requests that enter
    /// their path through it are counted.
    pub capacity: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// Name of the kind of its accelerator, if it is a model engine.
    pub accelerator_kind: Option<Arc<str>>,
    /// Layers that it holds, if it is a model engine that has loaded some.
    pub layers: Option<LayerRange>,
}

impl Upstream {
    /// Whether both entries describe the same process: same name, start time and address.
    pub fn is_same_incarnation(&self, other: &Upstream) -> bool {
        self.name == other.name && self.incarnation == other.incarnation && self.addr == other.addr
    }
}
