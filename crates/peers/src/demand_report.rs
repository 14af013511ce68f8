//! Reports of the requests that a node has in flight and waiting.

use serde::{Deserialize, Serialize};
use types::{NodeName, Organisation, ServiceName};

use crate::{Datagram, MAX_DATAGRAM_BYTES, load_part::encoded_bytes};

/// Bytes of a datagram beside the node and the services: its kind and the number of services.
const OVERHEAD_BYTES: usize = 2;

/// Requests of the sender. A report replaces the earlier one of the same node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The sender.
    pub node: NodeName,
    /// By service.
    pub services: Vec<ServiceReport>,
}

/// Requests of the sender to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// By priority.
    pub priorities: Vec<(u32, RequestCount)>,
    /// By organisation, the largest ones.
    pub organisations: Vec<(Organisation, RequestCount)>,
    /// Of all other callers.
    pub others: RequestCount,
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for capacity.
    pub waiting: u32,
}

impl Datagram {
    /// Puts a report into a datagram. Services that do not fit are left out, the last ones first.
    pub fn of_demand(mut report: DemandReport) -> Datagram {
        let services = std::mem::take(&mut report.services);
        let mut free = MAX_DATAGRAM_BYTES.saturating_sub(encoded_bytes(&report) + OVERHEAD_BYTES);
        for service in services {
            let Some(left) = free.checked_sub(encoded_bytes(&service)) else { break };
            free = left;
            report.services.push(service);
        }
        Datagram::Demand(report)
    }
}
