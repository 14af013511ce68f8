//! Tests of the gateway between doubles of its peers.

mod gossip;
mod lifecycle;
mod log;
mod support;
