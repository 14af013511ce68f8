//! Tests of the gateway between doubles of its peers.

mod lifecycle;
mod news;
mod support;
