//! Tests of the gateway with test doubles in place of its peers.

mod crashing_parts;
mod datagrams;
mod lifecycle;
mod log;
mod planner;
mod support;
