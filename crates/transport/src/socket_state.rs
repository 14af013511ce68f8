//! What the kernel knows about a TCP connection.

use std::{io, os::fd::AsFd};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Timeout of a poll that only asks for the current state.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Whether the connection was reset or failed otherwise. Unlike the error of the socket, which is
/// reported once, this state stays.
pub(crate) fn has_failed(socket: &impl AsFd) -> io::Result<bool> {
    let mut entry = [PollFd::new(socket, PollFlags::empty())];
    poll(&mut entry, Some(&NO_WAIT))?;
    Ok(entry[0].revents().intersects(PollFlags::HUP | PollFlags::ERR))
}
