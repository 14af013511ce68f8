//! Messages of the HTTP API of the platform's list of VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use strum::Display;
use types::{Domain, ServiceName};

/// `GET /v1/vms`: the list of VMs as the platform knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// Number that grows with each change of the list.
    pub version: u64,
    /// All VMs, without those that cannot be decoded.
    #[serde(deserialize_with = "decode_vms")]
    pub vms: Vec<Vm>,
}

/// Decodes the VMs of a list. One that cannot be decoded is logged and left out.
fn decode_vms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Vm>, D::Error> {
    let raw_vms = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let decode = |raw: Box<RawValue>| match serde_json::from_str(raw.get()) {
        Ok(vm) => Some(vm),
        Err(error) => {
            tracing::warn!(%error, "entry of the list of VMs cannot be decoded");
            None
        }
    };
    Ok(raw_vms.into_iter().filter_map(decode).collect())
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name, unique in the fleet.
    pub name: String,
    /// Address of the process that runs on the VM.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Kind of the process that runs on the VM.
    pub role: VmRole,
    /// Whether the VM is about to leave the fleet.
    pub leaving: bool,
}

/// Kind of the process that runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmRole {
    /// A node of the router. Its address is the one on which it accepts other nodes' connections.
    Node,
    /// A model engine.
    Engine,
    /// A replica of the named plain service.
    Service(ServiceName),
}
