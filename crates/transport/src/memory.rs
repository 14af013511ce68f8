//! The memory that a server's callers may use.

use std::{
    collections::HashMap,
    future::poll_fn,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Poll, Waker},
};

/// Share of the account that one peer address may take while others hold bytes, as a fraction. An
/// address that is alone may use all of it: all callers may come through one balancer.
const PEER_SHARE: (usize, usize) = (3, 4);

/// Why bytes cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The account is used up.
    Account,
    /// The peer has its share of the account. Only its own releases help.
    Peer,
}

/// An account of the bytes that are held for callers. Bytes are reserved before they are read. The
/// reservation is part of the buffer that holds them, so it ends on every path with the buffer.
pub struct MemoryAccount {
    limit: usize,
    peer_limit: usize,
    ledger: Mutex<Ledger>,
}

#[derive(Default)]
struct Ledger {
    used: usize,
    /// Bytes by peer address. An address that holds none has no entry.
    peers: HashMap<IpAddr, usize>,
    /// Number of releases, by which a waiting task sees that something was released.
    releases: u64,
    waiting: Vec<Waker>,
}

impl MemoryAccount {
    /// Creates an account of `limit` bytes.
    pub fn new(limit: usize) -> Arc<MemoryAccount> {
        let peer_limit = limit / PEER_SHARE.1 * PEER_SHARE.0;
        Arc::new(MemoryAccount { limit, peer_limit, ledger: Mutex::default() })
    }

    /// Reserves `bytes` for the peer, unless the account or the share of the peer is used up. The
    /// share applies while other peers hold bytes.
    pub fn reserve(self: &Arc<Self>, peer: IpAddr, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation { account: self.clone(), peer, bytes: 0 };
        reservation.grow(bytes).ok()?;
        Some(reservation)
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.ledger().used
    }

    /// Bytes that are reserved for one peer.
    pub fn used_by(&self, peer: IpAddr) -> usize {
        self.ledger().peers.get(&peer).copied().unwrap_or_default()
    }

    /// Waits until bytes are released.
    pub(crate) async fn wait_for_release(&self) {
        let releases = self.ledger().releases;
        poll_fn(|context| {
            let mut ledger = self.ledger();
            if ledger.releases != releases {
                return Poll::Ready(());
            }
            if !ledger.waiting.iter().any(|waker| waker.will_wake(context.waker())) {
                ledger.waiting.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        // The ledger is consistent between any two statements that can panic.
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self, peer: IpAddr, bytes: usize) {
        let waiting = {
            let mut ledger = self.ledger();
            ledger.used -= bytes;
            if let Some(used) = ledger.peers.get_mut(&peer) {
                *used -= bytes;
                if *used == 0 {
                    ledger.peers.remove(&peer);
                }
            }
            ledger.releases += 1;
            std::mem::take(&mut ledger.waiting)
        };
        waiting.into_iter().for_each(Waker::wake);
    }
}

/// Bytes that are reserved in an account until the value is dropped.
pub struct Reservation {
    account: Arc<MemoryAccount>,
    peer: IpAddr,
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more. Changes nothing if there is no room for them.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Shortage> {
        if bytes == 0 {
            return Ok(());
        }
        let account = &self.account;
        let mut ledger = account.ledger();
        let own = ledger.peers.get(&self.peer).copied().unwrap_or_default();
        let fits = |used: usize, limit| used.checked_add(bytes).is_some_and(|sum| sum <= limit);
        let is_alone = own == ledger.used;
        if !is_alone && !fits(own, account.peer_limit) {
            return Err(Shortage::Peer);
        }
        if !fits(ledger.used, account.limit) {
            return Err(Shortage::Account);
        }
        ledger.used += bytes;
        ledger.peers.insert(self.peer, own + bytes);
        self.bytes += bytes;
        Ok(())
    }

    /// Bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.release(self.peer, self.bytes);
        }
    }
}
