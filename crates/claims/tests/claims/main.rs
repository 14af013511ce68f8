//! At-most-once decisions under faults of the key-value service and pauses of nodes.

mod admission;
mod interleavings;
mod world;
