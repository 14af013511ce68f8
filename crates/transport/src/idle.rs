//! Idle connections to peers.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::{Rc, Weak},
};

use clock::Timestamp;

use crate::client::Connection;

/// Maximum number of idle connections kept open to one peer.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Idle connections to one peer, the oldest first.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<VecDeque<IdleConnection>>,
    limit: Option<Rc<IdleLimit>>,
}

pub(crate) struct IdleConnection {
    pub(crate) connection: Connection,
    pub(crate) since: Timestamp,
}

impl Pool {
    /// Creates a pool that shares `limit` with others.
    pub(crate) fn with_limit(limit: Rc<IdleLimit>) -> Pool {
        Pool { limit: Some(limit), ..Pool::default() }
    }

    /// Keeps a connection for reuse, unless there are enough.
    pub(crate) fn put(self: &Rc<Self>, connection: Connection, since: Timestamp) {
        if self.idle.borrow().len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        self.idle.borrow_mut().push_back(IdleConnection { connection, since });
        if let Some(limit) = &self.limit {
            limit.record(self, since);
        }
    }

    /// Takes the connection that has been idle for the shortest time.
    pub(crate) fn take(&self) -> Option<IdleConnection> {
        self.idle.borrow_mut().pop_back()
    }

    /// Closes all connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    fn close_until(&self, since: Timestamp) {
        self.idle.borrow_mut().retain(|idle| idle.since > since);
    }
}

/// A limit on the idle connections of several clients together. The ones that became idle first are
/// closed.
pub struct IdleLimit {
    max: usize,
    /// The times at which connections became idle, with their pools. Some were taken since then.
    entries: RefCell<VecDeque<(Timestamp, Weak<Pool>)>>,
}

impl IdleLimit {
    /// Creates a limit of `max` idle connections.
    pub fn new(max: usize) -> Rc<IdleLimit> {
        Rc::new(IdleLimit { max, entries: RefCell::default() })
    }

    fn record(&self, pool: &Rc<Pool>, since: Timestamp) {
        self.entries.borrow_mut().push_back((since, Rc::downgrade(pool)));
        while self.entries.borrow().len() > self.max {
            let Some((since, pool)) = self.entries.borrow_mut().pop_front() else { return };
            if let Some(pool) = pool.upgrade() {
                pool.close_until(since);
            }
        }
    }
}
