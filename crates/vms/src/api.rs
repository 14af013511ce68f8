//! Messages of the list's HTTP API.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::Display;
use types::{Domain, ServiceName};

/// `GET /v1/vms`: the list as the platform knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// Number that grows with each change of the list.
    pub version: u64,
    /// All VMs.
    pub vms: Vec<Vm>,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name, unique over the fleet.
    pub name: String,
    /// Address of what runs there.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// What runs there.
    pub role: VmRole,
    /// Whether the VM is about to leave.
    pub leaving: bool,
}

/// What runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmRole {
    /// A node of the router; the address is that of its port for other nodes.
    Node,
    /// A model engine.
    Engine,
    /// A replica of the named plain service.
    Service(ServiceName),
}
