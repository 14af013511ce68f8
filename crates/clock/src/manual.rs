use std::{
    cell::RefCell,
    collections::BTreeMap,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use futures_util::future::{FutureExt, LocalBoxFuture};

use crate::{Clock, Timestamp};

/// A clock whose time passes only when a test advances it.
#[derive(Clone, Default)]
pub struct ManualClock {
    state: Rc<RefCell<State>>,
}

#[derive(Default)]
struct State {
    now: Timestamp,
    next_id: u64,
    sleepers: BTreeMap<(Timestamp, u64), Option<Waker>>,
}

impl ManualClock {
    /// Creates a clock at its origin.
    pub fn new() -> ManualClock {
        ManualClock::default()
    }

    /// Advances the time and wakes the tasks whose sleep has ended.
    pub fn advance(&self, duration: Duration) {
        let due = {
            let mut state = self.state.borrow_mut();
            state.now = state.now + duration;
            let limit = (state.now, u64::MAX);
            let later = state.sleepers.split_off(&limit);
            std::mem::replace(&mut state.sleepers, later)
        };
        due.into_values().flatten().for_each(Waker::wake);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Timestamp {
        self.state.borrow().now
    }

    fn unix_millis(&self) -> u64 {
        self.now().since(Timestamp::default()).as_millis() as u64
    }

    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        let state = self.state.clone();
        let (deadline, id) = {
            let mut state = state.borrow_mut();
            state.next_id += 1;
            (state.now + duration, state.next_id)
        };
        poll_fn(move |context| {
            let mut state = state.borrow_mut();
            if state.now >= deadline {
                return Poll::Ready(());
            }
            state.sleepers.insert((deadline, id), Some(context.waker().clone()));
            Poll::Pending
        })
        .boxed_local()
    }
}
