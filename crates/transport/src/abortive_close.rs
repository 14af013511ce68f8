//! Connections that are reset when they are closed.

use std::time::Duration;

use compio::net::TcpStream;
use rustix::net::sockopt;

/// Makes the kernel reset a connection when it closes its socket, also at the end of the process.
pub(crate) struct AbortiveClose {
    socket: TcpStream,
    is_set: bool,
}

impl AbortiveClose {
    /// Leaves the connection as it is: it is ended when it is closed.
    pub(crate) fn new(socket: TcpStream) -> AbortiveClose {
        AbortiveClose { socket, is_set: false }
    }

    pub(crate) fn is_set(&self) -> bool {
        self.is_set
    }

    /// Sets whether the connection is reset when it is closed.
    pub(crate) fn set(&mut self, is_set: bool) {
        if self.is_set == is_set {
            return;
        }
        // Closing a socket that does not linger at all resets its connection.
        let linger = is_set.then_some(Duration::ZERO);
        match sockopt::set_socket_linger(&self.socket, linger) {
            Ok(()) => self.is_set = is_set,
            Err(error) => tracing::warn!(%error, "close mode of a connection cannot be set"),
        }
    }
}
