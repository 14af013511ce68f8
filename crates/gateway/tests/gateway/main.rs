//! Tests of the gateway between doubles of its peers.

mod lifecycle;
mod log;
mod support;
mod updates;
