//! Tests at-most-once execution while the key-value service fails and nodes are paused.

mod admission;
mod interleavings;
mod simulation;
