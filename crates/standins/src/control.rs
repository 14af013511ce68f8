use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Faults of a model engine. `POST /control` replaces all of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Stops all work. New token streams get no events and other calls than `POST /control` no
    /// answer; connections stay open.
    pub hang: bool,
    /// Stops all work but still answers calls, so that the engine's load report looks healthy.
    pub stall: bool,
    /// Refuses to export and import KV caches.
    pub refuse_kv: bool,
    /// Factor by which each step takes longer; zero counts as one.
    pub slowdown: u32,
    /// Delay of each handoff to the given address, in microseconds.
    pub link_micros: BTreeMap<SocketAddr, u64>,
    /// Delay of each handoff to other addresses, in microseconds.
    pub handoff_micros: u64,
    /// Sends every handoff twice.
    pub duplicate: bool,
    /// Drops every n-th handoff; zero means none.
    pub drop_every: u32,
    /// Skips the last layer of the engine's range but reports it as run.
    pub skip_layer: bool,
    /// Reports a wrong layer range in the receipts.
    pub wrong_receipt: bool,
    /// Aborts the process when a prompt contains this text.
    pub crash_on: Option<String>,
    /// Aborts the process after this many more positions have run.
    pub crash_after: Option<u32>,
    /// Reports that the engine is about to leave, and refuses new token streams.
    pub leaving: bool,
    /// Stops answering on the connections that are open when the fault is set.
    pub silence_open: bool,
    /// Drops this share of cache events, in percent.
    pub event_loss: u32,
}
