use std::{cell::Cell, rc::Rc};

/// Counts a connection until it is dropped.
pub(crate) struct ConnectionGuard {
    count: Rc<Cell<usize>>,
}

impl ConnectionGuard {
    /// Returns `None` if `limit` connections are open already.
    pub(crate) fn new(count: &Rc<Cell<usize>>, limit: usize) -> Option<ConnectionGuard> {
        if count.get() >= limit {
            return None;
        }
        count.set(count.get() + 1);
        Some(ConnectionGuard { count: count.clone() })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
