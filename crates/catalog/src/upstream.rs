use std::{net::SocketAddr, sync::Arc};

use types::{Domain, LayerRange, ServiceName, UpstreamName};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes new work.
    Serving,
    /// It is about to leave and takes no new work.
    Leaving,
}

/// One upstream as the registry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Identifier; it may come back for another start of the process.
    pub name: UpstreamName,
    /// Start of its process in Unix milliseconds, which tells two starts under one name apart.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address of its API.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Kind of its accelerator, for a model engine.
    pub accelerator: Option<Arc<str>>,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
}

impl Upstream {
    /// Whether both describe the same start of the same process.
    pub fn is_same_incarnation(&self, other: &Upstream) -> bool {
        self.name == other.name && self.incarnation == other.incarnation && self.addr == other.addr
    }
}
