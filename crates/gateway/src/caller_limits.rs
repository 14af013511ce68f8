//! Limits on callers, from the memory and the descriptors of the machine.

use std::{rc::Rc, time::Duration};

use catalog::RoutingTable;
use settings::LimitSettings;
use transport::{IdleLimit, ServerLimits};

/// Share of the memory of the machine that is held for callers, as a fraction. The rest is for the
/// process itself, the buffers of connections to upstreams, and memory that the allocator keeps.
const MEMORY_SHARE: f64 = 3.0 / 8.0;
/// Descriptors that are kept for files, and the largest share of all that this may be.
const FILE_FDS: f64 = 200.0;
const FILE_SHARE: f64 = 1.0 / 4.0;
/// Share of the other descriptors that callers may take. Each request needs one for its upstream.
const CALLER_SHARE: f64 = 1.0 / 3.0;
/// Share of them that idle connections to upstreams may take. The rest is for the key-value service
/// and the health port.
const IDLE_SHARE: f64 = 1.0 / 4.0;
/// Size of the kernel's buffers of a caller's connection in each direction, in bytes. Bytes that were
/// received and not yet read, or not yet taken by the caller, use the memory of the machine too.
const SOCKET_BYTES: usize = 32 << 10;
/// Connections to the health port. The balancer and an operator use a few.
const HEALTH_CONNECTIONS: usize = 16;

/// The limits of the port for callers.
pub(crate) fn caller_limits(settings: &LimitSettings) -> ServerLimits {
    ServerLimits {
        // The settings are checked, so both values are in the range of the type.
        memory: (settings.ram_mb * MEMORY_SHARE * f64::from(1 << 20)) as usize,
        max_connections: (connection_fds(settings) * CALLER_SHARE) as usize,
        head_bytes: Some(settings.head_bytes),
        socket_bytes: Some(SOCKET_BYTES),
        head_time: Duration::from_millis(settings.head_ms),
        idle_time: Duration::from_millis(settings.idle_ms),
        body_pause: Duration::from_millis(settings.body_pause_ms),
        body_rate: settings.body_rate,
    }
}

/// The limits of the port for health checks and metrics.
pub(crate) fn health_limits(settings: &LimitSettings) -> ServerLimits {
    let limits = caller_limits(settings);
    ServerLimits { max_connections: HEALTH_CONNECTIONS.min(limits.max_connections), ..limits }
}

/// Warns if callers may send more by the configuration than this node takes.
pub(crate) fn check_table(settings: &LimitSettings, table: &RoutingTable) {
    let memory = caller_limits(settings).body_memory();
    if table.max_head_bytes > settings.head_bytes || table.max_body_bytes > memory / 2 {
        tracing::warn!(
            max_head = table.max_head_bytes,
            max_body = table.max_body_bytes,
            head_bytes = settings.head_bytes,
            memory,
            "callers may send more by the configuration than this node takes"
        );
    }
}

/// The limit on idle connections to all upstreams together.
pub fn idle_limit(settings: &LimitSettings) -> Rc<IdleLimit> {
    IdleLimit::new((connection_fds(settings) * IDLE_SHARE) as usize)
}

/// Descriptors that are left for connections.
fn connection_fds(settings: &LimitSettings) -> f64 {
    settings.max_fds - FILE_FDS.min(settings.max_fds * FILE_SHARE)
}
