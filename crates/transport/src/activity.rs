//! What a connection is doing, as seen by the table of open connections.

use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    task::{Context, Waker},
};

use crate::Refusal;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// The end of a body that is discarded, or of a connection whose refusal was written.
    Refused,
    /// The caller, which does not take the bytes of its answer.
    Blocked,
    /// The handler.
    Handler,
}

/// How much of a body has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BodyProgress {
    pub(crate) received: usize,
    /// Size that the caller states, or the largest allowed size if it states none.
    pub(crate) expected: usize,
}

/// The progress of one connection, and whether it was told to end.
pub(crate) struct Activity {
    pub(crate) peer: IpAddr,
    /// Number of reads and writes that moved bytes.
    steps: Cell<u64>,
    write_blocked: Cell<bool>,
    body: Cell<Option<BodyProgress>>,
    /// Whether memory was reserved for the current request, beyond that of the connection.
    has_reserved: Cell<bool>,
    /// Why the body that is being read is refused.
    body_refusal: Cell<Option<Refusal>>,
    is_closing: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Activity {
    pub(crate) fn new(peer: IpAddr) -> Activity {
        Activity {
            peer,
            steps: Cell::default(),
            write_blocked: Cell::default(),
            body: Cell::default(),
            has_reserved: Cell::default(),
            body_refusal: Cell::default(),
            is_closing: Cell::default(),
            waker: RefCell::default(),
        }
    }

    pub(crate) fn record_step(&self) {
        self.steps.set(self.steps.get() + 1);
    }

    pub(crate) fn steps(&self) -> u64 {
        self.steps.get()
    }

    pub(crate) fn record_write(&self, is_blocked: bool) {
        self.write_blocked.set(is_blocked);
        if !is_blocked {
            self.record_step();
        }
    }

    pub(crate) fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    pub(crate) fn set_body(&self, progress: Option<BodyProgress>) {
        self.body.set(progress);
    }

    pub(crate) fn body(&self) -> Option<BodyProgress> {
        self.body.get()
    }

    pub(crate) fn set_reserved(&self, has_reserved: bool) {
        self.has_reserved.set(has_reserved);
    }

    pub(crate) fn has_reserved(&self) -> bool {
        self.has_reserved.get()
    }

    /// Ends the body that is being read. Its request is answered with a refusal.
    pub(crate) fn refuse_body(&self, cause: Refusal) {
        self.body_refusal.set(Some(cause));
        self.wake();
    }

    pub(crate) fn body_refusal(&self) -> Option<Refusal> {
        self.body_refusal.get()
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.is_closing.set(true);
        self.wake();
    }

    /// Whether the connection was told to close.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Records the task of the connection, which is woken when the connection is told to end.
    pub(crate) fn record_task(&self, context: &Context<'_>) {
        let mut waker = self.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
            *waker = Some(context.waker().clone());
        }
    }

    fn wake(&self) {
        if let Some(waker) = &*self.waker.borrow() {
            waker.wake_by_ref();
        }
    }
}
