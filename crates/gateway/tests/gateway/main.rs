//! Tests of the gateway between doubles of its peers.

mod lifecycle;
mod log;
mod news;
mod support;
