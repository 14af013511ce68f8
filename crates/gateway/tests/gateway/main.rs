//! Tests of the gateway with test doubles in place of its peers.

mod config_changes;
mod crash_evidence;
mod crashing_parts;
mod crashing_requests;
mod cut_off;
mod datagrams;
mod entries;
mod explain;
mod fleet_load;
mod leaving;
mod lifecycle;
mod log;
mod overload;
mod path_targets;
mod pauses;
mod planner;
mod rate_limits;
mod replicas;
mod retry_budget;
mod silence;
mod silent_store;
mod stopping;
mod stream_ends;
mod support;
mod waiting_at_stop;
