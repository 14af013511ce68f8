//! The queue of requests that wait for capacity.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::{Future, poll_fn},
    task::{Poll, Waker},
};

/// Requests that wait for capacity, ordered by priority and then by arrival.
#[derive(Default)]
pub(crate) struct WaitQueue {
    queue: RefCell<BTreeMap<(u32, u64), Option<Waker>>>,
    next_number: Cell<u64>,
}

/// The place of one request in a [`WaitQueue`]. Dropping it leaves the queue.
pub(crate) struct QueueEntry<'a> {
    wait_queue: &'a WaitQueue,
    key: (u32, u64),
}

impl WaitQueue {
    pub(crate) fn enqueue(&self, priority: u32) -> QueueEntry<'_> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.queue.borrow_mut().insert((priority, number), None);
        QueueEntry { wait_queue: self, key: (priority, number) }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.queue.borrow().len()
    }

    pub(crate) fn wake_first(&self) {
        let mut queue = self.queue.borrow_mut();
        if let Some(mut first) = queue.first_entry()
            && let Some(waker) = first.get_mut().take()
        {
            waker.wake();
        }
    }
}

impl QueueEntry<'_> {
    pub(crate) fn is_first(&self) -> bool {
        self.wait_queue.queue.borrow().first_key_value().is_some_and(|(key, _)| *key == self.key)
    }

    /// Completes when capacity is freed while this request is the first in the queue.
    pub(crate) fn capacity_freed(&self) -> impl Future<Output = ()> + '_ {
        let mut registered = false;
        poll_fn(move |context| {
            let mut queue = self.wait_queue.queue.borrow_mut();
            match queue.get_mut(&self.key) {
                Some(None) if registered => Poll::Ready(()),
                Some(slot) => {
                    *slot = Some(context.waker().clone());
                    registered = true;
                    Poll::Pending
                }
                None => Poll::Ready(()),
            }
        })
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.wait_queue.queue.borrow_mut().remove(&self.key);
        self.wait_queue.wake_first();
    }
}
