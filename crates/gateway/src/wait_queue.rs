//! The requests that wait for capacity, and how they are woken.

use std::{
    cell::{Ref, RefCell},
    collections::HashMap,
    future::{Future, poll_fn},
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use admission::{AdmissionQueue, Enqueued, QueueLimits, Ticket, Waiting};
use clock::{Clock, Timestamp};
use prometheus::IntGauge;

use crate::selection::NoSelection;

/// Requests that wait for capacity of the same upstreams.
pub(crate) struct WaitQueue {
    clock: Rc<dyn Clock>,
    queue: RefCell<AdmissionQueue>,
    /// The waiting tasks that have not been woken.
    wakers: RefCell<HashMap<Ticket, Waker>>,
    /// Number of entries of all queues, for the metrics.
    count: IntGauge,
}

/// The place of one request in a [`WaitQueue`]. Dropping it leaves the queue.
pub(crate) struct QueueEntry {
    wait_queue: Rc<WaitQueue>,
    ticket: Ticket,
}

impl WaitQueue {
    pub(crate) fn new(clock: Rc<dyn Clock>, limits: QueueLimits, count: IntGauge) -> WaitQueue {
        let queue = RefCell::new(AdmissionQueue::new(limits));
        WaitQueue { clock, queue, wakers: RefCell::default(), count }
    }

    /// The queue itself, to read it.
    pub(crate) fn order(&self) -> Ref<'_, AdmissionQueue> {
        self.queue.borrow()
    }

    /// Adds a request that is expected to wait for `wait`.
    pub(crate) fn enqueue(
        self: &Rc<Self>,
        waiting: Waiting,
        wait: Duration,
    ) -> Result<QueueEntry, NoSelection> {
        let enqueued = self.queue.borrow_mut().enqueue(waiting, wait, self.clock.now());
        let ticket = match enqueued {
            Enqueued::Waiting(ticket) => ticket,
            Enqueued::Replaced { ticket, shed } => {
                self.wake(shed);
                ticket
            }
            Enqueued::Full => return Err(NoSelection::QueueFull),
            Enqueued::Late => return Err(NoSelection::Late),
        };
        self.count.inc();
        Ok(QueueEntry { wait_queue: self.clone(), ticket })
    }

    /// Wakes the first request, since capacity was freed.
    pub(crate) fn wake_first(&self) {
        self.queue.borrow_mut().unblock();
        self.wake_next();
    }

    /// Wakes the first request that is not known not to fit.
    fn wake_next(&self) {
        let next = self.queue.borrow().next(self.clock.now());
        if let Some(ticket) = next {
            self.wake(ticket);
        }
    }

    fn wake(&self, ticket: Ticket) {
        let waker = self.wakers.borrow_mut().remove(&ticket);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl QueueEntry {
    /// Whether the request may be tried now.
    pub(crate) fn may_try(&self) -> bool {
        self.wait_queue.queue.borrow().may_try(self.ticket, self.wait_queue.clock.now())
    }

    /// Number of requests before this one.
    pub(crate) fn position(&self) -> usize {
        self.wait_queue.queue.borrow().position(self.ticket, self.wait_queue.clock.now())
    }

    /// Whether the request was shed for another one.
    pub(crate) fn is_shed(&self) -> bool {
        !self.wait_queue.queue.borrow().contains(self.ticket)
    }

    /// Records that the request was tried and does not fit, and lets the next one try.
    pub(crate) fn block(&self, until: Timestamp) {
        self.wait_queue.queue.borrow_mut().block(self.ticket, until);
        self.wait_queue.wake_next();
    }

    /// Records that the request gets capacity.
    pub(crate) fn grant(&self) {
        self.wait_queue.queue.borrow_mut().grant(self.ticket);
    }

    /// Completes when the request is to be tried or was shed.
    pub(crate) fn woken(&self) -> impl Future<Output = ()> + '_ {
        let mut registered = false;
        poll_fn(move |context| {
            let mut wakers = self.wait_queue.wakers.borrow_mut();
            if registered && !wakers.contains_key(&self.ticket) {
                return Poll::Ready(());
            }
            wakers.insert(self.ticket, context.waker().clone());
            registered = true;
            Poll::Pending
        })
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.wait_queue.count.dec();
        self.wait_queue.queue.borrow_mut().remove(self.ticket);
        self.wait_queue.wakers.borrow_mut().remove(&self.ticket);
        self.wait_queue.wake_next();
    }
}
