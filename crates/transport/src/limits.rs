//! Limits on what the callers of a server may use.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::held::FREE_BYTES;

/// Memory that is counted for a connection: the buffers of the HTTP library and of the runtime, the
/// head of the request with the copies that are made of its headers, and the first bytes of the
/// request's body and of its answer.
const CONNECTION_BYTES: usize = (64 << 10) + 2 * FREE_BYTES;
/// Largest part of the memory that connections may take, as a fraction. The rest is for bodies.
const CONNECTION_SHARE: (usize, usize) = (1, 2);

/// Limits on what the callers of a server may use. The default has none on memory and
/// connections, for servers whose peers are trusted.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Bytes that are held for callers: heads, bodies, answers and buffers.
    pub memory: usize,
    /// Open connections.
    pub max_connections: usize,
    /// Largest head of a request, with the empty lines before it, in bytes; `None` for the limit of
    /// the HTTP library.
    pub head_bytes: Option<usize>,
    /// Size of the receive buffer and of the send buffer of each connection in the kernel, in bytes;
    /// `None` for those that the kernel chooses. The kernel takes up to twice as much for each.
    pub socket_bytes: Option<usize>,
    /// Time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Time for which a connection may be idle between two requests.
    pub idle_time: Duration,
    /// Time for which a body may make no progress.
    pub body_pause: Duration,
    /// Least rate of a body in bytes per second, averaged over its whole time. It applies to the
    /// bodies that need more memory than is counted with their connection.
    pub body_rate: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            memory: usize::MAX,
            max_connections: usize::MAX,
            head_bytes: None,
            socket_bytes: None,
            head_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(30),
            body_pause: Duration::from_secs(30),
            body_rate: 0,
        }
    }
}

impl ServerLimits {
    /// Connections that may be open: as many as the limit says, but only so many that the rest of
    /// the memory is enough for bodies.
    pub fn connection_limit(&self) -> usize {
        let memory = self.memory / CONNECTION_SHARE.1 * CONNECTION_SHARE.0;
        self.max_connections.min(memory / CONNECTION_BYTES).max(1)
    }

    /// Bytes of the memory that are left for bodies when all connections are open.
    pub fn body_memory(&self) -> usize {
        self.memory.saturating_sub(self.connection_limit().saturating_mul(CONNECTION_BYTES))
    }
}

/// Why a caller's request was refused or its connection closed for a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// No further connection may be open, and none could be closed instead.
    Connections,
    /// The connection was closed to make room for a new one.
    Displaced,
    /// The head of a request is too long.
    HeadSize,
    /// The head of a request did not arrive in time.
    HeadTime,
    /// The connection was idle for too long.
    IdleTime,
    /// There was no memory for the body of a request.
    Memory,
    /// The body of a request was ended to make room for others.
    Evicted,
    /// The body of a request made too little progress.
    BodyTime,
    /// The caller did not take its answer while others needed the memory.
    Unread,
}
