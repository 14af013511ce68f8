//! What the kernel knows about a TCP connection.

use std::{ffi::c_int, io, os::fd::AsFd};

use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    ioctl::{Getter, Opcode, ioctl},
};

/// Request code of `SIOCOUTQ`, which is the same on x86-64 and arm64.
const SIOCOUTQ: Opcode = 0x5411;
/// Timeout of a poll that only asks for the current state.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Whether the connection was reset or failed otherwise. Unlike the error of the socket, which is
/// reported once, this state stays.
pub(crate) fn has_failed(socket: &impl AsFd) -> io::Result<bool> {
    let mut entry = [PollFd::new(socket, PollFlags::empty())];
    poll(&mut entry, Some(&NO_WAIT))?;
    Ok(entry[0].revents().intersects(PollFlags::HUP | PollFlags::ERR))
}

/// Number of bytes that were passed to the socket and that the peer has not acknowledged.
#[expect(unsafe_code, reason = "there is no safe wrapper of this call")]
pub(crate) fn unacknowledged_bytes(socket: &impl AsFd) -> io::Result<usize> {
    // SAFETY: `SIOCOUTQ` takes a pointer to a C int and only writes it.
    let bytes = unsafe { ioctl(socket, Getter::<SIOCOUTQ, c_int>::new())? };
    Ok(usize::try_from(bytes).unwrap_or(0))
}
