use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Faults of a model engine, set as a whole by `POST /control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Stops all work; connections stay open.
    pub hang: bool,
    /// Stops all work but still answers calls, so that the load report looks healthy.
    pub stall: bool,
    /// Refuses to export and import KV caches.
    pub refuse_kv: bool,
    /// Multiplies the time of each step; zero means one.
    pub slowdown: u32,
    /// Delay of each handoff to the given address, in microseconds.
    pub link_micros: BTreeMap<SocketAddr, u64>,
    /// Delay of each handoff to other addresses, in microseconds.
    pub handoff_micros: u64,
    /// Sends every handoff twice.
    pub duplicate: bool,
    /// Drops every n-th handoff; zero means none.
    pub drop_every: u32,
    /// Skips the last layer of the range but reports it as run.
    pub skip_layer: bool,
    /// Reports a wrong layer range.
    pub wrong_receipt: bool,
    /// Ends the process when a prompt contains this text.
    pub crash_on: Option<String>,
    /// Ends the process when this many more tokens have been run.
    pub crash_after: Option<u32>,
    /// Reports that the engine is about to leave.
    pub leaving: bool,
    /// Never answers on connections that are open now.
    pub silence_open: bool,
    /// Drops this share of cache events, in percent.
    pub event_loss: u32,
}
