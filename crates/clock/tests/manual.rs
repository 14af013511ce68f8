//! Tests of the manual clock: sleeping tasks wake in the order of their deadlines, and only when
//! the test advances the clock.

use std::{cell::RefCell, rc::Rc, time::Duration};

use clock::{Clock, Elapsed, ManualClock, timeout};
use futures_executor::LocalPool;
use futures_util::task::LocalSpawnExt;

#[test]
fn sleeping_tasks_wake_in_order_when_the_clock_reaches_their_deadlines() {
    let clock = ManualClock::new();
    let woken = Rc::new(RefCell::new(Vec::new()));
    let mut pool = LocalPool::new();
    for seconds in [3, 1, 2] {
        let (clock, woken) = (clock.clone(), woken.clone());
        let task = async move {
            clock.sleep(Duration::from_secs(seconds)).await;
            woken.borrow_mut().push(seconds);
        };
        pool.spawner().spawn_local(task).expect("pool accepts tasks");
    }
    pool.run_until_stalled();
    assert!(woken.borrow().is_empty());
    for expected in [vec![1], vec![1, 2], vec![1, 2, 3]] {
        clock.advance(Duration::from_secs(1));
        pool.run_until_stalled();
        assert_eq!(*woken.borrow(), expected);
    }
}

#[test]
fn timeout_returns_elapsed_for_a_future_that_never_completes() {
    let clock = ManualClock::new();
    let mut pool = LocalPool::new();
    let result = Rc::new(RefCell::new(None));
    let (waiting, outcome) = (clock.clone(), result.clone());
    let task = async move {
        let never = std::future::pending::<()>();
        *outcome.borrow_mut() = Some(timeout(&waiting, Duration::from_secs(5), never).await);
    };
    pool.spawner().spawn_local(task).expect("pool accepts tasks");
    pool.run_until_stalled();
    clock.advance(Duration::from_millis(4999));
    pool.run_until_stalled();
    assert_eq!(*result.borrow(), None);
    clock.advance(Duration::from_millis(1));
    pool.run_until_stalled();
    assert_eq!(*result.borrow(), Some(Err(Elapsed)));
}
