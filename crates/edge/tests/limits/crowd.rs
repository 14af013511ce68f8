//! Callers that do not keep to the limits.

use std::{
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::node::Node;

/// Time without progress of any caller after which the crowd has sent what it can.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Pause after a round in which no caller could send.
const ROUND_PAUSE: Duration = Duration::from_millis(5);
/// Time to connect. A caller that is not let in by then is left out of the crowd.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);

/// What a caller sends, piece by piece.
pub(crate) type Script = Box<dyn Iterator<Item = Vec<u8>>>;

/// Callers on connections of their own. They never read and never close their connections.
pub(crate) struct Crowd {
    callers: Vec<BadCaller>,
}

struct BadCaller {
    stream: TcpStream,
    script: Script,
    piece: Vec<u8>,
    sent: usize,
    has_ended: bool,
}

impl Crowd {
    /// Connects one caller for each script.
    pub(crate) fn connect(addr: SocketAddr, scripts: impl IntoIterator<Item = Script>) -> Crowd {
        let connect = |script| {
            let stream = TcpStream::connect_timeout(&addr, CONNECT_LIMIT).ok()?;
            stream.set_nonblocking(true).unwrap();
            Some(BadCaller { stream, script, piece: Vec::new(), sent: 0, has_ended: false })
        };
        Crowd { callers: scripts.into_iter().filter_map(connect).collect() }
    }

    /// Sends until all scripts have ended or no caller can send any more.
    pub(crate) fn send(&mut self, node: &mut Node) {
        let mut last_progress = Instant::now();
        while last_progress.elapsed() < QUIET_TIME {
            let progress = self.callers.iter_mut().filter_map(BadCaller::step).count();
            node.sample();
            if progress > 0 {
                last_progress = Instant::now();
            } else {
                thread::sleep(ROUND_PAUSE);
            }
        }
    }
}

impl BadCaller {
    /// Sends one piece or the rest of one. Returns `None` if nothing could be sent.
    fn step(&mut self) -> Option<()> {
        if self.has_ended {
            return None;
        }
        if self.sent == self.piece.len() {
            self.sent = 0;
            self.piece = self.script.next().unwrap_or_default();
            self.has_ended = self.piece.is_empty();
        }
        match self.stream.write(&self.piece[self.sent..]) {
            Ok(length) => {
                self.sent += length;
                Some(())
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(_) => {
                self.has_ended = true;
                None
            }
        }
    }
}
