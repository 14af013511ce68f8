use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::UpstreamName;

/// A half-open range of model layers, `start..end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer in the range.
    pub start: u32,
    /// The layer after the last one in the range.
    pub end: u32,
}

impl LayerRange {
    /// Number of layers in the range.
    pub fn len(self) -> u32 {
        self.end.saturating_sub(self.start)
    }

    /// Whether the range contains no layers.
    pub fn is_empty(self) -> bool {
        self.end <= self.start
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}

/// One stage of a pipeline: an engine and the range of layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// Name of the engine.
    pub engine: UpstreamName,
    /// Address of the engine's API.
    pub addr: SocketAddr,
    /// Layers that the engine runs.
    pub layers: LayerRange,
}

/// Checks that `ranges`, in this order, cover each of the layers `0..layers` exactly once.
pub fn check_coverage(
    ranges: impl IntoIterator<Item = LayerRange>,
    layers: u32,
) -> Result<(), String> {
    let mut next = 0;
    for range in ranges {
        if range.is_empty() {
            return Err(format!("layer range {range} is empty"));
        }
        if range.start != next {
            return Err(format!("expected layer {next} next, but the range is {range}"));
        }
        next = range.end;
    }
    if next != layers {
        return Err(format!("layers {next}..{layers} did not run"));
    }
    Ok(())
}
