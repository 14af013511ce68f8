//! Loopback addresses for the processes that a test starts.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU8, Ordering},
};

/// Number of the next group of addresses of this test program.
static NEXT_GROUP: AtomicU8 = AtomicU8::new(0);
/// Second byte of the addresses of the first group.
const FIRST_GROUP: u8 = 32;

/// Addresses whose ports are free, on a loopback address that no other test uses. On 127.0.0.1, an
/// outgoing connection of another test may take a port between its choice and its use.
pub(crate) fn free_addrs<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let group = FIRST_GROUP + NEXT_GROUP.fetch_add(1, Ordering::Relaxed) % 128;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, group, high, low);
    let listeners: [TcpListener; COUNT] =
        std::array::from_fn(|_| TcpListener::bind((ip, 0)).unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}
