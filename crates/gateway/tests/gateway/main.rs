//! Tests of the gateway with test doubles in place of its peers.

mod datagrams;
mod leaving;
mod lifecycle;
mod log;
mod pauses;
mod planner;
mod silence;
mod support;
